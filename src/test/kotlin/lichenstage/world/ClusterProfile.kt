package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.drain.DrainPolicy

/**
 * The size of a simulated cluster, and what may go wrong in it.
 *
 * @property machinesPerZone machines that are up at the start, in each of three zones
 * @property teamCores the limit of each of the two teams
 * @property jobs how many jobs come while faults are drawn, and [faults] how many faults
 * @property maxMachinesPerFrame machines that one frame to the leader carries
 * @property maxConcurrentOrders direct orders for which a partition has connections at any moment
 * @property delayedMessageShare the share of messages that are seconds late, behind newer ones
 * @property heldOrderShare the share of direct orders that get no answer and are executed late, once
 * @property maxHoldUs the longest delay of these, in microseconds
 * @property tokensReserved tokens that a partition's owner reserves at a time
 * @property controllersWithoutFencing controllers of a version that does not give machines newer tokens
 * @property hasLongOutages the state service is now and then out for longer than a cancellation may take
 * @property hasMachineChurn machines are terminated without notice, drained and terminated; new ones come up
 * @property onlyOperatorsDrain nobody but operators drains machines
 * @property fetchesImages tasks fetch an image before they run
 * @property drainPolicy what drains may interrupt; null where they are not switched on
 * @property controllersWithoutDrains controllers of a version that does not know drains
 */
data class ClusterProfile(
    val machinesPerZone: Int = 3,
    val teamCores: Double = 24.0,
    val jobs: Int = 25,
    val faults: Int = 30,
    val maxMachinesPerFrame: Int = 100,
    val maxConcurrentOrders: Int = Int.MAX_VALUE,
    val delayedMessageShare: Double = 0.0,
    val heldOrderShare: Double = 0.0,
    val maxHoldUs: Long = 16 * SECOND,
    val tokensReserved: Int = 64,
    val controllersWithoutFencing: Set<Int> = emptySet(),
    val hasLongOutages: Boolean = false,
    val hasMachineChurn: Boolean = false,
    val onlyOperatorsDrain: Boolean = false,
    val fetchesImages: Boolean = false,
    val drainPolicy: DrainPolicy? = null,
    val controllersWithoutDrains: Set<Int> = emptySet(),
) {
    companion object {
        /** Few machines, but all that the protocol allows: partial frames, few connections, late messages, machine churn. */
        val ADVERSE =
            ClusterProfile(
                machinesPerZone = 5,
                jobs = 40,
                faults = 40,
                maxMachinesPerFrame = 2,
                maxConcurrentOrders = 1,
                delayedMessageShare = 0.03,
                heldOrderShare = 0.08,
                hasMachineChurn = true,
                fetchesImages = true,
            )

        /**
         * Direct orders are executed up to ten minutes late, while fencing token and agent epoch match. What users saw: a start was executed
         * 73 s after it was sent, of a job that was cancelled meanwhile.
         */
        val LATE_ORDERS = ADVERSE.copy(heldOrderShare = 0.4, maxHoldUs = 600 * SECOND, hasLongOutages = true)

        /** 1,500 machines under the same conditions, with frames of full size. */
        val LARGE =
            ADVERSE.copy(
                machinesPerZone = 500,
                teamCores = 4_000.0,
                jobs = 600,
                faults = 120,
                maxMachinesPerFrame = 100,
                maxConcurrentOrders = 60,
            )

        /** [machines] machines under the conditions of [LARGE]. */
        fun ofMachines(machines: Int) =
            LARGE.copy(
                machinesPerZone = machines / ZONES,
                teamCores = LARGE.teamCores * machines / (LARGE.machinesPerZone * ZONES),
                jobs = LARGE.jobs * machines / (LARGE.machinesPerZone * ZONES),
            )

        private const val ZONES = 3
    }
}
