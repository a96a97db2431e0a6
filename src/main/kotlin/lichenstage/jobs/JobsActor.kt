package lichenstage.jobs

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.app.Clock
import lichenstage.app.Mailbox
import lichenstage.app.SECOND
import lichenstage.app.Team
import lichenstage.cluster.RequestForwarder
import lichenstage.cluster.TaskCounts
import lichenstage.cluster.UserVerb
import lichenstage.fleet.DemandEstimate
import lichenstage.fleet.MachineType
import lichenstage.state.Change
import lichenstage.state.Committed
import lichenstage.state.Read
import lichenstage.state.Store
import java.util.concurrent.TimeUnit

/** An answer to a user. */
data class Reply(
    val status: Int,
    val body: JsonObject,
    val retryAfterS: Int? = null,
)

sealed interface JobsMessage {
    /** A user's request: the body of a submission, or a job's id. [forwarded] by a controller that can't answer it. */
    data class Asked(
        val verb: UserVerb,
        val text: String,
        val forwarded: Boolean = false,
        val reply: (Reply) -> Unit,
    ) : JobsMessage

    data class Counted(
        val counts: TaskCounts,
    ) : JobsMessage
}

/**
 * The user API. Every answer about a job that isn't over is decided on the state service's record (never on a copy); only
 * what can't change any more is remembered.
 */
class JobsActor(
    private val state: Store,
    /** The machine types; none while they are not known. */
    private val machineTypes: () -> Map<String, MachineType>,
    private val teams: Map<String, Team>,
    private val stateAnswers: () -> Boolean,
    private val forwarder: RequestForwarder,
    private val replica: JobReplica,
    private val pipelines: Pipelines,
    private val clock: Clock,
    private val limits: RecordLimits,
    private val cancelled: (String, Long) -> Unit,
    private val scope: CoroutineScope,
) {
    private val finished =
        object : LinkedHashMap<String, JsonObject>(64, 0.75f, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, JsonObject>) = size > REMEMBERED
        }

    /** Revisions of open records that the replica may lack: with them one request asks for many jobs. */
    private val stamps =
        object : LinkedHashMap<String, Long>(64, 0.75f, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, Long>) = size > REMEMBERED_OPEN
        }

    /** What open jobs need that the replica may lack. */
    private val needs =
        object : LinkedHashMap<String, List<String>>(64, 0.75f, true) {
            override fun removeEldestEntry(eldest: MutableMap.MutableEntry<String, List<String>>) = size > REMEMBERED_OPEN
        }
    private val openRecordCheck = OpenRecordCheck(limits.guards, scope) { state.txn(it, emptyList(), COMPARE_TIMEOUT_MS) }
    private var counts = TaskCounts(0, emptyMap())
    private var open = 0
    private val mailbox = Mailbox("jobs", scope, ::handle, shed = ::shed)

    fun tell(message: JobsMessage) = mailbox.tell(message)

    /** Users are told to come again, counts come again. */
    private fun shed(message: JobsMessage): Boolean {
        if (message is JobsMessage.Asked) message.reply(later("busy", 2))
        return true
    }

    private fun handle(message: JobsMessage) {
        when (message) {
            is JobsMessage.Asked -> work(message.reply) { answer(message) }
            is JobsMessage.Counted -> if (message.counts.term >= counts.term) counts = message.counts
        }
    }

    /** Above the bound a request is turned away at once, so that those that are taken are answered in time. */
    private fun work(
        reply: (Reply) -> Unit,
        task: suspend () -> Reply,
    ) {
        if (open >= MOST_OPEN) {
            reply(later("busy", 2))
            return
        }
        open++
        scope.launch {
            try {
                reply(task())
            } finally {
                open--
            }
        }
    }

    /**
     * While the state service does not answer this process, another controller is asked. If there is none, a short try of its
     * own finds out whether the service is back, and else the user is told at once when to come again.
     */
    private suspend fun answer(asked: JobsMessage.Asked): Reply {
        if (stateAnswers() || asked.text in finished) return decide(asked)
        if (asked.verb == UserVerb.SUBMIT && parse(asked.text) == null) return problem(400, "body", "not a JSON object")
        val other = if (asked.forwarded) null else forwarder.ask(asked.verb, asked.text)
        if (other != null) return Reply(other.status, JsonObject(other.body), other.retryAfterS)
        return withTimeoutOrNull(SHORT_TRY_MS) { decide(asked) } ?: later("the state service can't be asked", 1)
    }

    private suspend fun decide(asked: JobsMessage.Asked): Reply =
        when (asked.verb) {
            UserVerb.SUBMIT -> submit(asked.text)
            UserVerb.SHOW -> show(asked.text)
            UserVerb.CANCEL -> cancel(asked.text)
        }

    private fun parse(text: String): JsonObject? =
        try {
            JsonObject(text)
        } catch (_: RuntimeException) {
            null
        }

    private suspend fun submit(text: String): Reply {
        val json = parse(text) ?: return problem(400, "body", "not a JSON object")
        val spec =
            try {
                JobCodec.submission(json, TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()))
            } catch (e: Malformed) {
                // A job that is known is answered as such, whatever its repeat looks like.
                return known((json.getValue("uid") as? String) ?: "") { problem(400, e.field, e.message!!) }
            }
        if (spec.id in finished) return described(spec.id, finished.getValue(spec.id))
        val refusal = refusal(spec) ?: limits.refusal(spec)?.let { (field, what) -> problem(400, field, what) }
        if (refusal != null) return known(spec.id) { refusal }
        return accept(spec)
    }

    /**
     * Written only while all that was read of the jobs that it needs still holds: one that is cancelled at the same moment either has
     * this job's record to be cancelled with it, or is seen as cancelled here.
     */
    private suspend fun accept(spec: JobSpec): Reply {
        val open = JobRecord.OPEN + spec.id
        val over = JobRecord.FINISHED + spec.id
        repeat(MOST_TRIES) { attempt ->
            val guards = hashMapOf(open to 0L, over to 0L)
            var inVain = false
            for (need in spec.needs) {
                when (val standing = standing(need, fresh = attempt > 0)) {
                    is Standing.Open -> guards[JobRecord.OPEN + need] = standing.stamp
                    Standing.Done -> Unit
                    Standing.Cancelled -> inVain = true
                    Standing.NeverAccepted -> return known(spec.id) { problem(422, "waits_on", "$need was never accepted") }
                    Standing.Unclear -> return later("the state service can't be asked", 1)
                }
            }
            val record = if (inVain) overNow("cancelled", 0) else JobRecord.encode(spec)
            when (val outcome = state.txn(guards, listOf(Change.Put(if (inVain) over else open, record)), SUBMIT_TIMEOUT_MS)) {
                is Committed.Yes -> {
                    if (inVain) finished[spec.id] = record else stamps[spec.id] = outcome.revision
                    if (!inVain && spec.needs.isNotEmpty()) needs[spec.id] = spec.needs
                    return Reply(201, JsonObject().put("uid", spec.id).put("status", if (inVain) "cancelled" else "pending"))
                }

                is Committed.Refused -> {
                    val reply = known(spec.id) { later("undecided", 1) }
                    if (spec.needs.isEmpty() || reply.status == 200) return reply
                }

                Committed.NoLease, Committed.NotExecuted, Committed.Unknown -> {
                    return later("the state service can't be asked", 1)
                }
            }
        }
        return later("undecided", 1)
    }

    private sealed interface Standing {
        data class Open(
            val stamp: Long,
        ) : Standing

        data object Done : Standing

        data object Cancelled : Standing

        data object NeverAccepted : Standing

        data object Unclear : Standing
    }

    /** Where a job that another needs stands. What was learned of it before will do, since it is a condition of what is written. */
    private suspend fun standing(
        id: String,
        fresh: Boolean,
    ): Standing {
        if (pipelines.isOrphan(id)) return Standing.Cancelled
        finished[id]?.let { return ended(it) }
        if (!fresh) (stamps[id] ?: replica.stamp(id))?.let { return Standing.Open(it) }
        return when (val read = state.get(JobRecord.OPEN + id, READ_TIMEOUT_MS)) {
            is Read.Found -> {
                Standing.Open(read.entry.stamp)
            }

            Read.Unavailable -> {
                Standing.Unclear
            }

            Read.Missing -> {
                when (val over = state.get(JobRecord.FINISHED + id, READ_TIMEOUT_MS)) {
                    is Read.Found -> ended(over.entry.value)
                    Read.Missing -> Standing.NeverAccepted
                    Read.Unavailable -> Standing.Unclear
                }
            }
        }
    }

    private fun ended(record: JsonObject) = if (record.getString("status") == "done") Standing.Done else Standing.Cancelled

    private fun overNow(
        status: String,
        tasks: Int,
    ) = JobRecord.over(status, tasks, TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()))

    /** Why the job can't be accepted, or null. */
    private fun refusal(spec: JobSpec): Reply? {
        val team = teams[spec.team] ?: return problem(422, "owner", "unknown team")
        if (spec.shape.cores > team.coresMax || spec.shape.cards > team.cardsMax) {
            return problem(422, "cores", "one task is over the team's limit")
        }
        val machineTypes = machineTypes()
        if (machineTypes.isEmpty()) return later("machine types are not known yet", 1)
        if (DemandEstimate.fitting(spec, machineTypes).isEmpty()) return problem(422, "builds", "a task fits no allowed machine type")
        return null
    }

    /** The current state of a job that is known, else [otherwise]. */
    private suspend fun known(
        id: String,
        otherwise: () -> Reply,
    ): Reply = if (!JobCodec.validId(id)) otherwise() else find(id).let { if (it.status == 404) otherwise() else it }

    private suspend fun show(id: String): Reply = if (JobCodec.validId(id)) find(id) else problem(404, "uid", "no such job")

    /**
     * The open record first, the finished one after: a record moves from the one to the other in one transaction, so that
     * a job missing in both was never accepted.
     */
    private suspend fun find(id: String): Reply {
        finished[id]?.let { return described(id, it) }
        val stamp = stamps[id] ?: replica.stamp(id)
        if (stamp != null) {
            when (openRecordCheck.ask(JobRecord.OPEN + id, stamp)) {
                RecordState.OPEN -> return stillOpen(id, needs[id] ?: pipelines.needsOf(id))
                RecordState.UNKNOWN -> return later("the state service can't be asked", 1)
                RecordState.GONE -> stamps.remove(id)
            }
        }
        when (val open = state.get(JobRecord.OPEN + id, READ_TIMEOUT_MS)) {
            is Read.Found -> {
                stamps[id] = open.entry.stamp
                val needed = JobRecord.needs(open.entry.value)
                if (needed.isNotEmpty()) needs[id] = needed
                return stillOpen(id, needed)
            }

            Read.Unavailable -> {
                return later("the state service can't be asked", 1)
            }

            Read.Missing -> {
                Unit
            }
        }
        return when (val over = state.get(JobRecord.FINISHED + id, READ_TIMEOUT_MS)) {
            is Read.Found -> {
                finished[id] = over.entry.value
                replica.learned(id, over.entry.stamp)
                described(id, over.entry.value)
            }

            Read.Missing -> {
                problem(404, "uid", "no such job")
            }

            Read.Unavailable -> {
                later("the state service can't be asked", 1)
            }
        }
    }

    /**
     * The record is open; what the job needs may say otherwise. One that is cancelled by that is recorded as such before its user hears
     * it: another controller may not know yet, and must not give an older answer. While this one has not heard of ends for long, it
     * can't tell, and says so.
     */
    private suspend fun stillOpen(
        id: String,
        needed: List<String>,
    ): Reply =
        when (pipelines.readiness(id, needed)) {
            Readiness.READY -> running(id)
            Readiness.CANCELLED -> cancel(id)
            Readiness.UNKNOWN -> later("not known yet", 1)
            Readiness.WAITING -> if (replica.readWithin(MOST_STALE_US, clock.now())) running(id) else later("not known yet", 1)
        }

    private fun running(id: String): Reply {
        val (done, running) = counts.jobs[id] ?: listOf(0, 0)
        val status = if (running > 0) "running" else "pending"
        return Reply(
            200,
            JsonObject()
                .put("uid", id)
                .put("status", status)
                .put("done", done)
                .put("running", running),
        )
    }

    private fun described(
        id: String,
        record: JsonObject,
    ): Reply {
        val done = record.getInteger("tasks") ?: 0
        return Reply(
            200,
            JsonObject()
                .put("uid", id)
                .put("status", record.getString("status"))
                .put("done", done)
                .put("running", 0),
        )
    }

    private suspend fun cancel(id: String): Reply {
        if (!JobCodec.validId(id)) return problem(404, "uid", "no such job")
        repeat(3) {
            finished[id]?.let { return described(id, it) }
            val open = JobRecord.OPEN + id
            val read = state.get(open, READ_TIMEOUT_MS)
            if (read is Read.Unavailable) return later("the state service can't be asked", 1)
            if (read !is Read.Found) return find(id)
            val record = overNow("cancelled", counts.jobs[id]?.firstOrNull() ?: 0)
            val changes = listOf(Change.Delete(open), Change.Put(JobRecord.FINISHED + id, record))
            when (val outcome = state.txn(mapOf(open to read.entry.stamp), changes)) {
                is Committed.Yes -> {
                    finished[id] = record
                    cancelled(id, outcome.revision)
                    return described(id, record)
                }

                is Committed.Refused -> {
                    Unit
                }

                Committed.NoLease, Committed.NotExecuted, Committed.Unknown -> {
                    return later("the state service can't be asked", 1)
                }
            }
        }
        return later("undecided", 1)
    }

    private fun problem(
        status: Int,
        field: String,
        what: String,
    ) = Reply(status, JsonObject().put("error", what).put("field", field))

    private fun later(
        why: String,
        seconds: Int,
    ) = Reply(503, JsonObject().put("error", why), seconds)

    private companion object {
        const val REMEMBERED = 4000
        const val REMEMBERED_OPEN = 20_000
        const val MOST_TRIES = 3

        /** Well within the time that a cancellation has, with the rest of it left for what has to be written. */
        const val MOST_STALE_US = 10 * SECOND
        const val MOST_OPEN = 300
        const val SHORT_TRY_MS = 800L
        const val READ_TIMEOUT_MS = 1400L
        const val COMPARE_TIMEOUT_MS = 1200L
        const val SUBMIT_TIMEOUT_MS = 3000L
    }
}
