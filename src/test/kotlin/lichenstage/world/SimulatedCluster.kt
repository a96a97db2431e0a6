package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.drain.Drain
import lichenstage.drain.DrainStatus
import lichenstage.drain.DrainedMachine
import lichenstage.drain.Stage
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.hostOf

/**
 * Controllers' decision logic and workers on virtual time, with crashes, cuts, hangs and held and repeated messages drawn
 * from a seed. Copies of reports and repeats of orders come up to three leases late. Authority is a small model of leases in the state
 * service: what is under test is what is decided with it.
 */
class SimulatedCluster(
    seed: Long,
    mutation: Mutation = Mutation.NONE,
    private val profile: ClusterProfile = ClusterProfile(),
) {
    private val context = SimulationContext(seed, mutation, profile)
    private val network = context.network
    private val random = context.random
    private val state = SimulatedStateService(context)
    private val machines = SimulatedMachines(context, state) { controllers }
    private val controllers: List<SimulatedController> =
        List(CONTROLLERS) { SimulatedController(it, context, state, machines) { controllers } }
    private val users = SimulatedUsers(context, state, controllers)
    private val faults = RandomFaults(this, random, hasMachineChurn = profile.hasMachineChurn, profile.longOutages)
    private val script = ArrayList<ScriptedEvent>()

    private class ScriptedEvent(
        val atUs: Long,
        val event: SimulatedCluster.() -> Unit,
    )

    init {
        context.zones.forEach { zone -> repeat(profile.machinesPerZone) { machines.boot(zone) } }
    }

    val now get() = context.now

    /** A hash of all that has happened; see [SimulatedNetwork.eventDigest]. */
    val eventDigest get() = network.eventDigest
    val checker get() = context.checker
    val orderEvents get() = context.orderEvents
    val done: Set<String> get() = state.done
    val openJobs get() = state.open.keys.toList()

    /** The controller that owns the leadership; -1 where none does. */
    val leader get() = state.owners[SimulatedLeadership.KEY]?.controller ?: -1

    /** How many machines there are. */
    val machineCount get() = machines.count

    fun run(
        faultsUs: Long,
        calmUs: Long,
    ) {
        network.delayedMessageShare = profile.delayedMessageShare
        controllers.forEach { controller -> context.every(200 * MILLI) { if (!controller.frozen) controller.step() } }
        machines.all.toList().forEach(machines::powerOn)
        if (!profile.hasMachineChurn) machines.registry.add(machines.all.map { it.name })
        if (script.isEmpty()) {
            users.load(profile.jobs, faultsUs)
            repeat(profile.faults) { after(random.nextInt(faultsUs.toInt()).toLong(), ::injectRandomFault) }
        }
        script.forEach { after(it.atUs) { it.event(this) } }
        context.every(SECOND) { checker.sweep(now) }
        context.every(SECOND) { if (now > faultsUs + LONGEST_FAULT_US) checker.waiting(state.open.values.filter(state::isReady), now) }
        checker.calmFromUs = faultsUs + LONGEST_FAULT_US
        context.every(40 * MILLI) { users.poll() }
        network.runUntil(faultsUs + calmUs)
    }

    /** The state of all controllers, for the message of a failed test. */
    fun describe(): String =
        controllers.joinToString("\n") { controller ->
            val leader = controller.leadership.leader
            "n${controller.id} partitions ${controller.partitions.mapValues { it.value.term }} leader ${leader?.term} " +
                "complete ${leader?.isFailoverComplete} " +
                leader?.jobs?.values?.joinToString {
                    "${it.spec.id} ${it.phase} pending ${it.pendingTasks} alive ${it.liveAttempts.keys} done ${it.doneTasks}"
                } +
                leader?.partitions?.map { (id, known) -> "\n  $id term ${known.term} v${known.version} ${known.machines.values}" }
        } + "\nowners ${state.owners}"

    /** Has [event] happen at [atUs]; a cluster with a script has no other faults, jobs or cancellations. */
    fun script(
        atUs: Long,
        event: SimulatedCluster.() -> Unit,
    ) {
        script += ScriptedEvent(atUs, event)
    }

    fun after(
        delayUs: Long,
        event: () -> Unit,
    ) = context.at(delayUs, event)

    // Users.

    /** Submits [jobs] jobs within a time, some of which are cancelled. */
    fun load(
        jobs: Int,
        withinUs: Long,
        first: Int = 0,
    ) = users.load(jobs, withinUs, first)

    /** A job whose tasks run for long. */
    fun submitLong(
        n: Int,
        runUs: Long,
    ) = users.submitLong(n, runUs)

    /** A job of few tasks that is bound to one zone, or spread over several. */
    fun submitBound(
        n: Int,
        tasks: Int,
        sameZone: Boolean,
    ) = users.submitBound(n, tasks, sameZone)

    /** A job whose tasks run for very different times. */
    fun submitUneven(n: Int) = users.submitUneven(n)

    /** Four jobs that need each other, numbered from [n], and perhaps an earlier one unless they are to be [alone]. */
    fun submitPipeline(
        n: Int,
        alone: Boolean = false,
    ) = users.submitPipeline(n, alone)

    /** A user asks the controller [by], or the next that can confirm it. */
    fun cancel(
        id: String,
        by: Int,
    ) = users.cancel(id, by)

    fun cancelPipelines(count: Int) = users.cancelPipelines(count)

    /** An operator asks for a drain of all machines that there are, or of one in [share] of them. */
    fun drainAll(
        name: String,
        atMost: Int,
        replace: Boolean,
        share: Int = 1,
    ) {
        val names =
            machines.all
                .filter { !it.gone }
                .map { it.name }
                .filterIndexed { i, _ -> i % share == 0 }
        state.drainedMachines += names.map { DrainedMachine(it, name, Stage.WAITING, now) }
        state.drains[name] = Drain(name, replace, atMost, DrainStatus.RUNNING, null, now, null)
    }

    fun setDrain(
        name: String,
        status: DrainStatus,
    ) {
        state.drains.computeIfPresent(name) { _, drain -> drain.copy(status = status) }
    }

    /** How often leaders have recorded a step of drains. */
    val drainWrites get() = state.drainWrites

    fun drain(name: String): Drain = state.drains.getValue(name)

    /** Machines of the drain by stage, as recorded. */
    fun stages(name: String): Map<Stage, Int> =
        state.drainState.machines.values
            .filter { it.drain == name }
            .groupingBy { it.stage }
            .eachCount()

    /** How many tasks of the job are on machines. */
    fun running(job: String) = checker.running(job)

    // Faults.

    /** A fault of any kind, as the seed has it. */
    fun injectRandomFault() = faults.next()

    fun crash(
        id: Int,
        backAfterUs: Long,
    ) = controllers[id].crash(backAfterUs)

    /** As [crash], for a time that is drawn; now and then it is back within a fraction of a second. */
    fun crash(id: Int) {
        val awayUs = if (random.nextInt(3) == 0) random.nextInt(300_000) else random.nextInt(6_000_000)
        crash(id, 100 * MILLI + awayUs)
    }

    /** A controller does nothing for a time, and then goes on. */
    fun freeze(
        id: Int,
        forUs: Long,
    ) = network.freeze(hostOf(id), forUs)

    fun cutFromState(
        id: Int,
        forUs: Long,
        held: Boolean,
    ) = network.cut(hostOf(id), SimulatedNetwork.STATE, forUs, held)

    /** The state service refuses a controller alone. */
    fun refuse(
        id: Int,
        forUs: Long,
    ) = cutFromState(id, forUs, held = false)

    /** The state service answers nobody; after that all leases have their full time again. */
    fun outage(forUs: Long) = state.outage(forUs)

    fun slowState(forUs: Long) = network.slowState(forUs)

    fun cutControllers(
        one: Int,
        other: Int,
        forUs: Long,
        held: Boolean,
    ) = network.cut(hostOf(one), hostOf(other), forUs, held)

    fun disconnect(
        one: Int,
        other: Int,
        forUs: Long,
    ) = cutControllers(one, other, forUs, held = false)

    fun cutFromWorkers(
        id: Int,
        forUs: Long,
        held: Boolean,
    ) = machines.all.forEach { network.cut(it.name, hostOf(id), forUs, held) }

    fun cutZones(
        one: String,
        other: String,
        forUs: Long,
        held: Boolean,
    ) = hostsIn(one).forEach { host -> hostsIn(other).forEach { network.cut(host, it, forUs, held) } }

    private fun hostsIn(zone: String) =
        context.controllers.filterValues { it == zone }.keys + machines.all.filter { it.zone == zone }.map { it.name }

    /** Nothing passes between a machine and any controller; reports are held, or lost. */
    fun cutOff(
        worker: Int,
        forUs: Long,
        held: Boolean,
    ) = controllers.forEach { network.cut(machines[worker].name, hostOf(it.id), forUs, held) }

    /** Only controller [id] is in reach of a machine. */
    fun restrictTo(
        worker: Int,
        id: Int,
        forUs: Long,
    ) = controllers.filter { it.id != id }.forEach { network.cut(machines[worker].name, hostOf(it.id), forUs, held = false) }

    fun blockInbound(
        worker: Int,
        forUs: Long,
    ) = network.blockInbound(machines[worker].name, forUs)

    fun blockOutbound(
        worker: Int,
        forUs: Long,
    ) = machines.blockOutbound(machines[worker], forUs)

    fun hang(
        worker: Int,
        forUs: Long,
    ) {
        machines[worker].hungUntilUs = now + forUs
    }

    /** The cloud takes a machine without notice. */
    fun takeMachine(number: Int) {
        if (profile.hasMachineChurn) machines.terminate(listOf(machines[number].name))
    }

    private companion object {
        const val LONGEST_FAULT_US = 60 * SECOND
    }
}
