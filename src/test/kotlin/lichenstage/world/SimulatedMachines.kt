package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.placement.RecoveredMachine
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.MACHINE_CORES
import lichenstage.world.SimulationContext.Companion.MAX_DELIVERY_DELAY_US
import lichenstage.world.SimulationContext.Companion.WORKER_LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf
import java.util.Random

/** The machines of the cluster: they boot, send heartbeats to a controller like real workers, and are terminated. */
internal class SimulatedMachines(
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val controllers: () -> List<SimulatedController>,
) {
    private val random = context.random
    private val workers = ArrayList<SimulatedWorker>()
    private val byName = HashMap<String, SimulatedWorker>()

    /** The controller to which each worker sends its heartbeats, by the worker's name. */
    private val targetControllers = HashMap<String, Int>()

    /** The time until which the heartbeats of a machine reach no controller, by its name. */
    private val outboundBlockedUntilUs = HashMap<String, Long>()
    val registry = SimulatedRegistry()
    val all: List<SimulatedWorker> get() = workers

    /** The number of machines that are not terminated. */
    val count get() = workers.count { !it.isTerminated }

    /**
     * Returns one of the machines that are not terminated, numbered in the order in which they were added. Larger numbers wrap around. If
     * all machines are terminated, returns the last one.
     */
    operator fun get(number: Int): SimulatedWorker =
        workers.filter { !it.isTerminated }.let { if (it.isEmpty()) workers.last() else it[number % it.size] }

    fun getWorker(name: String): SimulatedWorker = byName.getValue(name)

    fun partitionOf(worker: SimulatedWorker) = context.assignment.partitionOf(worker.name, worker.zone)!!

    fun recoveredMachine(name: String) = RecoveredMachine(name, partitionOf(getWorker(name)), "type", "10.0.0.1:9000")

    fun addMachine(zone: String): SimulatedWorker {
        val name = "vm-$zone${workers.size}"
        val workerRandom = Random(random.nextLong())
        val worker =
            SimulatedWorker(
                name,
                zone,
                MACHINE_CORES,
                WORKER_LEASE_US,
                workerRandom,
                { id -> state.jobs[id] },
                context.checker,
                context.profile.fetchesImages,
                context.nowUs,
            )
        workers += worker
        byName[name] = worker
        return worker
    }

    fun powerOn(worker: SimulatedWorker) {
        targetControllers[worker.name] = random.nextInt(CONTROLLERS)
        context.every(300 * MILLI) { if (!worker.isTerminated && worker.step(context.nowUs)) sendHeartbeat(worker) }
        context.every(2 * SECOND) { sendHeartbeat(worker) }
    }

    /** Provisions a machine and returns its name. One in eight machines never comes up. */
    fun provision(zone: String): String {
        val worker = addMachine(zone)
        if (random.nextInt(8) > 0) context.after(random.nextInt(MAX_BOOT_US).toLong()) { powerOn(worker) }
        return worker.name
    }

    /** Machines for which a drain has already provisioned a replacement. */
    val replacedMachines = HashSet<String>()

    /** Terminates machines. For each machine that has no replacement yet, a new one comes up in the same zone. */
    fun terminate(names: Collection<String>) {
        for (worker in names.mapNotNull { byName[it] }.filter { !it.isTerminated }) {
            worker.terminate()
            if (worker.name !in replacedMachines) context.after(random.nextInt(MAX_BOOT_US).toLong()) { powerOn(addMachine(worker.zone)) }
        }
    }

    fun blockOutbound(
        worker: SimulatedWorker,
        durationUs: Long,
    ) {
        outboundBlockedUntilUs[worker.name] = context.nowUs + durationUs
    }

    private fun sendHeartbeat(worker: SimulatedWorker) {
        if (worker.isTerminated || worker.isHung(context.nowUs)) return
        if (context.nowUs < (outboundBlockedUntilUs[worker.name] ?: 0)) return
        val controller = controllers()[targetControllers.getValue(worker.name)]
        val heartbeat = worker.createHeartbeat()
        val sentUs = context.nowUs
        var hasReplied = false
        if (random.nextInt(25) == 0) {
            val delayedCopy =
                if (context.mutation ==
                    Mutation.STALE_HEARTBEATS_ACCEPTED
                ) {
                    heartbeat.copy(sequence = Long.MAX_VALUE / 2)
                } else {
                    heartbeat
                }
            context.after(
                random.nextInt(MAX_DELIVERY_DELAY_US).toLong(),
            ) { controllers()[random.nextInt(CONTROLLERS)].onHeartbeat(delayedCopy) }
        }
        context.send(worker.name, hostOf(controller.id)) {
            val reply = controller.onHeartbeat(heartbeat)
            context.send(hostOf(controller.id), worker.name) {
                hasReplied = true
                if (worker.isTerminated) return@send
                if (reply != null && !worker.isHung(context.nowUs)) {
                    worker.onHeartbeatReply(reply.fencingToken, reply.commands, heartbeat.agentEpoch, sentUs, context.nowUs)
                } else if (reply == null) {
                    redirect(worker)
                }
            }
        }
        context.after(4 * SECOND) { if (!hasReplied) redirect(worker) }
    }

    private fun redirect(worker: SimulatedWorker) {
        val owner = state.owners[partitionOf(worker)]?.controller
        targetControllers[worker.name] = owner?.takeIf { random.nextInt(4) > 0 } ?: random.nextInt(CONTROLLERS)
    }

    private companion object {
        const val MAX_BOOT_US = 10_000_000
    }
}
