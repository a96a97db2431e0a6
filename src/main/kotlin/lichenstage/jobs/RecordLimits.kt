package lichenstage.jobs

import lichenstage.model.JobSpec
import lichenstage.state.TransactionLimits

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
    private val transactionLimits = TransactionLimits(maxTransactionOperations)

    /** The maximum number of preconditions of one transaction. */
    val maxPreconditions = transactionLimits.maxPreconditions

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
        val maxRecordBytes = maxRecordBytes(spec)
        if (recordBytes <= maxRecordBytes) return null
        val field =
            if (encodedSizeBytes(spec.copy(dependencies = emptyList())) <= maxRecordBytes) {
                SubmissionFields.DEPENDENCIES
            } else {
                SubmissionFields.ALLOWED_TYPES
            }
        return OversizedField(field, "$field: the record must take at most $maxRecordBytes bytes, was $recordBytes")
    }

    /** Returns the maximum size of the record of a job. Its transaction also has a precondition for each of the dependencies. */
    private fun maxRecordBytes(spec: JobSpec): Int {
        val preconditionBytes = spec.dependencies.sumOf { it.length + PRECONDITION_OVERHEAD_BYTES }
        return minOf(maxValueBytes, transactionLimits.maxValueBytes - preconditionBytes)
    }

    private fun encodedSizeBytes(spec: JobSpec) =
        JobRecordCodec
            .encode(spec)
            .encode()
            .toByteArray()
            .size

    private companion object {
        const val OWN_PRECONDITIONS = 2

        /** The size of an encoded precondition without the id of its job, in bytes. */
        const val PRECONDITION_OVERHEAD_BYTES = 64
    }
}
