package lichenstage.world

import lichenstage.cluster.CompletionSyncReply
import lichenstage.jobs.DependencyGraph
import lichenstage.jobs.EndStatus
import lichenstage.jobs.JobCompletions
import lichenstage.jobs.JobOutcome
import lichenstage.jobs.JobReplica
import lichenstage.world.SimulationContext.Companion.CANCEL_US
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.WORKER_LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf

/** What a controller knows of jobs: its replica of the open ones and its pipelines, from the state service or from other controllers. */
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
            JobReplica.maxStalenessUs(CANCEL_US, WORKER_LEASE_US),
        )

    /** A new process has begun: it knows of no job. */
    fun onProcessStarted() {
        replica = newReplica()
        dependencyGraph = DependencyGraph()
    }

    /** Reads what a watch of the open jobs brings, and the records of jobs that others need. */
    fun read() {
        // A turn later than the word that they have ended.
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

    /** Reads the records of jobs that others need and that have ended. */
    private fun resolveDependencies() {
        for (job in dependencyGraph.findUnresolved(MAX_RESOLVED)) {
            val outcome = state.outcomeOf(job) ?: continue
            if (mutation == Mutation.CANCELLED_DEPENDENCIES_IGNORED && !outcome.isDone) continue
            val isDone = outcome.isDone || mutation == Mutation.CANCELLED_TREATED_AS_DONE
            dependencyGraph.onOutcomeRecorded(job, JobOutcome(if (isDone) EndStatus.DONE else EndStatus.CANCELLED, null))
        }
    }

    /** Another controller says that these jobs have ended. */
    fun onJobsEnded(jobs: List<String>) {
        replica.markEnded(jobs)
        jobs.forEach(dependencyGraph::onJobClosed)
        jobs.forEach(controller.leadership::onJobClosed)
    }

    /** While the state service shows nothing, the others are asked which jobs have ended. */
    fun requestJobEnds() {
        if (!replica.isLagging(nowUs) || !controller.sharesJobEnds) return
        for (other in controller.otherControllers()) {
            val senderIncarnation = controller.incarnation
            val request = replica.createSyncRequest(other.host, nowUs) ?: continue
            context.send(host, other.host) {
                if (!other.isAlive) return@send
                val emptyReply =
                    CompletionSyncReply(
                        request.incarnation,
                        request.requestedAtUs,
                        other.replica.hashCode().toLong(),
                        0,
                        0,
                        emptyList(),
                        true,
                    )
                val reply = other.replica.createSyncReply(request) ?: emptyReply.takeIf { mutation == Mutation.REPLIED_FOR_EARLIER_PROCESS }
                if (reply == null) return@send
                context.send(other.host, host) {
                    if (controller.incarnation == senderIncarnation && controller.isAlive) onSyncReply(other, reply)
                }
            }
        }
    }

    private fun onSyncReply(
        other: SimulatedController,
        reply: CompletionSyncReply,
    ) {
        val appliedReply = if (mutation == Mutation.SYNC_REPLY_JOBS_IGNORED) reply.copy(jobs = emptyList()) else reply
        for (job in replica.applySyncReply(other.host, appliedReply)) {
            dependencyGraph.onJobClosed(job)
            controller.leadership.onJobClosed(job)
        }
    }

    /** What partitions that begin now go by; a process that comes after has a replica of its own. */
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
