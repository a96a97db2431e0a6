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
import lichenstage.state.WriteOutcome
import lichenstage.world.SimulationContext.Companion.MACHINE_CORES
import lichenstage.world.SimulationContext.Companion.MACHINE_MEMORY_GB
import lichenstage.world.SimulationContext.Companion.WORKER_LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf

/**
 * A controller's leadership while it owns the leadership's key. Connects the leader's decision logic with the state service, the partitions
 * and the fleet.
 */
internal class SimulatedLeadership(
    private val controller: SimulatedController,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val machines: SimulatedMachines,
    private val controllers: () -> List<SimulatedController>,
) {
    private val mutation = context.mutation
    private val host = hostOf(controller.id)
    private val nowUs get() = context.nowUs
    private val seenJobs = HashSet<String>()
    private var fleet: SimulatedFleet? = null
    private var isCancellingOrphans = false
    private var drains: SimulatedDrains? = null

    /** The leader's decision logic; null while this controller does not lead. */
    var leader: LeaderCore? = null
        private set

    fun stopLeading() {
        leader = null
    }

    fun onJobClosed(job: String) = leader?.onJobClosed(job) ?: Unit

    fun onPartitionFrame(frame: PartitionFrame) {
        leader?.onPartitionFrame(frame, nowUs)
        if (controller.hasAuthority) leader?.tick(nowUs)
    }

    fun step() {
        val ownership = controller.authority.owners[KEY]?.takeIf { it.controller == controller.id }
        if (ownership == null) return stopLeading()
        val currentLeader =
            leader?.takeIf { it.term == ownership.term } ?: if (controller.canReachState) startTerm(ownership.term) else return
        if (controller.canReachState) updateJobs(currentLeader)
        markReady(currentLeader)
        cancelOrphans(currentLeader)
        currentLeader.tick(nowUs)
        if (controller.canReachState && context.profile.hasMachineChurn) fleet?.step()
        if (controller.canReachState) drains?.step()
    }

    /** Adds new jobs and closes ended ones, as the leader's watch of the open jobs does. */
    private fun updateJobs(leader: LeaderCore) {
        state.openJobs.values
            .filter { it.id !in seenJobs }
            .forEach { addJob(leader, it) }
        if (mutation == Mutation.CANCELLATION_NOT_PROPAGATED) return
        leader.jobs.keys
            .filter { it !in state.openJobs }
            .forEach(leader::onJobClosed)
    }

    private fun markReady(leader: LeaderCore) =
        leader.jobs.values
            .filter {
                !it.isReady &&
                    (mutation == Mutation.DEPENDENCIES_IGNORED || controller.dependencyGraph.readySinceUs(it.spec.dependencies) != null)
            }.forEach { leader.onJobReady(it, nowUs) }

    /** Records jobs as cancelled if one of their dependencies is cancelled. */
    private fun cancelOrphans(leader: LeaderCore) {
        val orphans = controller.dependencyGraph.findOrphans(6).filter { it in leader.jobs }
        if (orphans.isEmpty() || isCancellingOrphans) return
        isCancellingOrphans = true
        write(
            leader.term,
            { orphans.filter { it in state.openJobs }.forEach { state.recordEnd(it, isDone = false) } },
        ) { currentLeader, isWritten ->
            isCancellingOrphans = false
            if (isWritten) orphans.forEach(currentLeader::onJobClosed)
        }
    }

    private fun startTerm(term: Long): LeaderCore {
        val newLeader = createLeaderCore(term)
        isCancellingOrphans = false
        if (mutation !=
            Mutation.REGISTRY_NOT_RECOVERED
        ) {
            newLeader.addRecoveredMachines(machines.registry.all().map(machines::recoveredMachine))
        }
        leader = newLeader
        fleet = SimulatedFleet(newLeader, machines.registry, fleetEnvironment(term), context.random, context.profile.hasOnlyOperatorDrains)
        val policy = context.profile.drainPolicy.takeIf { controller.id !in context.profile.controllersWithoutDrains }
        drains = policy?.let { SimulatedDrains(newLeader, it, context, state, machines, fleet!!, fleetEnvironment(term)) }
        seenJobs.clear()
        state.openJobs.values.forEach { addJob(newLeader, it) }
        return newLeader
    }

    private fun createLeaderCore(term: Long): LeaderCore {
        val limits =
            if (mutation ==
                Mutation.TEAM_LIMIT_IGNORED
            ) {
                context.teams.mapValues { it.value.copy(coreLimit = 1e9) }
            } else {
                context.teams
            }
        val leaseUs = if (mutation == Mutation.NO_LEASE_WAIT_AFTER_FAILOVER) -3 * SECOND else WORKER_LEASE_US
        return LeaderCore(
            LeaderTerm(term, term),
            LeaderSettings(
                context.assignment,
                limits,
                leaseUs,
                PlacementSettings(),
                ServiceObjectives(emptyList()),
                maxChangesPerTransaction = 12,
            ),
            LeaderLookups({ Resources(MACHINE_CORES, 0.0, MACHINE_MEMORY_GB) }, dependentsOf = controller.dependencyGraph::dependentsOf),
            { drains?.onAttemptInterrupted(it) },
        ) { execute(term, it) }
    }

    private fun fleetEnvironment(term: Long) =
        object : FleetEnvironment {
            override fun after(
                delayUs: Long,
                run: () -> Unit,
            ) = context.after(delayUs, run)

            override fun write(
                apply: () -> Unit,
                onReply: (Boolean) -> Unit,
            ) = this@SimulatedLeadership.write(term, apply) { _, isWritten -> onReply(isWritten) }

            override fun terminate(names: Collection<String>) = machines.terminate(names)

            override fun recoveredMachine(name: String) = machines.recoveredMachine(name)

            override fun isLeading(leader: LeaderCore) = controller.isAlive && this@SimulatedLeadership.leader === leader
        }

    private fun addJob(
        leader: LeaderCore,
        job: SimulatedJob,
    ) {
        seenJobs += job.id
        if (mutation == Mutation.JOB_NOT_ADDED && job.id == "j-3") return
        val newJob = Job(createSpec(job), job.submittedRevision, nowUs)
        if (mutation != Mutation.DONE_TASKS_NOT_RECOVERED) newJob.restoreDoneTasks(state.recordedDoneTasks.getValue(job.id))
        leader.addJob(newJob)
    }

    private fun createSpec(job: SimulatedJob) =
        JobSpec(
            id = job.id,
            jobClass = "class",
            team = job.team,
            priority = Priority.STANDARD,
            taskCount = job.tasks,
            resources = Resources(job.cores, 0.0, 1.0),
            allowedTypes = null,
            zone = null,
            requiresSameZone = job.requiresSameZone && mutation != Mutation.ZONE_CONSTRAINTS_IGNORED,
            requiresSpread = job.requiresSpread && mutation != Mutation.ZONE_CONSTRAINTS_IGNORED,
            allowsSpot = false,
            image = "image",
            imageGb = 1.0,
            estimatedRunTimeUs = job.runUs,
            checkpointIntervalUs = 0,
            checkpointSaveUs = 0,
            deadlineAfterUs = null,
            submittedAtUs = 0,
            dependencies = job.dependencies,
        )

    private fun execute(
        term: Long,
        effect: LeaderEffect,
    ) {
        when (effect) {
            is LeaderEffect.SendFrame -> {
                val owner = controllers()[state.owners[effect.partition]?.controller ?: return]
                val receiverIncarnation = owner.incarnation
                context.send(host, hostOf(owner.id)) { if (owner.incarnation == receiverIncarnation) owner.onLeaderFrame(effect.frame) }
            }

            is LeaderEffect.WriteCompletionChunks -> {
                write(
                    term,
                    { effect.deltas.forEach(::recordDoneTasks) },
                ) { leader, isWritten ->
                    val outcome = if (isWritten) WriteOutcome.COMMITTED else WriteOutcome.FAILED
                    leader.onCompletionChunksWritten(effect.deltas, outcome, nowUs)
                }
            }

            is LeaderEffect.RecordJobCompletion -> {
                write(term, { state.recordDone(effect.job.spec.id) }) { leader, isWritten ->
                    if (isWritten) leader.onCompletionRecorded(effect.job, nowUs) else leader.onCompletionWriteFailed(effect.job)
                }
            }
        }
    }

    /** Runs [apply] as a transaction that requires the leadership. A reply that does not arrive within 3 s counts as a failure. */
    private fun write(
        term: Long,
        apply: () -> Unit,
        onReply: (LeaderCore, Boolean) -> Unit,
    ) {
        val senderIncarnation = controller.incarnation
        var hasReplied = false

        fun complete(isWritten: Boolean) {
            if (hasReplied || controller.incarnation != senderIncarnation) return
            hasReplied = true
            leader?.takeIf { it.term == term }?.let { onReply(it, isWritten) }
        }
        context.after(3 * SECOND) { complete(false) }
        context.send(host, SimulatedNetwork.STATE, canRepeat = false) {
            val isWritten = state.owners[KEY]?.term == term
            if (isWritten) apply()
            context.send(host, SimulatedNetwork.STATE, canRepeat = false) { complete(isWritten) }
        }
    }

    private fun recordDoneTasks(delta: CompletionDelta) {
        val id = delta.job.spec.id
        state.recordedDoneTasks.getValue(id).or(delta.recordedTasks)
        val isTooEarly =
            mutation == Mutation.JOB_COMPLETED_TOO_EARLY && delta.recordedTasks.cardinality() * 3 > state.jobs.getValue(id).tasks
        if (isTooEarly) state.recordDone(id)
    }

    companion object {
        /** The leadership's key in the state service. */
        const val KEY = "leader"
    }
}
