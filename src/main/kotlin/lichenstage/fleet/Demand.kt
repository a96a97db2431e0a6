package lichenstage.fleet

/**
 * The remaining demand of one job for machines of type [typeName].
 *
 * @property allowsSpot whether the tasks of the job may run on spot machines
 * @property maxMachines the highest number of machines that the job can use at once
 * @property workUs the machine time of all remaining tasks, in microseconds
 * @property dueAtUs when the job should be done, on the steady clock; null if no objective can be met any more
 * @property busyMachines the number of machines that the job uses now
 * @property waitingWorkUs the part of [workUs] that could start now but has not started
 * @property readyInUs the expected time until a job that waits for dependencies is ready, in microseconds; 0 if the job is ready
 * @property zone the only zone in which the tasks of the job may run; null if every zone is allowed
 */
data class Demand(
    val typeName: String,
    val allowsSpot: Boolean,
    val maxMachines: Double,
    val workUs: Double,
    val dueAtUs: Long?,
    val busyMachines: Double = 0.0,
    val waitingWorkUs: Double = workUs,
    val readyInUs: Long = 0,
    val zone: String? = null,
)
