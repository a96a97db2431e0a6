package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/**
 * The operators' settings of placement, all times in microseconds. Alpha and beta are names of the paper that docs/design.md follows.
 *
 * @property alphaUs how long a round of requests waits for a first offer
 * @property betaUs how long it waits for another offer after each
 * @property idleRoundIntervalUs the time between rounds when nothing has changed that a request could gain by
 * @property minRoundIntervalUs the least time between rounds
 * @property recordDelayUs how long a completed task may wait to be recorded
 * @property maxJobsPerRound jobs that are requested for in one round
 * @property maxTasksPerRequest the most tasks that one request asks for
 */
data class PlacementSettings(
    val alphaUs: Long = 2 * SECOND,
    val betaUs: Long = 300 * MILLI,
    val idleRoundIntervalUs: Long = SECOND,
    val minRoundIntervalUs: Long = 50 * MILLI,
    val recordDelayUs: Long = 2 * SECOND,
    val maxJobsPerRound: Int = 24,
    val maxTasksPerRequest: Int = 64,
)
