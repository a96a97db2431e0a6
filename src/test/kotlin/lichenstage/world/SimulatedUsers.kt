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
    fun load(
        jobs: Int,
        withinUs: Long,
        first: Int = 0,
    ) = repeat(jobs) { n -> context.at(random.nextInt(withinUs.toInt()).toLong()) { submit(first + n) } }

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
        if (random.nextInt(5) == 0) context.at(random.nextInt(20_000_000).toLong()) { cancel(job.id, random.nextInt(CONTROLLERS)) }
    }

    /** A job whose tasks run for long. */
    fun submitLong(
        n: Int,
        runUs: Long,
    ) = state.accept(SimulatedJob("j-$n", teamOf(n), 2, 2.0, runUs, state.nextRevision()))

    /** A job of few tasks that is bound to one zone, or spread over several. */
    fun submitBound(
        n: Int,
        tasks: Int,
        sameZone: Boolean,
    ) = state.accept(SimulatedJob("j-$n", teamOf(n), tasks, 1.0, 12 * SECOND, state.nextRevision(), sameZone, !sameZone))

    /** A job whose tasks run for very different times. */
    fun submitUneven(n: Int) = state.accept(SimulatedJob("j-$n", "red", 3, 1.0, 6 * SECOND, state.nextRevision(), uneven = true))

    private fun teamOf(n: Int) = if (n % 2 == 0) "red" else "blue"

    /**
     * Four jobs, submitted one after the other as users do: a chain, a fan or a diamond of one to three tasks each, numbered from [n].
     * Some need a job besides that was there before, unless it is to be [alone].
     */
    fun submitPipeline(
        n: Int,
        alone: Boolean = false,
    ) {
        val earlier =
            if (!alone && random.nextInt(3) == 0) {
                state.open.keys
                    .filter { random.nextInt(4) == 0 }
                    .take(1)
            } else {
                emptyList()
            }
        val resources = listOf(CHAIN, FAN, DIAMOND)[n / PIPELINE % 3]
        var afterUs = 0L
        for ((stage, dependencies) in resources.withIndex()) {
            val named = dependencies.map { "j-${n + it}" } + if (stage == 0) earlier else emptyList()
            val job = SimulatedJob("j-${n + stage}", teamOf(n), 1 + random.nextInt(3), 1.0, 5 * SECOND, 0, dependencies = named)
            context.at(afterUs) { submitNeeding(job) }
            // Now and then the last comes only when the others are over.
            afterUs += if (random.nextInt(6) == 0) 30 * SECOND else SECOND / 2 + random.nextInt(1_500_000)
        }
    }

    /** Read first and written after, on the condition that what was read still holds. */
    private fun submitNeeding(job: SimulatedJob) {
        if (state.isOut || job.dependencies.any { it !in state.jobs }) return context.at(SECOND) { submitNeeding(job) }
        val read = job.dependencies.associateWith { state.outcomes[it] }
        context.at(MILLI + random.nextInt(80_000)) { writeNeeding(job, read) }
    }

    private fun writeNeeding(
        job: SimulatedJob,
        read: Map<String, Boolean?>,
    ) {
        val changed = read.any { (id, outcome) -> outcome == null && id !in state.open }
        if (state.isOut || changed) {
            submitNeeding(job)
        } else if (read.values.any { it == false }) {
            state.jobs[job.id] = job
            checker.accepted(job)
            state.end(job.id, isDone = false)
            checker.polled(job, PollAnswer.CANCELLED, context.now)
        } else {
            state.accept(job.copy(stamp = state.nextRevision()))
        }
    }

    /** A user asks any controller about any job. */
    fun poll() {
        if (state.jobs.isEmpty()) return
        val controller = controllers[random.nextInt(CONTROLLERS)]
        // Mostly about what waits: of the others little can be said wrongly.
        val waiting = state.open.values.filter { it.dependencies.isNotEmpty() }
        val asked = if (waiting.isNotEmpty() && random.nextInt(3) > 0) waiting else state.jobs.values
        val job = asked.elementAt(random.nextInt(asked.size))
        checker.polled(job, if (controller.reachesState) answerOf(controller, job) else null, context.now)
    }

    /** The answer of the user API about the job; null where it asks the user to retry. */
    private fun answerOf(
        controller: SimulatedController,
        job: SimulatedJob,
    ): PollAnswer? {
        state.outcomes[job.id]?.let { done -> return if (done) PollAnswer.DONE else PollAnswer.CANCELLED }
        return when (controller.dependencyGraph.readiness(job.id, job.dependencies)) {
            Readiness.READY -> {
                PollAnswer.OPEN
            }

            Readiness.CANCELLED -> {
                state.end(job.id, isDone = false)
                PollAnswer.CANCELLED
            }

            Readiness.UNKNOWN -> {
                PollAnswer.OPEN.takeIf { context.mutation == Mutation.UNRESOLVED_CALLED_OPEN }
            }

            Readiness.WAITING -> {
                val current = controller.replica.hasReadWithin(10 * SECOND, context.now)
                PollAnswer.OPEN.takeIf { current || context.mutation == Mutation.STALE_CALLED_OPEN }
            }
        }
    }

    /** A user asks the controller [by], or the next that has the state service's answer, and repeats it until then. */
    fun cancel(
        id: String,
        by: Int,
    ) {
        val controller = List(CONTROLLERS) { controllers[(by + it) % CONTROLLERS] }.firstOrNull { it.reachesState && !it.frozen }
        if (controller == null) return context.at(SECOND) { cancel(id, by) }
        val job = state.open[id] ?: return
        state.end(id, isDone = false)
        controller.replica.recordEnd(id, state.lastRevision)
        controller.dependencyGraph.onJobClosed(id)
        checker.cancellationConfirmed(job, context.now)
        checker.polled(job, PollAnswer.CANCELLED, context.now)
        for (other in controllers) {
            if (other != controller && controller.sharesJobEnds) {
                context.send(hostOf(controller.id), hostOf(other.id)) { other.jobsEnded(listOf(id)) }
            }
        }
    }

    /** Users cancel up to [count] jobs of pipelines that others wait for, preferring those that are about to end. */
    fun cancelPipelines(count: Int) =
        state.open.values
            .filter { job -> state.open.values.any { job.id in it.dependencies } }
            .sortedBy { -checker.doneTasks(it.id) }
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
