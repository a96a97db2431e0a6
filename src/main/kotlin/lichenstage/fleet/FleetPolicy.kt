package lichenstage.fleet

import lichenstage.common.SECOND

/**
 * How the fleet is scaled out and in.
 *
 * @property minHorizonUs work that is due sooner than this counts as due then: provisioning can't help it
 * @property deadlineSlackFraction the part of the time until an objective in which its work should be done
 * @property backlogUs waiting tasks should begin within this time
 * @property targetUtilization the part of a machine's time that can be filled, above 0 and at most 1
 * @property scaleInDelayUs how long machines must have been in surplus before any is drained
 */
data class FleetPolicy(
    val minHorizonUs: Long = 40 * SECOND,
    val deadlineSlackFraction: Double = 0.5,
    val backlogUs: Long = 90 * SECOND,
    val targetUtilization: Double = 1.0,
    val scaleInDelayUs: Long = 30 * SECOND,
)
