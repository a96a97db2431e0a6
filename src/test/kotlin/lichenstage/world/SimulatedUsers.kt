package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.jobs.Readiness
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.hostOf

/** Users: they submit jobs and pipelines, ask about them at any controller, and cancel some. */
internal class SimulatedUsers(
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val controllers: List<SimulatedController>,
) {
    private val random = context.random
    private val checker = context.checker

    /** Submits [jobs] jobs within a time, some of which are cancelled. */
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

    /** A job whose tasks run for long. */
    fun submitLongRunning(
        n: Int,
        runUs: Long,
    ) = state.accept(SimulatedJob("j-$n", teamOf(n), 2, 2.0, runUs, state.nextRevision()))

    /** A job of few tasks that is bound to one zone, or spread over several. */
    fun submitZoneConstrained(
        n: Int,
        tasks: Int,
        sameZone: Boolean,
    ) = state.accept(SimulatedJob("j-$n", teamOf(n), tasks, 1.0, 12 * SECOND, state.nextRevision(), sameZone, !sameZone))

    /** A job whose tasks run for very different times. */
    fun submitUnevenRunTimes(n: Int) =
        state.accept(SimulatedJob("j-$n", "red", 3, 1.0, 6 * SECOND, state.nextRevision(), hasUnevenRunTimes = true))

    private fun teamOf(n: Int) = if (n % 2 == 0) "red" else "blue"

    /**
     * Four jobs, submitted one after the other as users do: a chain, a fan or a diamond of one to three tasks each, numbered from [n].
     * Some need a job besides that was there before, unless it is to be [isIndependent].
     */
    fun submitPipeline(
        n: Int,
        isIndependent: Boolean = false,
    ) {
        val earlier =
            if (!isIndependent && random.nextInt(3) == 0) {
                state.openJobs.keys
                    .filter { random.nextInt(4) == 0 }
                    .take(1)
            } else {
                emptyList()
            }
        val dependenciesByStage = listOf(CHAIN, FAN, DIAMOND)[n / PIPELINE % 3]
        var submitDelayUs = 0L
        for ((stage, dependencies) in dependenciesByStage.withIndex()) {
            val dependencyIds = dependencies.map { "j-${n + it}" } + if (stage == 0) earlier else emptyList()
            val job = SimulatedJob("j-${n + stage}", teamOf(n), 1 + random.nextInt(3), 1.0, 5 * SECOND, 0, dependencies = dependencyIds)
            context.after(submitDelayUs) { submitWithDependencies(job) }
            // Now and then the last comes only when the others are over.
            submitDelayUs += if (random.nextInt(6) == 0) 30 * SECOND else SECOND / 2 + random.nextInt(1_500_000)
        }
    }

    /** Read first and written after, on the condition that what was read still holds. */
    private fun submitWithDependencies(job: SimulatedJob) {
        if (state.isUnavailable || job.dependencies.any { it !in state.jobs }) return context.after(SECOND) { submitWithDependencies(job) }
        val read = job.dependencies.associateWith { state.outcomes[it] }
        context.after(MILLI + random.nextInt(80_000)) { writeIfUnchanged(job, read) }
    }

    private fun writeIfUnchanged(
        job: SimulatedJob,
        read: Map<String, Boolean?>,
    ) {
        val hasChanged = read.any { (id, outcome) -> outcome == null && id !in state.openJobs }
        if (state.isUnavailable || hasChanged) {
            submitWithDependencies(job)
        } else if (read.values.any { it == false }) {
            state.jobs[job.id] = job
            checker.onJobAccepted(job)
            state.recordEnd(job.id, isDone = false)
            checker.onJobPolled(job, PolledStatus.CANCELLED, context.nowUs)
        } else {
            state.accept(job.copy(submittedRevision = state.nextRevision()))
        }
    }

    /** A user asks any controller about any job. */
    fun poll() {
        if (state.jobs.isEmpty()) return
        val controller = controllers[random.nextInt(CONTROLLERS)]
        // Mostly about what waits: of the others little can be said wrongly.
        val waitingJobs = state.openJobs.values.filter { it.dependencies.isNotEmpty() }
        val candidates = if (waitingJobs.isNotEmpty() && random.nextInt(3) > 0) waitingJobs else state.jobs.values
        val job = candidates.elementAt(random.nextInt(candidates.size))
        checker.onJobPolled(job, if (controller.canReachState) statusOf(controller, job) else null, context.nowUs)
    }

    /** The answer of the user API about the job; null where it asks the user to retry. */
    private fun statusOf(
        controller: SimulatedController,
        job: SimulatedJob,
    ): PolledStatus? {
        state.outcomes[job.id]?.let { done -> return if (done) PolledStatus.DONE else PolledStatus.CANCELLED }
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
                val current = controller.replica.hasReadWithin(10 * SECOND, context.nowUs)
                PolledStatus.OPEN.takeIf { current || context.mutation == Mutation.STALE_REPORTED_OPEN }
            }
        }
    }

    /** A user asks the controller [controllerId], or the next that has the state service's answer, and repeats it until then. */
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
        for (other in controllers) {
            if (other != controller && controller.sharesJobEnds) {
                context.send(hostOf(controller.id), hostOf(other.id)) { other.onJobsEnded(listOf(id)) }
            }
        }
    }

    /** Users cancel up to [count] jobs of pipelines that others wait for, preferring those that are about to end. */
    fun cancelPipelines(count: Int) =
        state.openJobs.values
            .filter { job -> state.openJobs.values.any { job.id in it.dependencies } }
            .sortedBy { -checker.doneTaskCount(it.id) }
            .take(count)
            .forEach { cancel(it.id, random.nextInt(CONTROLLERS)) }

    private companion object {
        /** Numbers that a pipeline takes, and what each of its jobs needs of those before it. */
        const val PIPELINE = 4
        val CHAIN = listOf(emptyList(), listOf(0), listOf(1), listOf(2))
        val FAN = listOf(emptyList(), listOf(0), listOf(0), listOf(0))
        val DIAMOND = listOf(emptyList(), listOf(0), listOf(0), listOf(1, 2))
    }
}
