package lichenstage.placement

import lichenstage.authority.Authority
import lichenstage.cloud.CloudClient
import lichenstage.cloud.MachineCatalog
import lichenstage.cluster.Frame
import lichenstage.common.Clock
import lichenstage.common.timeOfDayUs
import lichenstage.drain.DrainPolicy
import lichenstage.fleet.FleetPolicy
import lichenstage.jobs.DependencyGraph
import lichenstage.jobs.JobReplicaSync
import lichenstage.state.KeyValueStoreClient

/** The settings of a leader that operators can change. */
data class LeaderOptions(
    val fleetPolicy: FleetPolicy,
    val placementSettings: PlacementSettings,
    /** The policy of drains; null if drains are not enabled. */
    val drainPolicy: DrainPolicy?,
)

/** The services of the controller that a leader uses. */
class LeaderServices(
    val authority: Authority,
    val store: KeyValueStoreClient,
    val cloud: CloudClient,
    val catalog: MachineCatalog,
    val clock: Clock,
    val replicaSync: JobReplicaSync,
    val dependencyGraph: DependencyGraph,
    /** Sends a frame to the controller with the given label. */
    val send: (String, Frame) -> Unit,
) {
    /**
     * Converts a recorded time of day, in microseconds, to this process's steady clock. A time in the future becomes the current time.
     */
    fun toSteadyClockUs(recordedAtUs: Long): Long {
        val ageUs = timeOfDayUs() - recordedAtUs
        return clock.now() - ageUs.coerceAtLeast(0)
    }
}
