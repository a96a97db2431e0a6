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
    private val memory: JobMemory,
    private val lookup: JobLookup,
    private val pipelines: Pipelines,
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
                JobCodec.submission(json, timeOfDayUs())
            } catch (e: Malformed) {
                // A job that is known is answered as such, whatever its repeat looks like.
                val id = json.getValue("uid") as? String
                return lookup.known(id.orEmpty()) { Reply.problem(Reply.BAD_REQUEST, e.field, e.message!!) }
            }
        memory.over(spec.id)?.let { return Reply.ofOver(spec.id, it) }
        val refusal = refusal(spec) ?: limits.refusal(spec)?.let { (field, what) -> Reply.problem(Reply.BAD_REQUEST, field, what) }
        if (refusal != null) return lookup.known(spec.id) { refusal }
        return accept(spec)
    }

    /** Why the job can't be accepted, or null. */
    private fun refusal(spec: JobSpec): Reply? {
        val team = teams[spec.team] ?: return Reply.problem(Reply.UNPROCESSABLE, "owner", "unknown team")
        if (spec.shape.cores > team.coresMax || spec.shape.cards > team.cardsMax) {
            return Reply.problem(Reply.UNPROCESSABLE, "cores", "one task is over the team's limit")
        }
        val types = machineTypes()
        if (types.isEmpty()) return Reply.later("machine types are not known yet")
        if (MachineFit.compatibleTypes(spec, types).isEmpty()) {
            return Reply.problem(Reply.UNPROCESSABLE, "builds", "a task fits no allowed machine type")
        }
        return null
    }

    /**
     * Written only while all that was read of the jobs that it needs still holds: one that is cancelled at the same moment either has
     * this job's record to be cancelled with it, or is seen as cancelled here.
     */
    private suspend fun accept(spec: JobSpec): Reply {
        repeat(MOST_TRIES) { attempt ->
            val standings = spec.dependencies.associateWith { standing(it, fresh = attempt > 0) }
            standings.entries.firstOrNull { it.value is Standing.NeverAccepted }?.let { (id, _) ->
                return lookup.known(spec.id) { Reply.problem(Reply.UNPROCESSABLE, "waits_on", "$id was never accepted") }
            }
            if (Standing.Unclear in standings.values) return Reply.stateUnavailable()
            write(spec, standings)?.let { return it }
        }
        return Reply.later("undecided")
    }

    /** Null where something that was read has changed meanwhile. */
    private suspend fun write(
        spec: JobSpec,
        standings: Map<String, Standing>,
    ): Reply? {
        val open = JobRecord.OPEN + spec.id
        val over = JobRecord.FINISHED + spec.id
        val guards = hashMapOf(open to 0L, over to 0L)
        for ((id, standing) in standings) if (standing is Standing.Open) guards[JobRecord.OPEN + id] = standing.stamp
        val inVain = Standing.Cancelled in standings.values
        val record = if (inVain) JobLookup.overNow("cancelled", 0) else JobRecord.encode(spec)
        val change = Change.Put(if (inVain) over else open, record)
        return when (val outcome = state.commit(Precondition.allOf(guards), listOf(change), SUBMIT_TIMEOUT_MS)) {
            is TransactionResult.Committed -> {
                if (inVain) memory.rememberOver(spec.id, record) else memory.rememberOpen(spec.id, outcome.revision, spec.dependencies)
                Reply.accepted(spec.id, if (inVain) "cancelled" else "pending")
            }

            is TransactionResult.Conflict -> {
                val reply = lookup.known(spec.id) { Reply.later("undecided") }
                reply.takeIf { spec.dependencies.isEmpty() || it.status == Reply.OK }
            }

            TransactionResult.LeaseExpired, TransactionResult.Rejected, TransactionResult.Indeterminate -> {
                Reply.stateUnavailable()
            }
        }
    }

    /** Where a job that another needs stands. */
    private sealed interface Standing {
        data class Open(
            val stamp: Long,
        ) : Standing

        data object Done : Standing

        data object Cancelled : Standing

        data object NeverAccepted : Standing

        data object Unclear : Standing
    }

    /** What was learned before will do unless [fresh], since it is a condition of what is written. */
    private suspend fun standing(
        id: String,
        fresh: Boolean,
    ): Standing {
        if (pipelines.isOrphan(id)) return Standing.Cancelled
        memory.over(id)?.let { return ended(it) }
        if (!fresh) memory.stamp(id)?.let { return Standing.Open(it) }
        return when (val read = state.get(JobRecord.OPEN + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> Standing.Open(read.entry.modRevision)
            ReadResult.Unavailable -> Standing.Unclear
            ReadResult.NotFound -> standingOver(id)
        }
    }

    private suspend fun standingOver(id: String): Standing =
        when (val over = state.get(JobRecord.FINISHED + id, JobLookup.READ_TIMEOUT_MS)) {
            is ReadResult.Found -> ended(over.entry.value)
            ReadResult.NotFound -> Standing.NeverAccepted
            ReadResult.Unavailable -> Standing.Unclear
        }

    private fun ended(record: JsonObject) = if (record.getString("status") == "done") Standing.Done else Standing.Cancelled

    companion object {
        /** The body of a submission, or null where it is not a JSON object. */
        fun parse(text: String): JsonObject? =
            try {
                JsonObject(text)
            } catch (_: RuntimeException) {
                null
            }

        /** The answer to a body that is not a JSON object. */
        fun notAnObject() = Reply.problem(Reply.BAD_REQUEST, "body", "not a JSON object")

        private const val MOST_TRIES = 3
        private const val SUBMIT_TIMEOUT_MS = 3000L
    }
}
