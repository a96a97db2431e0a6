package lichenstage.jobs

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.cluster.RequestForwarder
import lichenstage.cluster.TaskCounts
import lichenstage.cluster.UserVerb
import lichenstage.common.Clock
import lichenstage.common.Mailbox
import lichenstage.config.Team
import lichenstage.model.MachineType
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition

/** What the user API is told. */
sealed interface JobsMessage {
    /** A user's request: the body of a submission, or a job's id. [forwarded] by a controller that can't answer it. */
    data class Asked(
        val verb: UserVerb,
        val text: String,
        val forwarded: Boolean = false,
        val reply: (Reply) -> Unit,
    ) : JobsMessage

    /** A leader's counts of tasks. */
    data class Counted(
        val counts: TaskCounts,
    ) : JobsMessage
}

/**
 * The user API. Every answer about a job that isn't over is decided on the state service's record (never on a copy); only
 * what can't change any more is remembered.
 */
class JobsActor(
    state: KeyValueStore,
    machineTypes: () -> Map<String, MachineType>,
    teams: Map<String, Team>,
    private val stateAnswers: () -> Boolean,
    private val forwarder: RequestForwarder,
    replica: JobReplica,
    pipelines: Pipelines,
    clock: Clock,
    limits: RecordLimits,
    cancelled: (String, Long) -> Unit,
    private val scope: CoroutineScope,
) {
    private val memory = JobMemory(replica, pipelines)
    private val openCheck = OpenRecordCheck(limits.guards, scope) { state.commit(Precondition.allOf(it), emptyList(), COMPARE_TIMEOUT_MS) }
    private val lookup = JobLookup(state, memory, replica, pipelines, openCheck, clock, cancelled)
    private val submission = JobSubmission(state, memory, lookup, pipelines, limits, teams, machineTypes)
    private var open = 0
    private val mailbox = Mailbox("jobs", scope, ::handle, shed = ::shed)

    /** Takes a message; a request is answered through its callback. */
    fun tell(message: JobsMessage) = mailbox.tell(message)

    /** Users are told to come again, counts come again. */
    private fun shed(message: JobsMessage): Boolean {
        if (message is JobsMessage.Asked) message.reply(Reply.later(BUSY, BUSY_RETRY_S))
        return true
    }

    private fun handle(message: JobsMessage) {
        when (message) {
            is JobsMessage.Asked -> work(message)
            is JobsMessage.Counted -> memory.counted(message.counts)
        }
    }

    /** Above the bound a request is turned away at once, so that those that are taken are answered in time. */
    private fun work(asked: JobsMessage.Asked) {
        if (open >= MOST_OPEN) {
            asked.reply(Reply.later(BUSY, BUSY_RETRY_S))
            return
        }
        open++
        scope.launch {
            try {
                asked.reply(answer(asked))
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
        if (stateAnswers() || memory.over(asked.text) != null) return decide(asked)
        if (asked.verb == UserVerb.SUBMIT && JobSubmission.parse(asked.text) == null) return JobSubmission.notAnObject()
        val other = if (asked.forwarded) null else forwarder.ask(asked.verb, asked.text)
        if (other != null) return Reply(other.status, JsonObject(other.body), other.retryAfterS)
        return withTimeoutOrNull(SHORT_TRY_MS) { decide(asked) } ?: Reply.stateUnavailable()
    }

    private suspend fun decide(asked: JobsMessage.Asked): Reply =
        when (asked.verb) {
            UserVerb.SUBMIT -> submission.submit(asked.text)
            UserVerb.SHOW -> lookup.show(asked.text)
            UserVerb.CANCEL -> lookup.cancel(asked.text)
        }

    private companion object {
        const val BUSY = "busy"
        const val BUSY_RETRY_S = 2
        const val MOST_OPEN = 300
        const val SHORT_TRY_MS = 800L
        const val COMPARE_TIMEOUT_MS = 1200L
    }
}
