package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.common.withDrift

/** What the leader may conclude of the tasks on a machine (invariant 3). */
internal enum class MachineKnowledge {
    /** Nothing: it may run anything. */
    UNKNOWN,

    /** By its task list: it has shown its partition's fencing token, so what it does not list is not there. */
    LISTED,

    /** By time: its lease has run out, and its worker has killed all tasks. */
    LEASE_EXPIRED,
    ;

    companion object {
        private const val NO_HEARTBEAT_MARGIN_US = 2 * SECOND

        /**
         * Of a machine without heartbeats under its partition's owner it is the partition's age that counts: no answer of the owner has
         * renewed its lease, and none of the owner before has since. The age is as of a whole frame, which leaves out no machine.
         */
        fun of(
            machine: String,
            partition: PartitionState,
            leaseUs: Long,
        ): MachineKnowledge {
            val machineState = partition.machines[machine]
            return when {
                machineState == null -> {
                    if (partition.ownershipAgeUs >
                        withDrift(leaseUs) + NO_HEARTBEAT_MARGIN_US
                    ) {
                        LEASE_EXPIRED
                    } else {
                        UNKNOWN
                    }
                }

                machineState.isLost -> {
                    LEASE_EXPIRED
                }

                machineState.isTokenConfirmed -> {
                    LISTED
                }

                else -> {
                    UNKNOWN
                }
            }
        }
    }
}
