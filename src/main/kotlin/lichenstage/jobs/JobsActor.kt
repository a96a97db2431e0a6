package lichenstage.jobs

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.app.Mailbox
import lichenstage.app.Team
import lichenstage.cluster.Counts
import lichenstage.cluster.Forwarder
import lichenstage.cluster.UserVerb
import lichenstage.fleet.Estimate
import lichenstage.fleet.Flavor
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
        val counts: Counts,
    ) : JobsMessage
}

/**
 * The user API. Every answer about a job that isn't over is decided on the state service's record (never on a copy); only
 * what can't change any more is remembered.
 */
class JobsActor(
    private val state: Store,
    txnOps: Int,
    /** The machine types; none while they are not known. */
    private val flavors: () -> Map<String, Flavor>,
    private val teams: Map<String, Team>,
    private val stateAnswers: () -> Boolean,
    private val forwarder: Forwarder,
    private val replica: JobReplica,
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
    private val openCheck = OpenCheck(txnOps * GUARDS_A_CHANGE, scope) { state.txn(it, emptyList(), COMPARE_TIMEOUT_MS) }
    private var counts = Counts(0, emptyMap())
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
        val refusal = refusal(spec)
        if (refusal != null) return known(spec.id) { refusal }
        val open = JobRecord.OPEN + spec.id
        val over = JobRecord.FINISHED + spec.id
        val outcome =
            state.txn(mapOf(open to 0L, over to 0L), listOf(Change.Put(open, JobRecord.encode(spec))), SUBMIT_TIMEOUT_MS)
        return when (outcome) {
            is Committed.Yes -> {
                stamps[spec.id] = outcome.revision
                Reply(201, JsonObject().put("uid", spec.id).put("status", "pending"))
            }

            is Committed.Refused -> {
                known(spec.id) { later("undecided", 1) }
            }

            Committed.NoLease, Committed.NotExecuted, Committed.Unknown -> {
                later("the state service can't be asked", 1)
            }
        }
    }

    /** Why the job can't be accepted, or null. */
    private fun refusal(spec: JobSpec): Reply? {
        val team = teams[spec.team] ?: return problem(422, "owner", "unknown team")
        if (spec.shape.cores > team.coresMax || spec.shape.cards > team.cardsMax) {
            return problem(422, "cores", "one task is over the team's limit")
        }
        val flavors = flavors()
        if (flavors.isEmpty()) return later("machine types are not known yet", 1)
        if (Estimate.fitting(spec, flavors).isEmpty()) return problem(422, "builds", "a task fits no allowed machine type")
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
            when (openCheck.ask(JobRecord.OPEN + id, stamp)) {
                Openness.OPEN -> return running(id)
                Openness.UNKNOWN -> return later("the state service can't be asked", 1)
                Openness.GONE -> stamps.remove(id)
            }
        }
        when (val open = state.get(JobRecord.OPEN + id, READ_TIMEOUT_MS)) {
            is Read.Found -> {
                stamps[id] = open.entry.stamp
                return running(id)
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
            val record = JsonObject().put("status", "cancelled").put("tasks", counts.jobs[id]?.firstOrNull() ?: 0)
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
        const val GUARDS_A_CHANGE = 4
        const val MOST_OPEN = 300
        const val SHORT_TRY_MS = 800L
        const val READ_TIMEOUT_MS = 1400L
        const val COMPARE_TIMEOUT_MS = 1200L
        const val SUBMIT_TIMEOUT_MS = 3000L
    }
}
