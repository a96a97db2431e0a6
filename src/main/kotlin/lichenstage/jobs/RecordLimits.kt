package lichenstage.jobs

/**
 * What one record and one transaction can bear. A submission that is over it could never be written, now or once the state service
 * lowers its limits, so it is refused at once instead of being tried over and over.
 */
class RecordLimits(
    txnOps: Int,
    private val valueBytes: Int,
) {
    /** Conditions that one transaction may have. */
    val guards = txnOps * GUARDS_A_CHANGE

    /** Each job that is named may be a condition, beside the two that the job itself is new. */
    val mostNeeds = guards - OWN_GUARDS

    /** The field that is too large and why, or null. */
    fun refusal(spec: JobSpec): Pair<String, String>? {
        if (spec.needs.size > mostNeeds) return "waits_on" to "at most $mostNeeds jobs can be named"
        val bytes = size(spec)
        if (bytes <= valueBytes) return null
        val field = if (size(spec.copy(needs = emptyList())) <= valueBytes) "waits_on" else "builds"
        return field to "the record would take $bytes bytes of at most $valueBytes"
    }

    private fun size(spec: JobSpec) =
        JobRecord
            .encode(spec)
            .encode()
            .toByteArray()
            .size

    private companion object {
        const val GUARDS_A_CHANGE = 4
        const val OWN_GUARDS = 2
    }
}
