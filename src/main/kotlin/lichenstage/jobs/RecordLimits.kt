package lichenstage.jobs

import lichenstage.model.JobSpec

/** A [field] of a submission that is too large, and why. */
data class OversizedField(
    val field: String,
    val reason: String,
)

/**
 * The limits of one record and of one transaction. A submission that exceeds them could never be written, now or once the state service
 * lowers its limits, so it is refused at once instead of being retried forever.
 */
class RecordLimits(
    maxTransactionOps: Int,
    private val maxValueBytes: Int,
) {
    /** The most preconditions that one transaction may have. */
    val maxPreconditions = maxTransactionOps * PRECONDITIONS_PER_CHANGE

    /** The most dependencies of a job: each may be a precondition, beside the two that the job itself is new. */
    val maxDependencies = maxPreconditions - OWN_PRECONDITIONS

    /** What is too large, or null. */
    fun findOversizedField(spec: JobSpec): OversizedField? {
        if (spec.dependencies.size >
            maxDependencies
        ) {
            return OversizedField(SubmissionFields.DEPENDENCIES, "at most $maxDependencies jobs can be named")
        }
        val recordBytes = encodedSize(spec)
        if (recordBytes <= maxValueBytes) return null
        val field =
            if (encodedSize(spec.copy(dependencies = emptyList())) <=
                maxValueBytes
            ) {
                SubmissionFields.DEPENDENCIES
            } else {
                SubmissionFields.ALLOWED_TYPES
            }
        return OversizedField(field, "the record would take $recordBytes bytes of at most $maxValueBytes")
    }

    private fun encodedSize(spec: JobSpec) =
        JobRecordCodec
            .encode(spec)
            .encode()
            .toByteArray()
            .size

    private companion object {
        const val PRECONDITIONS_PER_CHANGE = 4
        const val OWN_PRECONDITIONS = 2
    }
}
