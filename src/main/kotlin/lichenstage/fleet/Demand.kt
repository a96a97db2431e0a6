package lichenstage.fleet

/**
 * What one job still asks of machines of type [typeName].
 *
 * @property allowsSpot its tasks may run on spot instances
 * @property maxMachines the most machines that it can use at once
 * @property workUs machine time of all that is left, in microseconds
 * @property dueAtUs when it should be complete, on the steady clock; null where no objective can be met any more
 * @property busyMachines machines that it uses now
 * @property waitingWorkUs the part of [workUs] that could begin now and has not
 * @property readyInUs the job waits for dependencies and is expected to be ready within that time; 0 where it is ready
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
)
