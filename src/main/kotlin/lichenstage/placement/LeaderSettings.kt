package lichenstage.placement

import lichenstage.config.Team
import lichenstage.model.JobSpec
import lichenstage.model.PartitionAssignment
import lichenstage.model.Resources

/** One term of leadership. */
data class LeaderTerm(
    /** Rises with every leadership; the high part of all attempt numbers (invariant 7). */
    val term: Long,
    /** The revision of the leadership's key: a job record with a higher create revision was accepted within the term. */
    val leaderKeyRevision: Long,
)

/** What a leader's decisions follow for the whole of its term. */
data class LeaderSettings(
    val assignment: PartitionAssignment,
    val teams: Map<String, Team>,
    /** How long a worker runs tasks without an answer. */
    val workerLeaseUs: Long,
    val placement: PlacementSettings,
    val objectives: ServiceObjectives,
    /** Changes that one transaction of the key-value store takes. */
    val maxChangesPerTransaction: Int,
    /** Size limit of a value in the key-value store. */
    val maxValueBytes: Int = Int.MAX_VALUE,
)

/** What a leader looks up outside: it may change while the term lasts. */
class LeaderLookups(
    /** The capacity of a machine type, by its name; null where the type is not known. */
    val capacityOf: (String) -> Resources?,
    /** How long fetching a job's image takes, in microseconds. */
    val fetchUs: (JobSpec) -> Long = { 0 },
    /** The ids of the jobs that depend on a job, by its id. */
    val dependentsOf: (String) -> Collection<String> = { emptyList() },
)
