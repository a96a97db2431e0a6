package lichenstage.world

import lichenstage.cluster.PartitionFrame
import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Resources
import lichenstage.placement.CompletionDelta
import lichenstage.placement.Job
import lichenstage.placement.LeaderCore
import lichenstage.placement.LeaderEffect
import lichenstage.placement.LeaderLookups
import lichenstage.placement.LeaderSettings
import lichenstage.placement.LeaderTerm
import lichenstage.placement.PlacementSettings
import lichenstage.placement.ServiceObjectives
import lichenstage.world.SimulationContext.Companion.MACHINE_CORES
import lichenstage.world.SimulationContext.Companion.MACHINE_MEMORY_GB
import lichenstage.world.SimulationContext.Companion.WORKER_LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf

/** A controller's leadership, while it holds the key: the leader's decisions with the state service, the partitions and the fleet. */
internal class SimulatedLeadership(
    private val controller: SimulatedController,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val machines: SimulatedMachines,
    private val controllers: () -> List<SimulatedController>,
) {
    private val mutation = context.mutation
    private val host = hostOf(controller.id)
    private val now get() = context.now
    private val seenJobs = HashSet<String>()
    private var fleet: SimulatedFleet? = null
    private var isCancellingOrphans = false
    private var drains: SimulatedDrains? = null

    /** Null while another controller leads, or none. */
    var leader: LeaderCore? = null
        private set

    fun end() {
        leader = null
    }

    fun jobClosed(job: String) = leader?.onJobClosed(job) ?: Unit

    fun frame(frame: PartitionFrame) {
        leader?.onPartitionFrame(frame, now)
        if (controller.hasAuthority) leader?.tick(now)
    }

    fun step() {
        val mine = controller.authority.owners[KEY]?.takeIf { it.controller == controller.id }
        if (mine == null) return end()
        val current = leader?.takeIf { it.term == mine.term } ?: if (controller.reachesState) startTerm(mine.term) else return
        if (controller.reachesState) follow(current)
        markReady(current)
        cancelOrphans(current)
        current.tick(now)
        if (controller.reachesState && context.profile.hasMachineChurn) fleet?.step()
        if (controller.reachesState) drains?.step()
    }

    /** What the leader's watch of the open jobs brings. */
    private fun follow(leader: LeaderCore) {
        state.open.values
            .filter { it.id !in seenJobs }
            .forEach { addJob(leader, it) }
        if (mutation == Mutation.CANCEL_UNHEARD) return
        leader.jobs.keys
            .filter { it !in state.open }
            .forEach(leader::onJobClosed)
    }

    private fun markReady(leader: LeaderCore) =
        leader.jobs.values
            .filter {
                !it.isReady &&
                    (mutation == Mutation.NEEDS_IGNORED || controller.dependencyGraph.readySinceUs(it.spec.dependencies) != null)
            }.forEach { leader.onJobReady(it, now) }

    /** Jobs of which one that they need is cancelled are recorded as such. */
    private fun cancelOrphans(leader: LeaderCore) {
        val due = controller.dependencyGraph.findOrphans(6).filter { it in leader.jobs }
        if (due.isEmpty() || isCancellingOrphans) return
        isCancellingOrphans = true
        write(leader.term, { due.filter { it in state.open }.forEach { state.end(it, isDone = false) } }) { current, ok ->
            isCancellingOrphans = false
            if (ok) due.forEach(current::onJobClosed)
        }
    }

    private fun startTerm(term: Long): LeaderCore {
        val started = leaderCore(term)
        isCancellingOrphans = false
        if (mutation != Mutation.REGISTRY_LOST) started.addRecoveredMachines(machines.registry.all().map(machines::recovered))
        leader = started
        fleet = SimulatedFleet(started, machines.registry, site(term), context.random, context.profile.onlyOperatorsDrain)
        val policy = context.profile.drainPolicy.takeIf { controller.id !in context.profile.controllersWithoutDrains }
        drains = policy?.let { SimulatedDrains(started, it, context, state, machines, fleet!!, site(term)) }
        seenJobs.clear()
        state.open.values.forEach { addJob(started, it) }
        return started
    }

    private fun leaderCore(term: Long): LeaderCore {
        val limits = if (mutation == Mutation.IGNORED_LIMIT) context.teams.mapValues { it.value.copy(coresMax = 1e9) } else context.teams
        val lease = if (mutation == Mutation.EAGER_OWNER) -3 * SECOND else WORKER_LEASE_US
        return LeaderCore(
            LeaderTerm(term, term),
            LeaderSettings(
                context.assignment,
                limits,
                lease,
                PlacementSettings(),
                ServiceObjectives(emptyList()),
                maxChangesPerTransaction = 12,
            ),
            LeaderLookups({ Resources(MACHINE_CORES, 0.0, MACHINE_MEMORY_GB) }, dependentsOf = controller.dependencyGraph::dependentsOf),
            { drains?.attemptInterrupted(it) },
        ) { execute(term, it) }
    }

    private fun site(term: Long) =
        object : FleetEnvironment {
            override fun at(
                delayUs: Long,
                run: () -> Unit,
            ) = context.at(delayUs, run)

            override fun write(
                apply: () -> Unit,
                answered: (Boolean) -> Unit,
            ) = this@SimulatedLeadership.write(term, apply) { _, ok -> answered(ok) }

            override fun terminate(names: Collection<String>) = machines.terminate(names)

            override fun recoveredMachine(name: String) = machines.recovered(name)

            override fun leads(leader: LeaderCore) = controller.alive && this@SimulatedLeadership.leader === leader
        }

    private fun addJob(
        leader: LeaderCore,
        job: SimulatedJob,
    ) {
        seenJobs += job.id
        if (mutation == Mutation.JOB_FORGOTTEN && job.id == "j-3") return
        val added = Job(spec(job), job.stamp, now)
        if (mutation != Mutation.RANGES_LOST) added.restoreDoneTasks(state.durable.getValue(job.id))
        leader.addJob(added)
    }

    private fun spec(job: SimulatedJob) =
        JobSpec(
            id = job.id,
            jobClass = "class",
            team = job.team,
            priority = Priority.STANDARD,
            tasks = job.tasks,
            resources = Resources(job.cores, 0.0, 1.0),
            allowedTypes = null,
            zone = null,
            sameZone = job.sameZone && mutation != Mutation.ZONES_IGNORED,
            spread = job.spread && mutation != Mutation.ZONES_IGNORED,
            spot = false,
            image = "image",
            imageGb = 1.0,
            estimatedRunTimeUs = job.runUs,
            checkpointIntervalUs = 0,
            checkpointSaveUs = 0,
            deadlineUs = null,
            submittedUs = 0,
            dependencies = job.dependencies,
        )

    private fun execute(
        term: Long,
        effect: LeaderEffect,
    ) {
        when (effect) {
            is LeaderEffect.SendFrame -> {
                val to = controllers()[state.owners[effect.partition]?.controller ?: return]
                val receiver = to.incarnation
                context.send(host, hostOf(to.id)) { if (to.incarnation == receiver) to.deliver(effect.frame) }
            }

            is LeaderEffect.WriteCompletionChunks -> {
                write(term, { effect.deltas.forEach(::recorded) }) { leader, ok -> leader.onRangesWritten(effect.deltas, ok, now) }
            }

            is LeaderEffect.RecordJobCompletion -> {
                write(term, { state.finish(effect.job.spec.id) }) { leader, ok ->
                    if (ok) leader.onCompletionRecorded(effect.job, now) else leader.onCompletionFailed(effect.job)
                }
            }
        }
    }

    /** A transaction with the leadership as its precondition; its answer may not come. */
    private fun write(
        term: Long,
        apply: () -> Unit,
        answer: (LeaderCore, Boolean) -> Unit,
    ) {
        val sender = controller.incarnation
        var answered = false

        fun complete(ok: Boolean) {
            if (answered || controller.incarnation != sender) return
            answered = true
            leader?.takeIf { it.term == term }?.let { answer(it, ok) }
        }
        context.at(3 * SECOND) { complete(false) }
        context.send(host, SimulatedNetwork.STATE, repeats = false) {
            val ok = state.owners[KEY]?.term == term
            if (ok) apply()
            context.send(host, SimulatedNetwork.STATE, repeats = false) { complete(ok) }
        }
    }

    private fun recorded(delta: CompletionDelta) {
        val id = delta.job.spec.id
        state.durable.getValue(id).or(delta.recordedTasks)
        val tooEarly = mutation == Mutation.DONE_TOO_EARLY && delta.recordedTasks.cardinality() * 3 > state.jobs.getValue(id).tasks
        if (tooEarly) state.finish(id)
    }

    companion object {
        /** The key of the leadership in the state service. */
        const val KEY = "leader"
    }
}
