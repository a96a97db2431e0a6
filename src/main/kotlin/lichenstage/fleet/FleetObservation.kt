package lichenstage.fleet

import lichenstage.model.MachineType

/** A machine as its partition shows it to the leader. */
data class MachineStatus(
    val isUp: Boolean,
    /** No heartbeat came for longer than is usual; its lease has not expired yet. */
    val isSilent: Boolean,
    /** Its lease has expired. */
    val isLost: Boolean,
    /** Tasks that may be running on it. */
    val taskCount: Int,
    /** Tasks of several jobs have failed on it. */
    val isFaulty: Boolean,
)

/**
 * What decisions about the fleet are based on at one moment.
 *
 * @property machineTypes the types that can be provisioned, by name
 * @property demand what jobs ask for now
 * @property excludedMachines machines that do not serve the demand: on their way out, or spare until another one is
 * @property statusOf the status of a machine by name; null while its partition has not shown it
 */
class FleetObservation(
    val machineTypes: Map<String, MachineType>,
    val demand: List<Demand>,
    val excludedMachines: Set<String>,
    val statusOf: (String) -> MachineStatus?,
)
