package lichenstage.jobs

import lichenstage.model.JobSpec

/** A [field] of a submission that is too large, and the [reason] for the user. */
data class OversizedField(
    val field: String,
    val reason: String,
)

/**
 * The size limits of one record and of one transaction. The record of a submission that exceeds them could not be written, either now or
 * after the state service has lowered its limits. Such a submission is refused at once, because its user would retry it forever.
 */
class RecordLimits(
    maxTransactionOperations: Int,
    private val maxValueBytes: Int,
) {
    /** The maximum number of preconditions of one transaction. */
    val maxPreconditions = maxTransactionOperations * PRECONDITIONS_PER_CHANGE

    /** The maximum number of dependencies of a job. Each can need a precondition, in addition to the two that check that the job is new. */
    val maxDependencies = maxPreconditions - OWN_PRECONDITIONS

    /** Returns the field that makes the submission too large, or null if the submission is within the limits. */
    fun findOversizedField(spec: JobSpec): OversizedField? {
        if (spec.dependencies.size > maxDependencies) {
            return OversizedField(
                SubmissionFields.DEPENDENCIES,
                "${SubmissionFields.DEPENDENCIES}: must name at most $maxDependencies jobs, was ${spec.dependencies.size}",
            )
        }
        val recordBytes = encodedSizeBytes(spec)
        if (recordBytes <= maxValueBytes) return null
        val field =
            if (encodedSizeBytes(spec.copy(dependencies = emptyList())) <= maxValueBytes) {
                SubmissionFields.DEPENDENCIES
            } else {
                SubmissionFields.ALLOWED_TYPES
            }
        return OversizedField(field, "$field: the record must take at most $maxValueBytes bytes, was $recordBytes")
    }

    private fun encodedSizeBytes(spec: JobSpec) =
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
