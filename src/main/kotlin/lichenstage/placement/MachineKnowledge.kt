package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.common.withDrift

/** The basis on which the leader knows what may run on a machine (invariant 3). */
internal enum class MachineKnowledge {
    /** The leader knows nothing: any task may be running on the machine. */
    UNKNOWN,

    /** The task list is reliable: the machine has shown its partition's fencing token, so a task that it does not list is not there. */
    LISTED,

    /** No task runs: the machine's lease has expired, so its worker has killed all tasks. */
    LEASE_EXPIRED,
    ;

    companion object {
        private const val NO_HEARTBEAT_MARGIN_US = 2 * SECOND

        /**
         * Returns the basis on which the leader knows the tasks on a machine.
         *
         * If the current owner of the partition has received no heartbeat of the machine, the age of the ownership decides: since the
         * ownership began, no reply of this or an earlier owner has renewed the machine's lease. The age comes from a final frame. After
         * a final frame, the partition's state contains every machine from which the owner has received a heartbeat.
         */
        fun of(
            machine: String,
            partition: PartitionState,
            leaseUs: Long,
        ): MachineKnowledge {
            val state = partition.machines[machine]
            return when {
                state == null -> if (partition.ownershipAgeUs > withDrift(leaseUs) + NO_HEARTBEAT_MARGIN_US) LEASE_EXPIRED else UNKNOWN
                state.isLost -> LEASE_EXPIRED
                state.isTokenConfirmed -> LISTED
                else -> UNKNOWN
            }
        }
    }
}
