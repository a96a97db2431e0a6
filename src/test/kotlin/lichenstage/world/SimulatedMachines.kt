package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.placement.RecoveredMachine
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.LATEST_US
import lichenstage.world.SimulationContext.Companion.MACHINE_CORES
import lichenstage.world.SimulationContext.Companion.WORKER_LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf
import java.util.Random

/** The machines: they boot, send heartbeats to a controller as workers do, and are terminated. */
internal class SimulatedMachines(
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val controllers: () -> List<SimulatedController>,
) {
    private val random = context.random
    private val workers = ArrayList<SimulatedWorker>()
    private val byName = HashMap<String, SimulatedWorker>()

    /** The controller that a worker sends its heartbeats to. */
    private val target = HashMap<String, Int>()

    /** Until when heartbeats of a machine reach nobody. */
    private val outboundBlockedUntilUs = HashMap<String, Long>()
    val registry = SimulatedRegistry()
    val all: List<SimulatedWorker> get() = workers

    /** How many there are. */
    val count get() = workers.count { !it.gone }

    /** One of those that are there, in an order that does not change. */
    operator fun get(number: Int): SimulatedWorker =
        workers.filter { !it.gone }.let { if (it.isEmpty()) workers.last() else it[number % it.size] }

    fun named(name: String): SimulatedWorker = byName.getValue(name)

    fun partitionOf(worker: SimulatedWorker) = context.assignment.partitionOf(worker.name, worker.zone)!!

    fun recovered(name: String) = RecoveredMachine(name, partitionOf(named(name)), "type", "10.0.0.1:9000")

    fun boot(zone: String): SimulatedWorker {
        val name = "vm-$zone${workers.size}"
        val seeded = Random(random.nextLong())
        val worker =
            SimulatedWorker(
                name,
                zone,
                MACHINE_CORES,
                WORKER_LEASE_US,
                seeded,
                { id -> state.jobs[id] },
                context.checker,
                context.profile.fetches,
                context.now,
            )
        workers += worker
        byName[name] = worker
        return worker
    }

    fun powerOn(worker: SimulatedWorker) {
        target[worker.name] = random.nextInt(CONTROLLERS)
        context.every(300 * MILLI) { if (!worker.gone && worker.step(context.now)) heartbeat(worker) }
        context.every(2 * SECOND) { heartbeat(worker) }
    }

    /** Provisions a machine; now and then one never comes up. */
    fun provision(zone: String): String {
        val worker = boot(zone)
        if (random.nextInt(8) > 0) context.at(random.nextInt(LONGEST_BOOT_US).toLong()) { powerOn(worker) }
        return worker.name
    }

    /** Machines that have been replaced already. */
    val replaced = HashSet<String>()

    /** The cloud terminates machines; others come up in their zones. */
    fun terminate(names: Collection<String>) {
        for (worker in names.mapNotNull { byName[it] }.filter { !it.gone }) {
            worker.terminate()
            if (worker.name !in replaced) context.at(random.nextInt(LONGEST_BOOT_US).toLong()) { powerOn(boot(worker.zone)) }
        }
    }

    fun blockOutbound(
        worker: SimulatedWorker,
        forUs: Long,
    ) {
        outboundBlockedUntilUs[worker.name] = context.now + forUs
    }

    private fun heartbeat(worker: SimulatedWorker) {
        if (worker.gone || worker.isHung(context.now)) return
        if (context.now < (outboundBlockedUntilUs[worker.name] ?: 0)) return
        val controller = controllers()[target.getValue(worker.name)]
        val heartbeat = worker.heartbeat()
        val sentUs = context.now
        var answered = false
        if (random.nextInt(25) == 0) {
            val copy = if (context.mutation == Mutation.COPIES_BELIEVED) heartbeat.copy(sequence = Long.MAX_VALUE / 2) else heartbeat
            context.at(random.nextInt(LATEST_US).toLong()) { controllers()[random.nextInt(CONTROLLERS)].answer(copy) }
        }
        context.send(worker.name, hostOf(controller.id)) {
            val answer = controller.answer(heartbeat)
            context.send(hostOf(controller.id), worker.name) {
                answered = true
                if (worker.gone) return@send
                if (answer != null && !worker.isHung(context.now)) {
                    worker.receiveAnswer(answer.fencingToken, answer.commands, heartbeat.agentEpoch, sentUs, context.now)
                } else if (answer == null) {
                    redirect(worker)
                }
            }
        }
        context.at(4 * SECOND) { if (!answered) redirect(worker) }
    }

    private fun redirect(worker: SimulatedWorker) {
        val owner = state.owners[partitionOf(worker)]?.controller
        target[worker.name] = owner?.takeIf { random.nextInt(4) > 0 } ?: random.nextInt(CONTROLLERS)
    }

    private companion object {
        const val LONGEST_BOOT_US = 10_000_000
    }
}
