package lichenstage.model

/** The priority of a job, in ascending order. Jobs with a higher priority are placed first. */
enum class Priority { LOW, STANDARD, HIGH, PRODUCTION }

/**
 * A job as its user submitted it. It never changes after it has been accepted.
 *
 * @property id the id of the job, chosen by its user
 * @property jobClass the name of a class of similar jobs; run-time estimates and service-level objectives refer to this class
 * @property team the team that owns the job
 * @property priority the priority, which decides the order in which jobs are placed
 * @property taskCount the number of tasks
 * @property resources the resources of one task
 * @property allowedTypes the names of the machine types that the tasks may run on; null if every type is allowed
 * @property zone the zone in which all tasks must run; null if every zone is allowed
 * @property requiresSameZone whether all tasks must run in the same zone, whichever it is
 * @property requiresSpread whether at most half of the tasks, rounded up, may run in the same zone
 * @property allowsSpot whether the tasks may run on spot machines
 * @property image the name of the image that a machine must fetch before it starts a task
 * @property imageGb the size of the image in GB
 * @property estimatedRunTimeUs the user's estimate of the run time of a task, in microseconds
 * @property checkpointIntervalUs the run time between two checkpoints of a task, in microseconds; 0 if the task saves none
 * @property checkpointSaveUs the time that a task needs to save a checkpoint when it is stopped, in microseconds
 * @property deadlineAfterUs the time from the submission to the deadline of the job, in microseconds; null if it has no deadline
 * @property submittedAtUs the time of the submission, in microseconds since the epoch
 * @property dependencies the ids of the jobs that must be done before any task of this job starts
 */
data class JobSpec(
    val id: String,
    val jobClass: String,
    val team: String,
    val priority: Priority,
    val taskCount: Int,
    val resources: Resources,
    val allowedTypes: List<String>?,
    val zone: String?,
    val requiresSameZone: Boolean,
    val requiresSpread: Boolean,
    val allowsSpot: Boolean,
    val image: String,
    val imageGb: Double,
    val estimatedRunTimeUs: Long,
    val checkpointIntervalUs: Long,
    val checkpointSaveUs: Long,
    val deadlineAfterUs: Long?,
    val submittedAtUs: Long,
    val dependencies: List<String> = emptyList(),
) {
    /** The part of this specification that a partition needs to place tasks of the job. */
    val requirements get() = JobRequirements(resources, image, imageGb)
}
