package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.drain.DrainPolicy

/**
 * The size of a simulated cluster and the faults that may occur in it.
 *
 * @property machinesPerZone the number of machines in each of the three zones at the start
 * @property teamCores the limit of each of the two teams, in cores
 * @property jobs the number of random jobs, which are submitted while faults are injected
 * @property faults the number of random faults
 * @property maxMachinesPerFrame the maximum number of machines in one frame from a partition to the leader
 * @property maxConcurrentOrders the maximum number of direct orders that a partition has in flight at a time
 * @property delayedMessageShare the share of messages that arrive seconds late, after newer ones
 * @property heldOrderShare the share of direct orders that get no reply and are executed late, once
 * @property maxHoldUs the maximum delay of an order that is executed late, in microseconds
 * @property tokensReserved the number of fencing tokens that a partition's owner reserves at a time
 * @property controllersWithoutFencing the controllers of an older version, which does not give machines newer fencing tokens
 * @property hasLongOutages whether some outages of the state service last longer than the time limit of a cancellation
 * @property hasMachineChurn whether machines are drained, terminated with or without notice, and replaced by new ones
 * @property hasOnlyOperatorDrains whether machines are drained only on behalf of operators
 * @property fetchesImages whether tasks fetch an image before they run
 * @property drainPolicy the policy that limits the interruptions by drains; null if drains are disabled
 * @property controllersWithoutDrains the controllers of an older version, which does not support drains
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
    val hasOnlyOperatorDrains: Boolean = false,
    val fetchesImages: Boolean = false,
    val drainPolicy: DrainPolicy? = null,
    val controllersWithoutDrains: Set<Int> = emptySet(),
) {
    companion object {
        /** A small cluster with everything that the protocol allows: partial frames, few connections, late messages and machine churn. */
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
         * [ADVERSE] with long outages and with 40% of the direct orders executed up to ten minutes late. A late order is executed only if
         * its fencing token and agent epoch are still valid. Users saw this fault: a start was executed 73 s after it was sent, although
         * its job had been cancelled in the meantime.
         */
        val LATE_ORDERS = ADVERSE.copy(heldOrderShare = 0.4, maxHoldUs = 600 * SECOND, hasLongOutages = true)

        /** 1,500 machines under the conditions of [ADVERSE], but with frames of full size and more connections. */
        val LARGE =
            ADVERSE.copy(
                machinesPerZone = 500,
                teamCores = 4_000.0,
                jobs = 600,
                faults = 120,
                maxMachinesPerFrame = 100,
                maxConcurrentOrders = 60,
            )

        /** Returns [LARGE] scaled to the given number of machines. */
        fun ofMachines(machines: Int) =
            LARGE.copy(
                machinesPerZone = machines / ZONES,
                teamCores = LARGE.teamCores * machines / (LARGE.machinesPerZone * ZONES),
                jobs = LARGE.jobs * machines / (LARGE.machinesPerZone * ZONES),
            )

        private const val ZONES = 3
    }
}
