package lichenstage.drain

import lichenstage.common.SECOND
import lichenstage.drain.FakeCluster.Companion.task

/** A base class for tests of [DrainCore] with a [FakeCluster]. */
abstract class DrainCoreFixture {
    internal val cluster = FakeCluster()
    internal var nowUs = 1_000 * SECOND

    internal fun core(
        policy: DrainPolicy = DrainPolicy(DisruptionBudget(maxJobs = 1)),
        state: DrainState = DrainState(),
    ) = DrainCore(policy, cluster, state, 300)

    internal fun drain(
        name: String = "d",
        maxConcurrent: Int = 1,
        shouldReplace: Boolean = false,
        status: DrainStatus = DrainStatus.RUNNING,
        requestedAtUs: Long = 0,
    ) = Drain(name, shouldReplace, maxConcurrent, status, null, requestedAtUs, null)

    internal fun machines(
        vararg names: String,
        drain: String = "d",
    ) = names.map { DrainedMachine(it, drain, Stage.WAITING, nowUs) }

    /** Runs and records one step [afterS] seconds later (by default once a cordon has taken effect) and returns its actions. */
    internal fun DrainCore.runStep(
        afterS: Long = 3,
        hour: Int = 12,
    ): List<DrainAction> {
        nowUs += afterS * SECOND
        return if (step(nowUs, hour) == null) emptyList() else onStateRecorded(true)
    }

    internal fun List<DrainAction>.evictedTasks() = filterIsInstance<DrainAction.EvictTasks>().flatMap { it.tasks }.map { it.taskId }

    internal fun DrainCore.stageOf(
        machine: String,
        drain: String = "d",
    ) = state.machines.getValue(DrainKey(drain, machine)).stage
}
