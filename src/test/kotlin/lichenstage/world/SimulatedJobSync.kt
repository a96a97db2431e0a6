package lichenstage.world

import lichenstage.cluster.CompletionSyncReply
import lichenstage.jobs.DependencyGraph
import lichenstage.jobs.EndStatus
import lichenstage.jobs.JobCompletions
import lichenstage.jobs.JobOutcome
import lichenstage.jobs.JobReplica
import lichenstage.world.SimulationContext.Companion.CANCELLATION_LIMIT_US
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.WORKER_LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf

/**
 * A controller's view of the jobs: its replica of the open jobs and the dependencies between jobs. Both are updated from the state service
 * and from other controllers.
 */
internal class SimulatedJobSync(
    private val controller: SimulatedController,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
) {
    private val mutation = context.mutation
    private val host = hostOf(controller.id)
    private val nowUs get() = context.nowUs
    var replica = newReplica()
        private set
    var dependencyGraph = DependencyGraph()
        private set

    private fun newReplica() =
        JobReplica(
            controller.id * 1000L + controller.incarnation,
            (0 until CONTROLLERS).filter { it != controller.id }.map(::hostOf).toSet(),
            JobReplica.maxStalenessUs(CANCELLATION_LIMIT_US, WORKER_LEASE_US),
        )

    /** Handles the start of a new process, which has no jobs yet. */
    fun onProcessStarted() {
        replica = newReplica()
        dependencyGraph = DependencyGraph()
    }

    /** Reads the changes of the open jobs, and the outcomes of ended dependencies. */
    fun read() {
        // Runs before the open jobs are read, so that an outcome is read one step after the end of the job is noticed.
        resolveDependencies()
        readOpenJobs()
    }

    private fun readOpenJobs() {
        val openRevisions = state.openJobs.mapValues { it.value.submittedRevision }
        state.openJobs.values.forEach { dependencyGraph.onJobOpened(it.id, it.dependencies) }
        val endedJobs =
            if (replica.revision < 0) {
                replica.replaceAll(openRevisions, state.lastRevision, nowUs)
            } else {
                val endRevisions = state.jobEnds.filter { it.revision > replica.revision }.associate { it.job to it.revision }
                replica.applyChanges(openRevisions, endRevisions, state.lastRevision, nowUs)
            }
        endedJobs.forEach(dependencyGraph::onJobClosed)
    }

    /** Reads the outcomes of up to [MAX_RESOLVED] ended jobs that other jobs depend on. */
    private fun resolveDependencies() {
        for (job in dependencyGraph.findUnresolved(MAX_RESOLVED)) {
            val outcome = state.outcomeOf(job) ?: continue
            if (mutation == Mutation.CANCELLED_DEPENDENCIES_IGNORED && !outcome.isDone) continue
            val isDone = outcome.isDone || mutation == Mutation.CANCELLED_TREATED_AS_DONE
            dependencyGraph.onOutcomeRecorded(job, JobOutcome(if (isDone) EndStatus.DONE else EndStatus.CANCELLED, null))
        }
    }

    /** Handles a message of another controller that these jobs have ended. */
    fun onJobsEnded(jobs: List<String>) {
        replica.markEnded(jobs)
        jobs.forEach(dependencyGraph::onJobClosed)
        jobs.forEach(controller.leadership::onJobClosed)
    }

    /** Asks the other controllers which jobs have ended, while the replica is not up to date with the state service. */
    fun requestJobEnds() {
        if (!replica.isLagging(nowUs) || !controller.sharesJobEnds) return
        for (peer in controller.otherControllers()) {
            val senderIncarnation = controller.incarnation
            val request = replica.createSyncRequest(peer.host, nowUs) ?: continue
            context.send(host, peer.host) {
                if (!peer.isAlive) return@send
                val emptyReply =
                    CompletionSyncReply(
                        request.incarnation,
                        request.requestedAtUs,
                        peer.replica.hashCode().toLong(),
                        0,
                        0,
                        emptyList(),
                        true,
                    )
                val reply = peer.replica.createSyncReply(request) ?: emptyReply.takeIf { mutation == Mutation.REPLIED_FOR_EARLIER_PROCESS }
                if (reply == null) return@send
                context.send(peer.host, host) {
                    if (controller.incarnation == senderIncarnation && controller.isAlive) onSyncReply(peer, reply)
                }
            }
        }
    }

    private fun onSyncReply(
        peer: SimulatedController,
        reply: CompletionSyncReply,
    ) {
        val appliedReply = if (mutation == Mutation.SYNC_REPLY_JOBS_IGNORED) reply.copy(jobs = emptyList()) else reply
        for (job in replica.applySyncReply(peer.host, appliedReply)) {
            dependencyGraph.onJobClosed(job)
            controller.leadership.onJobClosed(job)
        }
    }

    /** Returns the job completions for a new partition, based on the replica of the current process; a later process has its own. */
    fun jobCompletions(usesFencing: Boolean): JobCompletions {
        val currentReplica = replica
        return object : JobCompletions {
            override fun hasEnded(
                job: String,
                sinceUs: Long,
            ) = controller.sharesJobEnds && currentReplica.hasEnded(job, sinceUs)

            override fun confirmedOpenAtUs(job: String) = currentReplica.confirmedOpenAtUs(job)

            override val maxStalenessUs =
                if (!usesFencing || mutation == Mutation.REPLIED_WITHOUT_FENCING) Long.MAX_VALUE else currentReplica.maxStalenessUs
        }
    }

    private companion object {
        const val MAX_RESOLVED = 8
    }
}
