package lichenstage.world

import lichenstage.common.SECOND
import java.util.Random

/** Injects faults of any kind into a simulated cluster, drawn from a seed. */
class RandomFaults(
    private val cluster: SimulatedCluster,
    private val random: Random,
    hasMachineChurn: Boolean,
    longOutages: Boolean = false,
) {
    private class Draw(
        val forUs: Long,
        val held: Boolean,
        val controller: Int,
        val worker: Int,
    )

    private val usual: List<(Draw) -> Unit> =
        listOf(
            { cluster.crash(it.controller) },
            { cluster.cutOff(it.worker, it.forUs, it.held) },
            { cluster.hang(it.worker, it.forUs) },
            { cluster.cutFromState(it.controller, it.forUs, it.held) },
            { cluster.cutControllers(it.controller, another(it.controller), it.forUs, it.held) },
            { cluster.cutFromWorkers(it.controller, it.forUs, it.held) },
            // Its heartbeats arrive, but nothing reaches it.
            { cluster.blockInbound(it.worker, it.forUs + HALF_A_LEASE_US) },
            // It keeps its workers, and loses all else.
            ::isolate,
            // Connections between controllers are refused.
            { draw -> pairs().forEach { (one, other) -> cluster.cutControllers(one, other, draw.forUs, held = false) } },
            // Two zones apart.
            { cluster.cutZones("a", "b", it.forUs, it.held) },
            { (0 until CONTROLLERS).forEach(cluster::crash) },
            { cluster.slowState(it.forUs) },
            { cluster.outage(it.forUs) },
            // An outage for all but one.
            { draw -> others(draw.controller).forEach { cluster.cutFromState(it, draw.forUs, draw.held) } },
            // Its heartbeats reach nobody, orders to it are executed.
            { cluster.blockOutbound(it.worker, it.forUs + HALF_A_LEASE_US) },
            ::cancelWhileMachinesHang,
            ::refuseLeaderThenAll,
        )

    private val adverse: List<(Draw) -> Unit> =
        listOf(
            { cluster.freeze(it.controller, it.forUs) },
            { cluster.takeMachine(it.worker) },
        )

    /** Users cancel what runs, and then nothing can be written for longer than the tasks may take to be gone. */
    private val lasting: List<(Draw) -> Unit> =
        listOf(
            {
                cancelRunning(2)
                cluster.outage(it.forUs + LONG_OUTAGE_US)
            },
        )

    private val kinds =
        usual + (if (hasMachineChurn) adverse else emptyList()) + if (longOutages) lasting else emptyList()

    /** One fault, now. */
    fun next() {
        val draw =
            Draw(
                2 * SECOND + random.nextInt(20_000_000),
                random.nextBoolean(),
                random.nextInt(CONTROLLERS),
                random.nextInt(maxOf(cluster.machineCount, 1)),
            )
        kinds[random.nextInt(kinds.size)](draw)
    }

    private fun others(controller: Int) = (0 until CONTROLLERS).filter { it != controller }

    private fun another(controller: Int) = others(controller).let { it[random.nextInt(it.size)] }

    private fun pairs() = (0 until CONTROLLERS).flatMap { one -> (one + 1 until CONTROLLERS).map { one to it } }

    private fun isolate(draw: Draw) {
        others(draw.controller).forEach { cluster.cutControllers(draw.controller, it, draw.forUs, draw.held) }
        cluster.cutFromState(draw.controller, draw.forUs, draw.held)
    }

    /** Users cancel what runs, and some of the machines hang. */
    private fun cancelWhileMachinesHang(draw: Draw) {
        cancelRunning(3)
        repeat(3) { cluster.hang(random.nextInt(maxOf(cluster.machineCount, 1)), draw.forUs) }
    }

    /** The state service refuses the leader alone, and then everybody, while users cancel what runs. */
    private fun refuseLeaderThenAll(draw: Draw) {
        cluster.refuse(maxOf(cluster.leader, 0), 14 * SECOND)
        cluster.after(SECOND) { cancelRunning(2) }
        cluster.after(SECOND + SECOND / 2) { cluster.outage(draw.forUs * 2) }
    }

    private fun cancelRunning(count: Int) =
        cluster.openJobs
            .filter { cluster.running(it) > 0 }
            .take(count)
            .forEach { cluster.cancel(it, random.nextInt(CONTROLLERS)) }

    private companion object {
        const val CONTROLLERS = 3
        const val HALF_A_LEASE_US = 15 * SECOND / 2
        const val LONG_OUTAGE_US = 30 * SECOND
    }
}
