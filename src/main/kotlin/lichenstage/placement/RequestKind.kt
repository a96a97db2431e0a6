package lichenstage.placement

import lichenstage.model.JobRequirements
import lichenstage.model.JobSpec

/**
 * All that decides which machines can take a task of a job. If a request of one job gets no capacity, a request of another job of the same
 * kind gets none either, as long as no machine changes. A job whose zones depend on where its other tasks are, or that
 * avoids machines, is a kind of its own.
 */
data class RequestKind(
    private val requirements: JobRequirements,
    private val allowedTypes: List<String>?,
    private val zone: String?,
    private val allowsSpot: Boolean,
    private val onlyJob: String?,
) {
    private val cachedHashCode = listOf(requirements, allowedTypes, zone, allowsSpot, onlyJob).hashCode()

    /** Returns the hash code, which is computed once because every round looks up the kinds of all waiting jobs. */
    override fun hashCode() = cachedHashCode

    /** Returns this kind for a job that shares it with no other job. */
    fun ofOneJob(job: String) = copy(onlyJob = job)

    companion object {
        /** Returns the kind of the requests of a job. */
        fun of(spec: JobSpec): RequestKind {
            val hasOwnZones = spec.requiresSameZone || spec.requiresSpread
            return RequestKind(spec.requirements, spec.allowedTypes, spec.zone, spec.allowsSpot, spec.id.takeIf { hasOwnZones })
        }
    }
}
