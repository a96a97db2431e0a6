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
    private val now get() = context.now
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
    fun begin() {
        replica = newReplica()
        dependencyGraph = DependencyGraph()
    }

    /** Reads what a watch of the open jobs brings, and the records of jobs that others need. */
    fun read() {
        // A turn later than the word that they have ended.
        resolve()
        readOpenJobs()
    }

    private fun readOpenJobs() {
        val stamps = state.open.mapValues { it.value.stamp }
        state.open.values.forEach { dependencyGraph.onJobOpened(it.id, it.dependencies) }
        val ended =
            if (replica.revision < 0) {
                replica.replaceAll(stamps, state.lastRevision, now)
            } else {
                val news = state.ends.filter { it.revision > replica.revision }.associate { it.job to it.revision }
                replica.applyChanges(stamps, news, state.lastRevision, now)
            }
        ended.forEach(dependencyGraph::onJobClosed)
    }

    /** Reads the records of jobs that others need and that have ended. */
    private fun resolve() {
        for (job in dependencyGraph.findUnresolved(MAX_RESOLVED)) {
            val outcome = state.outcome(job) ?: continue
            if (mutation == Mutation.CANCELLED_NEEDS_UNSEEN && !outcome.isDone) continue
            val isDone = outcome.isDone || mutation == Mutation.ENDS_TAKEN_FOR_DONE
            dependencyGraph.onOutcomeRecorded(job, JobOutcome(if (isDone) EndStatus.DONE else EndStatus.CANCELLED, null))
        }
    }

    /** Another controller says that these jobs have ended. */
    fun jobsEnded(jobs: List<String>) {
        replica.markEnded(jobs)
        jobs.forEach(dependencyGraph::onJobClosed)
        jobs.forEach(controller.leadership::jobClosed)
    }

    /** While the state service shows nothing, the others are asked which jobs have ended. */
    fun requestEnds() {
        if (!replica.isLagging(now) || !controller.sharesJobEnds) return
        for (other in controller.others()) {
            val incarnation = controller.incarnation
            val request = replica.createSyncRequest(other.host, now) ?: continue
            context.send(host, other.host) {
                if (!other.alive) return@send
                val whole =
                    CompletionSyncReply(
                        request.incarnation,
                        request.requestedAtUs,
                        other.replica.hashCode().toLong(),
                        0,
                        0,
                        emptyList(),
                        true,
                    )
                val reply = other.replica.createSyncReply(request) ?: whole.takeIf { mutation == Mutation.SPOKEN_FOR_PREDECESSOR }
                if (reply == null) return@send
                context.send(other.host, host) {
                    if (controller.incarnation == incarnation && controller.alive) receiveEnds(other, reply)
                }
            }
        }
    }

    private fun receiveEnds(
        other: SimulatedController,
        reply: CompletionSyncReply,
    ) {
        val believed = if (mutation == Mutation.HANDOVER_DROPPED) reply.copy(jobs = emptyList()) else reply
        for (job in replica.applySyncReply(other.host, believed)) {
            dependencyGraph.onJobClosed(job)
            controller.leadership.jobClosed(job)
        }
    }

    /** What partitions that begin now go by; a process that comes after has a replica of its own. */
    fun jobCompletions(usesFencing: Boolean): JobCompletions {
        val known = replica
        return object : JobCompletions {
            override fun hasEnded(
                job: String,
                sinceUs: Long,
            ) = controller.sharesJobEnds && known.hasEnded(job, sinceUs)

            override fun confirmedOpenAtUs(job: String) = known.confirmedOpenAtUs(job)

            override val maxStalenessUs =
                if (!usesFencing || mutation == Mutation.ANSWERED_UNFENCED) Long.MAX_VALUE else known.maxStalenessUs
        }
    }

    private companion object {
        const val MAX_RESOLVED = 8
    }
}
