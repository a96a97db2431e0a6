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

/** Handles submissions: decodes each one, refuses a job that can never run, and writes the record of an accepted job. */
class SubmissionHandler(
    private val store: KeyValueStore,
    private val cache: JobCache,
    private val lookup: JobLookup,
    private val dependencyGraph: DependencyGraph,
    private val admissionPolicy: AdmissionPolicy,
) {
    /** Handles a submission with the body [text] and returns the reply. */
    suspend fun submit(text: String): Reply {
        val json = parse(text) ?: return invalidBodyReply()
        val spec =
            try {
                SubmissionCodec.decode(json, timeOfDayUs())
            } catch (e: InvalidSubmissionException) {
                // If the job already exists, the reply is its state, even if the repeated submission is malformed.
                val id = json.getValue(SubmissionFields.ID) as? String
                return lookup.findExistingOrElse(id.orEmpty()) { Reply.rejected(HttpStatus.BAD_REQUEST, e.field, e.message!!) }
            }
        cache.finishedJob(spec.id)?.let { return Reply.ofFinished(spec.id, it) }
        val refusal = admissionPolicy.findRefusal(spec)
        if (refusal != null) return lookup.findExistingOrElse(spec.id) { refusal }
        return tryToAccept(spec)
    }

    /**
     * Writes the job's record on the precondition that the records of its dependencies have not changed since they were read. If a
     * dependency is cancelled at the same moment, one of two things happens: the cancellation finds this job's record and includes it, or
     * this submission sees that the dependency is cancelled.
     */
    private suspend fun tryToAccept(spec: JobSpec): Reply {
        repeat(MAX_TRIES) { tryIndex ->
            val dependencies = spec.dependencies.associateWith { readDependency(it, mustReadRecord = tryIndex > 0) }
            dependencies.entries.firstOrNull { it.value is DependencyState.NeverAccepted }?.let { (id, _) ->
                return lookup.findExistingOrElse(
                    spec.id,
                ) {
                    Reply.rejected(
                        HttpStatus.UNPROCESSABLE_ENTITY,
                        SubmissionFields.DEPENDENCIES,
                        "${SubmissionFields.DEPENDENCIES}: must name accepted jobs, was $id",
                    )
                }
            }
            if (DependencyState.Indeterminate in dependencies.values) return Reply.stateUnavailable()
            writeRecord(spec, dependencies)?.let { return it }
        }
        return Reply.unavailable(JobLookup.CONFLICTING_CHANGES)
    }

    /** Writes the job's record. Returns null if a record that was read has changed in the meantime. */
    private suspend fun writeRecord(
        spec: JobSpec,
        dependencies: Map<String, DependencyState>,
    ): Reply? {
        val openKey = JobRecordCodec.OPEN_PREFIX + spec.id
        val finishedKey = JobRecordCodec.FINISHED_PREFIX + spec.id
        val revisions = hashMapOf(openKey to Precondition.ABSENT, finishedKey to Precondition.ABSENT)
        for ((id, dependency) in dependencies) {
            if (dependency is DependencyState.Open) revisions[JobRecordCodec.OPEN_PREFIX + id] = dependency.revision
        }
        val isCancelled = DependencyState.Cancelled in dependencies.values
        val finishedJob = if (isCancelled) JobLookup.createFinishedJob(EndStatus.CANCELLED, 0) else null
        val change =
            if (finishedJob != null) {
                Change.Put(finishedKey, JobRecordCodec.encodeFinished(finishedJob))
            } else {
                Change.Put(openKey, JobRecordCodec.encode(spec))
            }
        return when (val outcome = store.commit(Precondition.allOf(revisions), listOf(change), SUBMIT_TIMEOUT_MS)) {
            is TransactionResult.Committed -> {
                if (finishedJob != null) {
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

            TransactionResult.LeaseExpired, TransactionResult.Invalid, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                Reply.stateUnavailable()
            }
        }
    }

    /** The state of a job that another job depends on. */
    private sealed interface DependencyState {
        data class Open(
            val revision: Long,
        ) : DependencyState

        data object Done : DependencyState

        data object Cancelled : DependencyState

        data object NeverAccepted : DependencyState

        data object Indeterminate : DependencyState
    }

    /**
     * Returns the state of a dependency. Cached data is sufficient unless [mustReadRecord] is true, because the cached revision becomes a
     * precondition of the write.
     */
    private suspend fun readDependency(
        id: String,
        mustReadRecord: Boolean,
    ): DependencyState {
        if (dependencyGraph.isOrphaned(id)) return DependencyState.Cancelled
        cache.finishedJob(id)?.let { return toDependencyState(it.outcome) }
        if (!mustReadRecord) cache.openRevision(id)?.let { return DependencyState.Open(it) }
        return when (val read = store.get(JobRecordCodec.OPEN_PREFIX + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> DependencyState.Open(read.entry.modRevision)
            ReadResult.Unavailable -> DependencyState.Indeterminate
            ReadResult.NotFound -> readFinishedDependency(id)
        }
    }

    private suspend fun readFinishedDependency(id: String): DependencyState =
        when (val read = store.get(JobRecordCodec.FINISHED_PREFIX + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> toDependencyState(JobRecordCodec.decodeFinished(read.entry.value).outcome)
            ReadResult.NotFound -> DependencyState.NeverAccepted
            ReadResult.Unavailable -> DependencyState.Indeterminate
        }

    private fun toDependencyState(outcome: JobOutcome) = if (outcome.isDone) DependencyState.Done else DependencyState.Cancelled

    companion object {
        /** Returns the JSON object in the body of a submission, or null if the body is not a JSON object. */
        fun parse(text: String): JsonObject? =
            try {
                JsonObject(text)
            } catch (_: RuntimeException) {
                null
            }

        /** Returns the reply to a body that is not a JSON object. */
        fun invalidBodyReply() = Reply.rejected(HttpStatus.BAD_REQUEST, "body", "body: must be a JSON object")

        private const val MAX_TRIES = 3
        private const val SUBMIT_TIMEOUT_MS = 3000L
    }
}
