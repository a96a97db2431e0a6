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
        val json = parse(text) ?: return invalidBodyReply()
        val spec =
            try {
                SubmissionCodec.decode(json, timeOfDayUs())
            } catch (e: InvalidSubmissionException) {
                // A job that is known is answered as such, whatever its repeat looks like.
                val id = json.getValue(SubmissionFields.ID) as? String
                return lookup.findExistingOrElse(id.orEmpty()) { Reply.rejected(HttpStatus.BAD_REQUEST, e.field, e.message!!) }
            }
        cache.finishedJob(spec.id)?.let { return Reply.ofFinished(spec.id, it) }
        val refusal = admission.findRefusal(spec)
        if (refusal != null) return lookup.findExistingOrElse(spec.id) { refusal }
        return tryToAccept(spec)
    }

    /**
     * Written only while all that was read of the jobs that it needs still holds: one that is cancelled at the same moment either has
     * this job's record to be cancelled with it, or is seen as cancelled here.
     */
    private suspend fun tryToAccept(spec: JobSpec): Reply {
        repeat(MAX_TRIES) { attempt ->
            val dependencies = spec.dependencies.associateWith { readDependency(it, mustReadRecord = attempt > 0) }
            dependencies.entries.firstOrNull { it.value is DependencyState.NeverAccepted }?.let { (id, _) ->
                return lookup.findExistingOrElse(
                    spec.id,
                ) { Reply.rejected(HttpStatus.UNPROCESSABLE_ENTITY, SubmissionFields.DEPENDENCIES, "$id was never accepted") }
            }
            if (DependencyState.Indeterminate in dependencies.values) return Reply.stateUnavailable()
            writeRecord(spec, dependencies)?.let { return it }
        }
        return Reply.unavailable(JobLookup.CONFLICTING_CHANGES)
    }

    /** Null where something that was read has changed meanwhile. */
    private suspend fun writeRecord(
        spec: JobSpec,
        dependencies: Map<String, DependencyState>,
    ): Reply? {
        val openKey = JobRecordCodec.OPEN_PREFIX + spec.id
        val finishedKey = JobRecordCodec.FINISHED_PREFIX + spec.id
        val revisions = hashMapOf(openKey to Precondition.ABSENT, finishedKey to Precondition.ABSENT)
        for ((id, dependency) in dependencies) {
            if (dependency is DependencyState.Open) {
                revisions[JobRecordCodec.OPEN_PREFIX + id] =
                    dependency.revision
            }
        }
        val isCancelled = DependencyState.Cancelled in dependencies.values
        val finishedJob = if (isCancelled) JobLookup.createFinishedJob(EndStatus.CANCELLED, 0) else null
        val change =
            if (finishedJob !=
                null
            ) {
                Change.Put(finishedKey, JobRecordCodec.encodeFinished(finishedJob))
            } else {
                Change.Put(openKey, JobRecordCodec.encode(spec))
            }
        return when (val outcome = state.commit(Precondition.allOf(revisions), listOf(change), SUBMIT_TIMEOUT_MS)) {
            is TransactionResult.Committed -> {
                if (finishedJob !=
                    null
                ) {
                    cache.rememberFinished(spec.id, finishedJob)
                } else {
                    cache.rememberOpen(spec.id, outcome.revision, spec.dependencies)
                }
                Reply.accepted(spec.id, finishedJob?.outcome?.status?.wireName ?: Reply.PENDING)
            }

            is TransactionResult.Conflict -> {
                val reply = lookup.findExistingOrElse(spec.id) { Reply.unavailable(JobLookup.CONFLICTING_CHANGES) }
                reply.takeIf { spec.dependencies.isEmpty() || it.status == HttpStatus.OK }
            }

            TransactionResult.LeaseExpired, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                Reply.stateUnavailable()
            }
        }
    }

    /** Where a job that another needs stands. */
    private sealed interface DependencyState {
        data class Open(
            val revision: Long,
        ) : DependencyState

        data object Done : DependencyState

        data object Cancelled : DependencyState

        data object NeverAccepted : DependencyState

        data object Indeterminate : DependencyState
    }

    /** What was learned before will do unless [mustReadRecord], since it is a condition of what is written. */
    private suspend fun readDependency(
        id: String,
        mustReadRecord: Boolean,
    ): DependencyState {
        if (dependencyGraph.isOrphaned(id)) return DependencyState.Cancelled
        cache.finishedJob(id)?.let { return toDependencyState(it.outcome) }
        if (!mustReadRecord) cache.openRevision(id)?.let { return DependencyState.Open(it) }
        return when (val read = state.get(JobRecordCodec.OPEN_PREFIX + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> DependencyState.Open(read.entry.modRevision)
            ReadResult.Unavailable -> DependencyState.Indeterminate
            ReadResult.NotFound -> readFinishedDependency(id)
        }
    }

    private suspend fun readFinishedDependency(id: String): DependencyState =
        when (val read = state.get(JobRecordCodec.FINISHED_PREFIX + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> toDependencyState(JobRecordCodec.decodeFinished(read.entry.value).outcome)
            ReadResult.NotFound -> DependencyState.NeverAccepted
            ReadResult.Unavailable -> DependencyState.Indeterminate
        }

    private fun toDependencyState(outcome: JobOutcome) = if (outcome.isDone) DependencyState.Done else DependencyState.Cancelled

    companion object {
        /** The body of a submission, or null where it is not a JSON object. */
        fun parse(text: String): JsonObject? =
            try {
                JsonObject(text)
            } catch (_: RuntimeException) {
                null
            }

        /** The answer to a body that is not a JSON object. */
        fun invalidBodyReply() = Reply.rejected(HttpStatus.BAD_REQUEST, "body", "not a JSON object")

        private const val MAX_TRIES = 3
        private const val SUBMIT_TIMEOUT_MS = 3000L
    }
}
