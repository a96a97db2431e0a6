package lichenstage.jobs

import io.vertx.core.json.JsonObject
import lichenstage.common.timeOfDayUs
import lichenstage.config.Team
import lichenstage.model.JobSpec
import lichenstage.model.MachineFit
import lichenstage.model.MachineType
import lichenstage.state.Change
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.TransactionResult

/** Takes submissions: reads them, refuses what can never run, and writes the record of what is accepted. */
class JobSubmission(
    private val state: KeyValueStore,
    private val cache: JobCache,
    private val lookup: JobLookup,
    private val dependencyGraph: DependencyGraph,
    private val limits: RecordLimits,
    private val teams: Map<String, Team>,
    /** The machine types; none while they are not known. */
    private val machineTypes: () -> Map<String, MachineType>,
) {
    /** What becomes of a submission with the body [text]. */
    suspend fun submit(text: String): Reply {
        val json = parse(text) ?: return notAnObject()
        val spec =
            try {
                SubmissionCodec.submission(json, timeOfDayUs())
            } catch (e: InvalidSubmission) {
                // A job that is known is answered as such, whatever its repeat looks like.
                val id = json.getValue("uid") as? String
                return lookup.existingOr(id.orEmpty()) { Reply.rejected(Reply.BAD_REQUEST, e.field, e.message!!) }
            }
        cache.finished(spec.id)?.let { return Reply.ofFinished(spec.id, it) }
        val refusal = refusal(spec) ?: limits.refusal(spec)?.let { (field, what) -> Reply.rejected(Reply.BAD_REQUEST, field, what) }
        if (refusal != null) return lookup.existingOr(spec.id) { refusal }
        return accept(spec)
    }

    /** Why the job can't be accepted, or null. */
    private fun refusal(spec: JobSpec): Reply? {
        val team = teams[spec.team] ?: return Reply.rejected(Reply.UNPROCESSABLE, "owner", "unknown team")
        if (spec.resources.cores > team.coresMax || spec.resources.gpus > team.gpusMax) {
            return Reply.rejected(Reply.UNPROCESSABLE, "cores", "one task is over the team's limit")
        }
        val types = machineTypes()
        if (types.isEmpty()) return Reply.unavailable("machine types are not known yet")
        if (MachineFit.compatibleTypes(spec, types).isEmpty()) {
            return Reply.rejected(Reply.UNPROCESSABLE, "builds", "a task fits no allowed machine type")
        }
        return null
    }

    /**
     * Written only while all that was read of the jobs that it needs still holds: one that is cancelled at the same moment either has
     * this job's record to be cancelled with it, or is seen as cancelled here.
     */
    private suspend fun accept(spec: JobSpec): Reply {
        repeat(MAX_TRIES) { attempt ->
            val dependencies = spec.dependencies.associateWith { dependency(it, fresh = attempt > 0) }
            dependencies.entries.firstOrNull { it.value is Dependency.NeverAccepted }?.let { (id, _) ->
                return lookup.existingOr(spec.id) { Reply.rejected(Reply.UNPROCESSABLE, "waits_on", "$id was never accepted") }
            }
            if (Dependency.Indeterminate in dependencies.values) return Reply.stateUnavailable()
            write(spec, dependencies)?.let { return it }
        }
        return Reply.unavailable("undecided")
    }

    /** Null where something that was read has changed meanwhile. */
    private suspend fun write(
        spec: JobSpec,
        dependencies: Map<String, Dependency>,
    ): Reply? {
        val open = JobRecordCodec.OPEN + spec.id
        val over = JobRecordCodec.FINISHED + spec.id
        val guards = hashMapOf(open to 0L, over to 0L)
        for ((id, dependency) in dependencies) if (dependency is Dependency.Open) guards[JobRecordCodec.OPEN + id] = dependency.stamp
        val cancelledByDependency = Dependency.Cancelled in dependencies.values
        val record = if (cancelledByDependency) JobLookup.finishedNow("cancelled", 0) else JobRecordCodec.encode(spec)
        val change = Change.Put(if (cancelledByDependency) over else open, record)
        return when (val outcome = state.commit(Precondition.allOf(guards), listOf(change), SUBMIT_TIMEOUT_MS)) {
            is TransactionResult.Committed -> {
                if (cancelledByDependency) {
                    cache.rememberFinished(
                        spec.id,
                        record,
                    )
                } else {
                    cache.rememberOpen(spec.id, outcome.revision, spec.dependencies)
                }
                Reply.accepted(spec.id, if (cancelledByDependency) "cancelled" else "pending")
            }

            is TransactionResult.Conflict -> {
                val reply = lookup.existingOr(spec.id) { Reply.unavailable("undecided") }
                reply.takeIf { spec.dependencies.isEmpty() || it.status == Reply.OK }
            }

            TransactionResult.LeaseExpired, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                Reply.stateUnavailable()
            }
        }
    }

    /** Where a job that another needs stands. */
    private sealed interface Dependency {
        data class Open(
            val stamp: Long,
        ) : Dependency

        data object Done : Dependency

        data object Cancelled : Dependency

        data object NeverAccepted : Dependency

        data object Indeterminate : Dependency
    }

    /** What was learned before will do unless [fresh], since it is a condition of what is written. */
    private suspend fun dependency(
        id: String,
        fresh: Boolean,
    ): Dependency {
        if (dependencyGraph.isOrphan(id)) return Dependency.Cancelled
        cache.finished(id)?.let { return ended(it) }
        if (!fresh) cache.openRevision(id)?.let { return Dependency.Open(it) }
        return when (val read = state.get(JobRecordCodec.OPEN + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> Dependency.Open(read.entry.modRevision)
            ReadResult.Unavailable -> Dependency.Indeterminate
            ReadResult.NotFound -> finishedDependency(id)
        }
    }

    private suspend fun finishedDependency(id: String): Dependency =
        when (val over = state.get(JobRecordCodec.FINISHED + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> ended(over.entry.value)
            ReadResult.NotFound -> Dependency.NeverAccepted
            ReadResult.Unavailable -> Dependency.Indeterminate
        }

    private fun ended(record: JsonObject) = if (record.getString("status") == "done") Dependency.Done else Dependency.Cancelled

    companion object {
        /** The body of a submission, or null where it is not a JSON object. */
        fun parse(text: String): JsonObject? =
            try {
                JsonObject(text)
            } catch (_: RuntimeException) {
                null
            }

        /** The answer to a body that is not a JSON object. */
        fun notAnObject() = Reply.rejected(Reply.BAD_REQUEST, "body", "not a JSON object")

        private const val MAX_TRIES = 3
        private const val SUBMIT_TIMEOUT_MS = 3000L
    }
}
