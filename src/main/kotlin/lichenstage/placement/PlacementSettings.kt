package lichenstage.placement

import lichenstage.common.MILLI
import lichenstage.common.SECOND

/**
 * What can be tuned in placement.
 *
 * @property alphaUs how long the leader waits for a first offer
 * @property betaUs how long it waits after each offer
 * @property retryUs the time between rounds when nothing has changed
 * @property paceUs the time between rounds at the least
 * @property flushUs how long a done task may wait to be recorded
 * @property askJobs requests that are broadcast together
 * @property askTasks tasks that one request asks for
 */
data class PlacementSettings(
    val alphaUs: Long = 2 * SECOND,
    val betaUs: Long = 300 * MILLI,
    val idleRoundIntervalUs: Long = SECOND,
    val minRoundIntervalUs: Long = 50 * MILLI,
    val flushUs: Long = 2 * SECOND,
    val jobsPerRound: Int = 24,
    val tasksPerRequest: Int = 64,
)
