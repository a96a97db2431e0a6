package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.jobs.Readiness
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.hostOf

/** The users of the cluster. They submit jobs and pipelines, poll them through any controller, and cancel some. */
internal class SimulatedUsers(
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val controllers: List<SimulatedController>,
) {
    private val random = context.random
    private val checker = context.checker

    /** Submits [jobs] random jobs at random times within [withinUs]. Some of them are cancelled. */
    fun submitRandomJobs(
        jobs: Int,
        withinUs: Long,
        firstNumber: Int = 0,
    ) = repeat(jobs) { n -> context.after(random.nextInt(withinUs.toInt()).toLong()) { submit(firstNumber + n) } }

    private fun submit(n: Int) {
        val job =
            SimulatedJob(
                "j-$n",
                if (random.nextBoolean()) "red" else "blue",
                1 + random.nextInt(12),
                listOf(1.0, 2.0, 4.0)[random.nextInt(3)],
                8 * SECOND,
                state.nextRevision(),
            )
        state.accept(job)
        if (random.nextInt(5) == 0) context.after(random.nextInt(20_000_000).toLong()) { cancel(job.id, random.nextInt(CONTROLLERS)) }
    }

    /** Submits job [n], whose two tasks run for [runUs] on average. */
    fun submitLongRunning(
        n: Int,
        runUs: Long,
    ) = state.accept(SimulatedJob("j-$n", teamOf(n), 2, 2.0, runUs, state.nextRevision()))

    /** Submits job [n], whose tasks must run in the same zone or else be spread over several. */
    fun submitZoneConstrained(
        n: Int,
        tasks: Int,
        requiresSameZone: Boolean,
    ) = state.accept(SimulatedJob("j-$n", teamOf(n), tasks, 1.0, 12 * SECOND, state.nextRevision(), requiresSameZone, !requiresSameZone))

    /** Submits job [n], whose tasks have very different run times. */
    fun submitUnevenRunTimes(n: Int) =
        state.accept(SimulatedJob("j-$n", "red", 3, 1.0, 6 * SECOND, state.nextRevision(), hasUnevenRunTimes = true))

    private fun teamOf(n: Int) = if (n % 2 == 0) "red" else "blue"

    /**
     * Submits a pipeline of four jobs, one after the other, numbered from [n]. Their dependencies form a chain, a fan or a diamond. Each
     * job has one to three tasks. The first job of some pipelines also depends on an earlier open job, unless [isIndependent] is set.
     */
    fun submitPipeline(
        n: Int,
        isIndependent: Boolean = false,
    ) {
        val earlierJobs =
            if (!isIndependent && random.nextInt(3) == 0) {
                state.openJobs.keys
                    .filter { random.nextInt(4) == 0 }
                    .take(1)
            } else {
                emptyList()
            }
        val dependenciesByStage = listOf(CHAIN, FAN, DIAMOND)[n / JOBS_PER_PIPELINE % 3]
        var submitDelayUs = 0L
        for ((stage, dependencies) in dependenciesByStage.withIndex()) {
            val dependencyIds = dependencies.map { "j-${n + it}" } + if (stage == 0) earlierJobs else emptyList()
            val job = SimulatedJob("j-${n + stage}", teamOf(n), 1 + random.nextInt(3), 1.0, 5 * SECOND, 0, dependencies = dependencyIds)
            context.after(submitDelayUs) { submitWithDependencies(job) }
            // Sometimes the next job is submitted so late that the earlier ones have probably finished.
            submitDelayUs += if (random.nextInt(6) == 0) 30 * SECOND else SECOND / 2 + random.nextInt(1_500_000)
        }
    }

    /** Submits a job as the service does: reads its dependencies, then writes the job if they have not changed. */
    private fun submitWithDependencies(job: SimulatedJob) {
        if (state.isUnavailable || job.dependencies.any { it !in state.jobs }) return context.after(SECOND) { submitWithDependencies(job) }
        val readOutcomes = job.dependencies.associateWith { state.outcomes[it] }
        context.after(MILLI + random.nextInt(80_000)) { writeIfUnchanged(job, readOutcomes) }
    }

    private fun writeIfUnchanged(
        job: SimulatedJob,
        readOutcomes: Map<String, Boolean?>,
    ) {
        val hasChanged = readOutcomes.any { (id, outcome) -> outcome == null && id !in state.openJobs }
        if (state.isUnavailable || hasChanged) {
            submitWithDependencies(job)
        } else if (readOutcomes.values.any { it == false }) {
            state.jobs[job.id] = job
            checker.onJobAccepted(job)
            state.recordEnd(job.id, isDone = false)
            checker.onJobPolled(job, PolledStatus.CANCELLED, context.nowUs)
        } else {
            state.accept(job.copy(submittedRevision = state.nextRevision()))
        }
    }

    /** Polls a random job through a random controller. */
    fun poll() {
        if (state.jobs.isEmpty()) return
        val controller = controllers[random.nextInt(CONTROLLERS)]
        // Prefers open jobs with dependencies, since wrong replies are most likely for these.
        val waitingJobs = state.openJobs.values.filter { it.dependencies.isNotEmpty() }
        val candidates = if (waitingJobs.isNotEmpty() && random.nextInt(3) > 0) waitingJobs else state.jobs.values
        val job = candidates.elementAt(random.nextInt(candidates.size))
        checker.onJobPolled(job, if (controller.canReachState) statusOf(controller, job) else null, context.nowUs)
    }

    /** Returns the status of the job as the user API reports it; null if the API asks the user to retry. */
    private fun statusOf(
        controller: SimulatedController,
        job: SimulatedJob,
    ): PolledStatus? {
        state.outcomes[job.id]?.let { isDone -> return if (isDone) PolledStatus.DONE else PolledStatus.CANCELLED }
        return when (controller.dependencyGraph.readiness(job.id, job.dependencies)) {
            Readiness.READY -> {
                PolledStatus.OPEN
            }

            Readiness.CANCELLED -> {
                state.recordEnd(job.id, isDone = false)
                PolledStatus.CANCELLED
            }

            Readiness.UNKNOWN -> {
                PolledStatus.OPEN.takeIf { context.mutation == Mutation.UNRESOLVED_REPORTED_OPEN }
            }

            Readiness.WAITING -> {
                val hasRecentRead = controller.replica.hasReadWithin(10 * SECOND, context.nowUs)
                PolledStatus.OPEN.takeIf { hasRecentRead || context.mutation == Mutation.STALE_REPORTED_OPEN }
            }
        }
    }

    /** Cancels a job through controller [controllerId], or the next one that reaches the state service. Retries while there is none. */
    fun cancel(
        id: String,
        controllerId: Int,
    ) {
        val controller =
            List(
                CONTROLLERS,
            ) { controllers[(controllerId + it) % CONTROLLERS] }.firstOrNull { it.canReachState && !it.isFrozen }
        if (controller == null) return context.after(SECOND) { cancel(id, controllerId) }
        val job = state.openJobs[id] ?: return
        state.recordEnd(id, isDone = false)
        controller.replica.recordEnd(id, state.lastRevision)
        controller.dependencyGraph.onJobClosed(id)
        checker.onCancellationConfirmed(job, context.nowUs)
        checker.onJobPolled(job, PolledStatus.CANCELLED, context.nowUs)
        for (peer in controllers) {
            if (peer != controller && controller.sharesJobEnds) {
                context.send(hostOf(controller.id), hostOf(peer.id)) { peer.onJobsEnded(listOf(id)) }
            }
        }
    }

    /** Cancels up to [count] jobs that other jobs depend on. Prefers those with the most done tasks, which are about to finish. */
    fun cancelPipelines(count: Int) =
        state.openJobs.values
            .filter { job -> state.openJobs.values.any { job.id in it.dependencies } }
            .sortedBy { -checker.doneTaskCount(it.id) }
            .take(count)
            .forEach { cancel(it.id, random.nextInt(CONTROLLERS)) }

    private companion object {
        const val JOBS_PER_PIPELINE = 4

        // The shapes of pipelines: for each job, the positions of its dependencies within the pipeline.
        val CHAIN = listOf(emptyList(), listOf(0), listOf(1), listOf(2))
        val FAN = listOf(emptyList(), listOf(0), listOf(0), listOf(0))
        val DIAMOND = listOf(emptyList(), listOf(0), listOf(0), listOf(1, 2))
    }
}
