package lichenstage.fleet

import lichenstage.model.MachineType

/** The status of a machine, as its partition reports it to the leader. */
data class MachineStatus(
    val isUp: Boolean,
    /** Whether no heartbeat has arrived for longer than usual, while the lease has not expired yet. */
    val isSilent: Boolean,
    /** Whether the lease of the machine has expired. */
    val isLost: Boolean,
    /** The number of tasks that may be running on the machine. */
    val taskCount: Int,
    /** What the failures of tasks on the machine say about it. */
    val health: MachineHealth,
)

/**
 * The state of jobs and machines at one moment, on which decisions about the fleet are based.
 *
 * @property machineTypes the types that can be provisioned, by name
 * @property demand the current demand of jobs
 * @property excludedMachines the names of machines that do not serve the demand: they are being drained, or are replacements for
 *   machines that still serve it
 * @property statusOf returns the status of a machine by its name; null until its partition has reported the machine
 */
class FleetObservation(
    val machineTypes: Map<String, MachineType>,
    val demand: List<Demand>,
    val excludedMachines: Set<String>,
    val statusOf: (String) -> MachineStatus?,
)
