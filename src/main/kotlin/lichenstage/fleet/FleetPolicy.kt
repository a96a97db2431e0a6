package lichenstage.fleet

import lichenstage.common.SECOND

/**
 * The policy by which the fleet is scaled out and in.
 *
 * @property minHorizonUs the minimum time until work counts as due; work that is due sooner counts as due after this time, because new
 *   machines would come too late for it
 * @property deadlineSlackFraction the part of the time until an objective within which its work should be done
 * @property backlogUs the time within which waiting tasks should start
 * @property targetUtilization the part of a machine's time that can be filled, above 0 and at most 1
 * @property scaleInDelayUs how long a surplus of machines must last before any of them is drained
 */
data class FleetPolicy(
    val minHorizonUs: Long = 40 * SECOND,
    val deadlineSlackFraction: Double = 0.5,
    val backlogUs: Long = 90 * SECOND,
    val targetUtilization: Double = 1.0,
    val scaleInDelayUs: Long = 30 * SECOND,
)
