package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/**
 * The operators' settings for placement. All times are in microseconds. Alpha and beta are names from the paper that docs/design.md
 * follows.
 *
 * @property alphaUs time that a round of requests waits for the first offer
 * @property betaUs time that a round waits for the next offer after each offer
 * @property idleRoundIntervalUs time between rounds if nothing has changed that a request could benefit from
 * @property leftOutRoundIntervalUs time between rounds if nothing has changed but the last round had no place for some kinds of requests
 * @property minRoundIntervalUs minimum time between rounds
 * @property recordDelayUs time after which a done task is due to be recorded
 * @property maxJobsPerRound maximum number of jobs that request capacity in one round
 * @property maxTasksPerRequest maximum number of tasks that one request asks for
 */
data class PlacementSettings(
    val alphaUs: Long = 2 * SECOND,
    val betaUs: Long = 300 * MILLI,
    val idleRoundIntervalUs: Long = SECOND,
    val leftOutRoundIntervalUs: Long = 250 * MILLI,
    val minRoundIntervalUs: Long = 50 * MILLI,
    val recordDelayUs: Long = 2 * SECOND,
    val maxJobsPerRound: Int = 24,
    val maxTasksPerRequest: Int = 64,
)
