package lichenstage.jobs

import io.vertx.core.json.JsonObject
import lichenstage.common.HttpStatus
import lichenstage.common.timeOfDayUs
import lichenstage.model.JobSpec
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
    private val admission: AdmissionPolicy,
) {
    /** What becomes of a submission with the body [text]. */
    suspend fun submit(text: String): Reply {
        val json = parse(text) ?: return notAnObject()
        val spec =
            try {
                SubmissionCodec.submission(json, timeOfDayUs())
            } catch (e: InvalidSubmission) {
                // A job that is known is answered as such, whatever its repeat looks like.
                val id = json.getValue(SubmissionFields.ID) as? String
                return lookup.existingOr(id.orEmpty()) { Reply.rejected(HttpStatus.BAD_REQUEST, e.field, e.message!!) }
            }
        cache.finished(spec.id)?.let { return Reply.ofFinished(spec.id, it) }
        val refusal = admission.refusal(spec)
        if (refusal != null) return lookup.existingOr(spec.id) { refusal }
        return accept(spec)
    }

    /**
     * Written only while all that was read of the jobs that it needs still holds: one that is cancelled at the same moment either has
     * this job's record to be cancelled with it, or is seen as cancelled here.
     */
    private suspend fun accept(spec: JobSpec): Reply {
        repeat(MAX_TRIES) { attempt ->
            val dependencies = spec.dependencies.associateWith { dependency(it, fresh = attempt > 0) }
            dependencies.entries.firstOrNull { it.value is Dependency.NeverAccepted }?.let { (id, _) ->
                return lookup.existingOr(
                    spec.id,
                ) { Reply.rejected(HttpStatus.UNPROCESSABLE_ENTITY, SubmissionFields.DEPENDENCIES, "$id was never accepted") }
            }
            if (Dependency.Indeterminate in dependencies.values) return Reply.stateUnavailable()
            write(spec, dependencies)?.let { return it }
        }
        return Reply.unavailable(JobLookup.UNDECIDED)
    }

    /** Null where something that was read has changed meanwhile. */
    private suspend fun write(
        spec: JobSpec,
        dependencies: Map<String, Dependency>,
    ): Reply? {
        val open = JobRecordCodec.OPEN + spec.id
        val finished = JobRecordCodec.FINISHED + spec.id
        val revisions = hashMapOf(open to Precondition.ABSENT, finished to Precondition.ABSENT)
        for ((id, dependency) in dependencies) if (dependency is Dependency.Open) revisions[JobRecordCodec.OPEN + id] = dependency.revision
        val isCancelled = Dependency.Cancelled in dependencies.values
        val end = if (isCancelled) JobLookup.finishedNow(EndStatus.CANCELLED, 0) else null
        val change =
            if (end != null) Change.Put(finished, JobRecordCodec.encodeFinished(end)) else Change.Put(open, JobRecordCodec.encode(spec))
        return when (val outcome = state.commit(Precondition.allOf(revisions), listOf(change), SUBMIT_TIMEOUT_MS)) {
            is TransactionResult.Committed -> {
                if (end != null) cache.rememberFinished(spec.id, end) else cache.rememberOpen(spec.id, outcome.revision, spec.dependencies)
                Reply.accepted(spec.id, end?.outcome?.status?.wireName ?: Reply.PENDING)
            }

            is TransactionResult.Conflict -> {
                val reply = lookup.existingOr(spec.id) { Reply.unavailable(JobLookup.UNDECIDED) }
                reply.takeIf { spec.dependencies.isEmpty() || it.status == HttpStatus.OK }
            }

            TransactionResult.LeaseExpired, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                Reply.stateUnavailable()
            }
        }
    }

    /** Where a job that another needs stands. */
    private sealed interface Dependency {
        data class Open(
            val revision: Long,
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
        cache.finished(id)?.let { return ofOutcome(it.outcome) }
        if (!fresh) cache.openRevision(id)?.let { return Dependency.Open(it) }
        return when (val read = state.get(JobRecordCodec.OPEN + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> Dependency.Open(read.entry.modRevision)
            ReadResult.Unavailable -> Dependency.Indeterminate
            ReadResult.NotFound -> finishedDependency(id)
        }
    }

    private suspend fun finishedDependency(id: String): Dependency =
        when (val finished = state.get(JobRecordCodec.FINISHED + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> ofOutcome(JobRecordCodec.decodeFinished(finished.entry.value).outcome)
            ReadResult.NotFound -> Dependency.NeverAccepted
            ReadResult.Unavailable -> Dependency.Indeterminate
        }

    private fun ofOutcome(outcome: JobOutcome) = if (outcome.isDone) Dependency.Done else Dependency.Cancelled

    companion object {
        /** The body of a submission, or null where it is not a JSON object. */
        fun parse(text: String): JsonObject? =
            try {
                JsonObject(text)
            } catch (_: RuntimeException) {
                null
            }

        /** The answer to a body that is not a JSON object. */
        fun notAnObject() = Reply.rejected(HttpStatus.BAD_REQUEST, "body", "not a JSON object")

        private const val MAX_TRIES = 3
        private const val SUBMIT_TIMEOUT_MS = 3000L
    }
}
