package lichenstage.model

/** Higher ones come first. */
enum class Priority { LOW, STANDARD, HIGH, PRODUCTION }

/** A job as its user described it. Never changes after it was accepted. */
data class JobSpec(
    val id: String,
    val kind: String,
    val team: String,
    val priority: Priority,
    val tasks: Int,
    val shape: Shape,
    val allowedTypes: List<String>?,
    val zone: String?,
    val sameZone: Boolean,
    val spread: Boolean,
    val spot: Boolean,
    val image: String,
    val imageGb: Double,
    val estimateUs: Long,
    val checkpointUs: Long,
    val saveUs: Long,
    val deadlineUs: Long?,
    /** Time of day of the submission, in microseconds. */
    val submittedUs: Long,
    /** Jobs that have to be done before any task of this one starts. */
    val needs: List<String> = emptyList(),
) {
    val facts get() = JobRequirements(shape, image, imageGb)
}
