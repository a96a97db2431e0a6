package lichenstage.world

import lichenstage.common.SECOND
import java.util.Random

/** Injects random faults into a simulated cluster; their kinds, targets and durations are drawn from the seed. */
class RandomFaults(
    private val cluster: SimulatedCluster,
    private val random: Random,
    hasMachineChurn: Boolean,
    hasLongOutages: Boolean = false,
) {
    private class FaultParameters(
        val durationUs: Long,
        val holdsMessages: Boolean,
        val controller: Int,
        val worker: Int,
    )

    private val commonFaults: List<(FaultParameters) -> Unit> =
        listOf(
            { cluster.crash(it.controller) },
            { cluster.cutOff(it.worker, it.durationUs, it.holdsMessages) },
            { cluster.hang(it.worker, it.durationUs) },
            { cluster.cutFromState(it.controller, it.durationUs, it.holdsMessages) },
            { cluster.cutControllers(it.controller, randomOtherController(it.controller), it.durationUs, it.holdsMessages) },
            { cluster.cutFromWorkers(it.controller, it.durationUs, it.holdsMessages) },
            // A machine's heartbeats arrive, but it receives nothing.
            { cluster.blockInbound(it.worker, it.durationUs + HALF_A_LEASE_US) },
            // A controller still reaches the workers, but neither the other controllers nor the state service.
            ::isolate,
            // All messages between controllers are lost.
            { parameters ->
                controllerPairs().forEach { (idA, idB) ->
                    cluster.cutControllers(idA, idB, parameters.durationUs, holdsMessages = false)
                }
            },
            // Two zones are cut off from each other.
            { cluster.cutZones("a", "b", it.durationUs, it.holdsMessages) },
            { (0 until CONTROLLERS).forEach(cluster::crash) },
            { cluster.slowDownState(it.durationUs) },
            { cluster.beginOutage(it.durationUs) },
            // The state service is unavailable to all controllers but one.
            { parameters ->
                otherControllers(
                    parameters.controller,
                ).forEach { cluster.cutFromState(it, parameters.durationUs, parameters.holdsMessages) }
            },
            // A machine's heartbeats reach no controller, but it executes orders.
            { cluster.blockOutbound(it.worker, it.durationUs + HALF_A_LEASE_US) },
            ::cancelWhileMachinesHang,
            ::refuseLeaderThenAll,
        )

    private val machineChurnFaults: List<(FaultParameters) -> Unit> =
        listOf(
            { cluster.freeze(it.controller, it.durationUs) },
            { cluster.terminateMachine(it.worker) },
        )

    /** Users cancel running jobs, and then the state service is unavailable for 32 to 52 s. The time limit of a cancellation is 40 s. */
    private val longOutageFaults: List<(FaultParameters) -> Unit> =
        listOf(
            {
                cancelRunning(2)
                cluster.beginOutage(it.durationUs + LONG_OUTAGE_US)
            },
        )

    private val faultKinds =
        commonFaults + (if (hasMachineChurn) machineChurnFaults else emptyList()) + if (hasLongOutages) longOutageFaults else emptyList()

    /** Injects one fault now. */
    fun inject() {
        val parameters =
            FaultParameters(
                2 * SECOND + random.nextInt(20_000_000),
                random.nextBoolean(),
                random.nextInt(CONTROLLERS),
                random.nextInt(maxOf(cluster.machineCount, 1)),
            )
        faultKinds[random.nextInt(faultKinds.size)](parameters)
    }

    private fun otherControllers(controller: Int) = (0 until CONTROLLERS).filter { it != controller }

    private fun randomOtherController(controller: Int) = otherControllers(controller).let { it[random.nextInt(it.size)] }

    private fun controllerPairs() = (0 until CONTROLLERS).flatMap { idA -> (idA + 1 until CONTROLLERS).map { idA to it } }

    private fun isolate(parameters: FaultParameters) {
        otherControllers(parameters.controller).forEach {
            cluster.cutControllers(parameters.controller, it, parameters.durationUs, parameters.holdsMessages)
        }
        cluster.cutFromState(parameters.controller, parameters.durationUs, parameters.holdsMessages)
    }

    /** Cancels running jobs and lets some of the machines hang. */
    private fun cancelWhileMachinesHang(parameters: FaultParameters) {
        cancelRunning(3)
        repeat(3) { cluster.hang(random.nextInt(maxOf(cluster.machineCount, 1)), parameters.durationUs) }
    }

    /** Lets the state service refuse only the leader and then all controllers, while running jobs are cancelled. */
    private fun refuseLeaderThenAll(parameters: FaultParameters) {
        cluster.refuse(maxOf(cluster.leaderId, 0), 14 * SECOND)
        cluster.after(SECOND) { cancelRunning(2) }
        cluster.after(SECOND + SECOND / 2) { cluster.beginOutage(parameters.durationUs * 2) }
    }

    private fun cancelRunning(count: Int) =
        cluster.openJobs
            .filter { cluster.runningTaskCount(it) > 0 }
            .take(count)
            .forEach { cluster.cancel(it, random.nextInt(CONTROLLERS)) }

    private companion object {
        const val CONTROLLERS = 3
        const val HALF_A_LEASE_US = 15 * SECOND / 2
        const val LONG_OUTAGE_US = 30 * SECOND
    }
}
