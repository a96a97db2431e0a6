package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.drain.DrainPolicy

/**
 * How large a simulated cluster is, and how unkind.
 *
 * @property machinesPerZone machines that are up at the start, in each of three zones
 * @property teamCores the limit of each of the two teams
 * @property jobs how many jobs come while faults are drawn, and [faults] how many faults
 * @property machinesInFrame machines of which one frame to the leader can tell
 * @property ordersAtOnce direct orders for which a partition has connections at any moment
 * @property slowShare the share of messages that are seconds late, behind newer ones
 * @property heldOrderShare the share of direct orders that get no answer and are carried out late, once
 * @property longestHoldUs how late those are carried out at the most
 * @property tokensReserved tokens that a partition's owner reserves at a time
 * @property withoutFences controllers of a version that does not give machines newer tokens
 * @property longOutages the state service is now and then out for longer than a cancellation may take
 * @property machinesComeAndGo machines are taken without notice, drained and given back; new ones come up
 * @property keepsMachines nobody but operators drains machines
 * @property fetches tasks fetch an image before they run
 * @property drainPolicy what drains may interrupt; null where they are not switched on
 * @property withoutDrains controllers of a version that does not know drains
 */
data class ClusterProfile(
    val machinesPerZone: Int = 3,
    val teamCores: Double = 24.0,
    val jobs: Int = 25,
    val faults: Int = 30,
    val machinesInFrame: Int = 100,
    val ordersAtOnce: Int = Int.MAX_VALUE,
    val slowShare: Double = 0.0,
    val heldOrderShare: Double = 0.0,
    val longestHoldUs: Long = 16 * SECOND,
    val tokensReserved: Int = 64,
    val withoutFences: Set<Int> = emptySet(),
    val longOutages: Boolean = false,
    val machinesComeAndGo: Boolean = false,
    val keepsMachines: Boolean = false,
    val fetches: Boolean = false,
    val drainPolicy: DrainPolicy? = null,
    val withoutDrains: Set<Int> = emptySet(),
) {
    companion object {
        /** Few machines, but all that the protocol allows: frames in pieces, few connections, late messages, machines that come and go. */
        val UNKIND =
            ClusterProfile(
                machinesPerZone = 5,
                jobs = 40,
                faults = 40,
                machinesInFrame = 2,
                ordersAtOnce = 1,
                slowShare = 0.03,
                heldOrderShare = 0.08,
                machinesComeAndGo = true,
                fetches = true,
            )

        /**
         * Direct orders are carried out up to ten minutes late, while token and session match. What users saw: a start landed 73 s after
         * it was sent, of a job that was cancelled meanwhile.
         */
        val LATE_ORDERS = UNKIND.copy(heldOrderShare = 0.4, longestHoldUs = 600 * SECOND, longOutages = true)

        /** 1,500 machines under the same conditions, with frames of full size. */
        val LARGE =
            UNKIND.copy(
                machinesPerZone = 500,
                teamCores = 4_000.0,
                jobs = 600,
                faults = 120,
                machinesInFrame = 100,
                ordersAtOnce = 60,
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
