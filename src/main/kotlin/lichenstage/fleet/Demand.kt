package lichenstage.fleet

/**
 * What one job still asks of machines of type [typeName].
 *
 * @property spot its tasks may run on spot instances
 * @property machines the most machines that it can use at once
 * @property workUs machine time of all that is left, in microseconds
 * @property dueUs when it should be complete, on the steady clock; null where no objective can be met any more
 * @property busy machines that it uses now
 * @property waitingUs the part of [workUs] that could begin now and has not
 * @property foreseenInUs the job waits for dependencies and is expected to be ready within that time; 0 where it is ready
 */
data class Demand(
    val typeName: String,
    val spot: Boolean,
    val machines: Double,
    val workUs: Double,
    val dueUs: Long?,
    val busy: Double = 0.0,
    val waitingUs: Double = workUs,
    val foreseenInUs: Long = 0,
)
