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
    private val faults = RandomFaults(this, random, hasMachineChurn = profile.hasMachineChurn, profile.hasLongOutages)
    private val script = ArrayList<ScriptedEvent>()

    private class ScriptedEvent(
        val atUs: Long,
        val event: SimulatedCluster.() -> Unit,
    )

    init {
        context.zones.forEach { zone -> repeat(profile.machinesPerZone) { machines.addMachine(zone) } }
    }

    val nowUs get() = context.nowUs

    /** A hash of all that has happened; see [SimulatedNetwork.eventDigest]. */
    val eventDigest get() = network.eventDigest
    val checker get() = context.checker
    val orderEvents get() = context.orderEvents
    val doneJobs: Set<String> get() = state.doneJobs
    val openJobs get() = state.openJobs.keys.toList()

    /** The controller that owns the leadership; -1 where none does. */
    val leader get() = state.owners[SimulatedLeadership.KEY]?.controller ?: -1

    /** How many machines there are. */
    val machineCount get() = machines.count

    fun run(
        faultsUs: Long,
        calmUs: Long,
    ) {
        network.delayedMessageShare = profile.delayedMessageShare
        controllers.forEach { controller -> context.every(200 * MILLI) { if (!controller.isFrozen) controller.step() } }
        machines.all.toList().forEach(machines::powerOn)
        if (!profile.hasMachineChurn) machines.registry.add(machines.all.map { it.name })
        if (script.isEmpty()) {
            users.submitRandomJobs(profile.jobs, faultsUs)
            repeat(profile.faults) { after(random.nextInt(faultsUs.toInt()).toLong(), ::injectRandomFault) }
        }
        script.forEach { after(it.atUs) { it.event(this) } }
        context.every(SECOND) { checker.checkCancelledTasks(nowUs) }
        context.every(SECOND) {
            if (nowUs >
                faultsUs + MAX_FAULT_US
            ) {
                checker.checkWaiting(state.openJobs.values.filter(state::isReady), nowUs)
            }
        }
        checker.faultsEndUs = faultsUs + MAX_FAULT_US
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
                leader?.partitions?.map { (id, view) -> "\n  $id term ${view.term} v${view.version} ${view.machines.values}" }
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
    ) = context.after(delayUs, event)

    // Users.

    /** Submits [jobs] jobs within a time, some of which are cancelled. */
    fun submitRandomJobs(
        jobs: Int,
        withinUs: Long,
        firstNumber: Int = 0,
    ) = users.submitRandomJobs(jobs, withinUs, firstNumber)

    /** A job whose tasks run for long. */
    fun submitLongRunning(
        n: Int,
        runUs: Long,
    ) = users.submitLongRunning(n, runUs)

    /** A job of few tasks that is bound to one zone, or spread over several. */
    fun submitZoneConstrained(
        n: Int,
        tasks: Int,
        sameZone: Boolean,
    ) = users.submitZoneConstrained(n, tasks, sameZone)

    /** A job whose tasks run for very different times. */
    fun submitUnevenRunTimes(n: Int) = users.submitUnevenRunTimes(n)

    /** Four jobs that need each other, numbered from [n], and perhaps an earlier one unless they are to be [isIndependent]. */
    fun submitPipeline(
        n: Int,
        isIndependent: Boolean = false,
    ) = users.submitPipeline(n, isIndependent)

    /** A user asks the controller [controllerId], or the next that can confirm it. */
    fun cancel(
        id: String,
        controllerId: Int,
    ) = users.cancel(id, controllerId)

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
                .filter { !it.isTerminated }
                .map { it.name }
                .filterIndexed { i, _ -> i % share == 0 }
        state.drainedMachines += names.map { DrainedMachine(it, name, Stage.WAITING, nowUs) }
        state.drains[name] = Drain(name, replace, atMost, DrainStatus.RUNNING, null, nowUs, null)
    }

    fun setDrain(
        name: String,
        status: DrainStatus,
    ) {
        state.drains.computeIfPresent(name) { _, drain -> drain.copy(status = status) }
    }

    /** How often leaders have recorded a step of drains. */
    val drainWrites get() = state.drainWrites

    fun getDrain(name: String): Drain = state.drains.getValue(name)

    /** Machines of the drain by stage, as recorded. */
    fun stageCounts(name: String): Map<Stage, Int> =
        state.drainState.machines.values
            .filter { it.drain == name }
            .groupingBy { it.stage }
            .eachCount()

    /** How many tasks of the job are on machines. */
    fun runningTaskCount(job: String) = checker.runningTaskCount(job)

    // Faults.

    /** A fault of any kind, as the seed has it. */
    fun injectRandomFault() = faults.inject()

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
        durationUs: Long,
    ) = network.freeze(hostOf(id), durationUs)

    fun cutFromState(
        id: Int,
        durationUs: Long,
        holdsMessages: Boolean,
    ) = network.cut(hostOf(id), SimulatedNetwork.STATE, durationUs, holdsMessages)

    /** The state service refuses a controller alone. */
    fun refuse(
        id: Int,
        durationUs: Long,
    ) = cutFromState(id, durationUs, holdsMessages = false)

    /** The state service answers nobody; after that all leases have their full time again. */
    fun beginOutage(durationUs: Long) = state.beginOutage(durationUs)

    fun slowDownState(durationUs: Long) = network.slowDownState(durationUs)

    fun cutControllers(
        idA: Int,
        idB: Int,
        durationUs: Long,
        holdsMessages: Boolean,
    ) = network.cut(hostOf(idA), hostOf(idB), durationUs, holdsMessages)

    fun disconnect(
        idA: Int,
        idB: Int,
        durationUs: Long,
    ) = cutControllers(idA, idB, durationUs, holdsMessages = false)

    fun cutFromWorkers(
        id: Int,
        durationUs: Long,
        holdsMessages: Boolean,
    ) = machines.all.forEach { network.cut(it.name, hostOf(id), durationUs, holdsMessages) }

    fun cutZones(
        zoneA: String,
        zoneB: String,
        durationUs: Long,
        holdsMessages: Boolean,
    ) = hostsIn(zoneA).forEach { host -> hostsIn(zoneB).forEach { network.cut(host, it, durationUs, holdsMessages) } }

    private fun hostsIn(zone: String) =
        context.controllers.filterValues { it == zone }.keys + machines.all.filter { it.zone == zone }.map { it.name }

    /** Nothing passes between a machine and any controller; reports are held, or lost. */
    fun cutOff(
        worker: Int,
        durationUs: Long,
        holdsMessages: Boolean,
    ) = controllers.forEach { network.cut(machines[worker].name, hostOf(it.id), durationUs, holdsMessages) }

    /** Only controller [id] is in reach of a machine. */
    fun restrictTo(
        worker: Int,
        id: Int,
        durationUs: Long,
    ) = controllers.filter { it.id != id }.forEach { network.cut(machines[worker].name, hostOf(it.id), durationUs, holdsMessages = false) }

    fun blockInbound(
        worker: Int,
        durationUs: Long,
    ) = network.blockInbound(machines[worker].name, durationUs)

    fun blockOutbound(
        worker: Int,
        durationUs: Long,
    ) = machines.blockOutbound(machines[worker], durationUs)

    fun hang(
        worker: Int,
        durationUs: Long,
    ) {
        machines[worker].hungUntilUs = nowUs + durationUs
    }

    /** The cloud takes a machine without notice. */
    fun terminateMachine(number: Int) {
        if (profile.hasMachineChurn) machines.terminate(listOf(machines[number].name))
    }

    private companion object {
        const val MAX_FAULT_US = 60 * SECOND
    }
}
