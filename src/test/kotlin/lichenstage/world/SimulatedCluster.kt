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
 * A cluster of several controllers and workers that runs on virtual time. The controllers use the real decision logic. Crashes, network
 * cuts, hangs, and held or repeated messages are drawn from the seed. Copies of heartbeats and repeats of orders arrive up to three worker
 * leases late. Authority is modelled only by simple leases in the state service, since the tests are about the decisions that rely on it.
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
    private val randomFaults = RandomFaults(this, random, hasMachineChurn = profile.hasMachineChurn, profile.hasLongOutages)
    private val scriptedEvents = ArrayList<ScriptedEvent>()

    private class ScriptedEvent(
        val atUs: Long,
        val event: SimulatedCluster.() -> Unit,
    )

    init {
        context.zones.forEach { zone -> repeat(profile.machinesPerZone) { machines.addMachine(zone) } }
    }

    val nowUs get() = context.nowUs

    /** A hash of all events so far; see [SimulatedNetwork.eventDigest]. */
    val eventDigest get() = network.eventDigest
    val checker get() = context.checker
    val orderEvents get() = context.orderEvents
    val doneJobs: Set<String> get() = state.doneJobs
    val openJobs get() = state.openJobs.keys.toList()

    /** The number of the controller that owns the leadership; -1 if there is none. */
    val leaderId get() = state.owners[SimulatedLeadership.KEY]?.controller ?: -1

    /** The number of machines that are not terminated. */
    val machineCount get() = machines.count

    /**
     * Runs the cluster for [faultsUs] with faults and then for [calmUs] without. If there is no script, the jobs and faults are drawn from
     * the seed.
     */
    fun run(
        faultsUs: Long,
        calmUs: Long,
    ) {
        network.delayedMessageShare = profile.delayedMessageShare
        controllers.forEach { controller -> context.every(200 * MILLI) { if (!controller.isFrozen) controller.step() } }
        machines.all.toList().forEach(machines::powerOn)
        if (!profile.hasMachineChurn) machines.registry.add(machines.all.map { it.name })
        if (scriptedEvents.isEmpty()) {
            users.submitRandomJobs(profile.jobs, faultsUs)
            repeat(profile.faults) { after(random.nextInt(faultsUs.toInt()).toLong(), ::injectRandomFault) }
        }
        scriptedEvents.forEach { after(it.atUs) { it.event(this) } }
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

    /** Returns a description of the state of all controllers, for messages of failed tests. */
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

    /** Adds [event] to the script, to happen at [atUs]. A cluster with a script has no other jobs, cancellations or injected faults. */
    fun script(
        atUs: Long,
        event: SimulatedCluster.() -> Unit,
    ) {
        scriptedEvents += ScriptedEvent(atUs, event)
    }

    fun after(
        delayUs: Long,
        event: () -> Unit,
    ) = context.after(delayUs, event)

    // Actions of users and operators.

    /** Submits [jobs] random jobs at random times within [withinUs]. Some of them are cancelled. */
    fun submitRandomJobs(
        jobs: Int,
        withinUs: Long,
        firstNumber: Int = 0,
    ) = users.submitRandomJobs(jobs, withinUs, firstNumber)

    /** Submits job [n], whose two tasks run for [runUs] on average. */
    fun submitLongRunning(
        n: Int,
        runUs: Long,
    ) = users.submitLongRunning(n, runUs)

    /** Submits job [n], whose tasks must run in the same zone or else be spread over several. */
    fun submitZoneConstrained(
        n: Int,
        tasks: Int,
        requiresSameZone: Boolean,
    ) = users.submitZoneConstrained(n, tasks, requiresSameZone)

    /** Submits job [n], whose tasks have very different run times. */
    fun submitUnevenRunTimes(n: Int) = users.submitUnevenRunTimes(n)

    /** Submits a pipeline of four jobs, numbered from [n]. Some pipelines depend on an earlier job, unless [isIndependent] is set. */
    fun submitPipeline(
        n: Int,
        isIndependent: Boolean = false,
    ) = users.submitPipeline(n, isIndependent)

    /** Cancels a job through controller [controllerId], or through the next one that can confirm the cancellation. */
    fun cancel(
        id: String,
        controllerId: Int,
    ) = users.cancel(id, controllerId)

    /** Cancels up to [count] jobs that other jobs depend on. */
    fun cancelPipelines(count: Int) = users.cancelPipelines(count)

    /** Requests a drain of one in [share] machines, with at most [atMost] machines at a time. */
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

    /** The number of records of drain steps that leaders have written. */
    val drainWrites get() = state.drainWrites

    fun getDrain(name: String): Drain = state.drains.getValue(name)

    /** Returns how many machines of the drain are recorded in each stage. */
    fun stageCounts(name: String): Map<Stage, Int> =
        state.drainState.machines.values
            .filter { it.drain == name }
            .groupingBy { it.stage }
            .eachCount()

    /** Returns how many tasks of the job are on machines. */
    fun runningTaskCount(job: String) = checker.runningTaskCount(job)

    // Faults. Controllers and machines are given by number.

    /** Injects a fault whose kind, target and duration are drawn from the seed. */
    fun injectRandomFault() = randomFaults.inject()

    fun crash(
        id: Int,
        backAfterUs: Long,
    ) = controllers[id].crash(backAfterUs)

    /** Crashes a controller for a random time. In a third of the cases it is back within half a second. */
    fun crash(id: Int) {
        val awayUs = if (random.nextInt(3) == 0) random.nextInt(300_000) else random.nextInt(6_000_000)
        crash(id, 100 * MILLI + awayUs)
    }

    /** Pauses a controller's process, which then goes on without a restart. */
    fun freeze(
        id: Int,
        durationUs: Long,
    ) = network.freeze(hostOf(id), durationUs)

    fun cutFromState(
        id: Int,
        durationUs: Long,
        holdsMessages: Boolean,
    ) = network.cut(hostOf(id), SimulatedNetwork.STATE, durationUs, holdsMessages)

    /** Makes the state service unavailable to one controller: all messages between them are lost. */
    fun refuse(
        id: Int,
        durationUs: Long,
    ) = cutFromState(id, durationUs, holdsMessages = false)

    /**
     * Makes the state service unavailable to all controllers. Leases that are valid at the start of the outage are valid again for a full
     * lease duration after its end.
     */
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

    /** Cuts a machine off from all controllers. Messages are held until the end of the cut, or lost. */
    fun cutOff(
        worker: Int,
        durationUs: Long,
        holdsMessages: Boolean,
    ) = controllers.forEach { network.cut(machines[worker].name, hostOf(it.id), durationUs, holdsMessages) }

    /** Cuts a machine off from all controllers except [id]. */
    fun restrictTo(
        worker: Int,
        id: Int,
        durationUs: Long,
    ) = controllers.filter { it.id != id }.forEach { network.cut(machines[worker].name, hostOf(it.id), durationUs, holdsMessages = false) }

    /** Lets no message reach a machine. */
    fun blockInbound(
        worker: Int,
        durationUs: Long,
    ) = network.blockInbound(machines[worker].name, durationUs)

    /** Lets no heartbeat of a machine reach a controller. */
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

    /** Makes every task fail on a machine from now on. */
    fun makeFaulty(number: Int) {
        machines[number].isFaulty = true
    }

    /** Lets the cloud terminate a machine without notice. Does nothing if the profile has no machine churn. */
    fun terminateMachine(number: Int) {
        if (profile.hasMachineChurn) machines.terminate(listOf(machines[number].name))
    }

    private companion object {
        const val MAX_FAULT_US = 60 * SECOND
    }
}
