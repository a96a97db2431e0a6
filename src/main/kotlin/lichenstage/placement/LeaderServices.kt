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

/** What operators may set of a leader. */
data class LeaderOptions(
    val fleet: FleetPolicy,
    val placementSettings: PlacementSettings,
    /** Null where drains are not switched on. */
    val drains: DrainPolicy?,
)

/** What a leader uses of its process. */
class LeaderServices(
    val authority: Authority,
    val store: KeyValueStoreClient,
    val cloud: CloudClient,
    val catalog: MachineCatalog,
    val clock: Clock,
    val replicaSync: JobReplicaSync,
    val dependencyGraph: DependencyGraph,
    /** Sends a frame to the controller with a label. */
    val send: (String, Frame) -> Unit,
) {
    /** A recorded time of day (microseconds) on this process's steady clock, now at the latest. */
    fun toSteadyClockUs(recordedUs: Long): Long {
        val ageUs = timeOfDayUs() - recordedUs
        return clock.now() - ageUs.coerceAtLeast(0)
    }
}
