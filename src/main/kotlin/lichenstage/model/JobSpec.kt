package lichenstage.model

/** The priority of a job; later entries are placed first. */
enum class Priority { LOW, STANDARD, HIGH, PRODUCTION }

/**
 * A job as its user described it. It never changes after it was accepted.
 *
 * @property id the job's id, chosen by its user
 * @property jobClass the class of similar jobs that run-time estimates and service-level objectives refer to
 * @property team the team that owns the job
 * @property priority which jobs it is placed before
 * @property taskCount the number of tasks
 * @property resources the resources of one task
 * @property allowedTypes the machine types that its tasks may run on; null where any will do
 * @property zone the zone that it is bound to; null where any will do
 * @property requiresSameZone all of its tasks must run in one zone
 * @property requiresSpread at most half of its tasks, rounded up, may run in one zone
 * @property allowsSpot its tasks may run on spot instances
 * @property image the image that a machine must fetch before it starts a task
 * @property imageGb the size of the image in GB
 * @property estimatedRunTimeUs the user's estimate of how long a task runs, in microseconds
 * @property checkpointIntervalUs the progress after which a running task saves a checkpoint, in microseconds; 0 where it never saves
 * @property checkpointSaveUs how long a task takes to save a checkpoint when it is stopped, in microseconds
 * @property deadlineUs when it should be complete, in microseconds after its submission; null where there is no deadline
 * @property submittedUs time of day of the submission, in microseconds
 * @property dependencies the ids of the jobs that must be done before any task of this one starts
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
    val deadlineUs: Long?,
    val submittedUs: Long,
    val dependencies: List<String> = emptyList(),
) {
    /** What a partition has to know of the job to place its tasks. */
    val requirements get() = JobRequirements(resources, image, imageGb)
}
