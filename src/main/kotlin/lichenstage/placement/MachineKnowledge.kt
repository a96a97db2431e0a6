package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.common.withDrift

/** What the leader may conclude of the tasks on a machine (invariant 3). */
internal enum class MachineKnowledge {
    /** Nothing: it may run anything. */
    UNKNOWN,

    /** By hearing: it has shown its partition's token, so what it does not list is not there. */
    LISTED,

    /** By time: its lease has run out, and its worker has killed all tasks. */
    LEASE_EXPIRED,
    ;

    companion object {
        private const val UNHEARD_MARGIN_US = 2 * SECOND

        /**
         * Of a machine that its partition has not heard it is the partition's age that counts: no answer of its owner has renewed the
         * lease, and none of the owner before it has since. The age is that of a frame that left out no machine.
         */
        fun of(
            machine: String,
            partition: PartitionState,
            leaseUs: Long,
        ): MachineKnowledge {
            val view = partition.machines[machine]
            return when {
                view == null -> if (partition.ageUs > withDrift(leaseUs) + UNHEARD_MARGIN_US) LEASE_EXPIRED else UNKNOWN
                view.lost -> LEASE_EXPIRED
                view.settled -> LISTED
                else -> UNKNOWN
            }
        }
    }
}
