package lichenstage.placement

import lichenstage.config.Team
import lichenstage.model.JobSpec
import lichenstage.model.PartitionAssignment
import lichenstage.model.Resources

/** The identity of one term of leadership. */
data class LeaderTerm(
    /**
     * The number of the term. It increases with every change of leadership and forms the high part of all attempt numbers (invariant 7).
     */
    val term: Long,
    /** The revision of the leadership's key. A job record with a higher create revision was accepted during this term. */
    val leaderKeyRevision: Long,
)

/** The settings of a leader, which are fixed for its whole term. */
data class LeaderSettings(
    val assignment: PartitionAssignment,
    val teams: Map<String, Team>,
    /** How long a worker keeps running its tasks without a reply to its heartbeats, in microseconds. */
    val workerLeaseUs: Long,
    val placementSettings: PlacementSettings,
    val serviceObjectives: ServiceObjectives,
    /** The maximum number of changes in one transaction of the key-value store. */
    val maxChangesPerTransaction: Int,
    /** The maximum size of a value in the key-value store, in bytes. */
    val maxValueBytes: Int = Int.MAX_VALUE,
)

/** The lookups of a leader whose results may change during its term. */
class LeaderLookups(
    /** Returns the capacity of a machine type by its name; null if the type is not known. */
    val capacityOf: (String) -> Resources?,
    /** Returns how long fetching a job's image takes, in microseconds. */
    val fetchUs: (JobSpec) -> Long = { 0 },
    /** Returns the ids of the jobs that depend on the job with the given id. */
    val dependentsOf: (String) -> Collection<String> = { emptyList() },
)
