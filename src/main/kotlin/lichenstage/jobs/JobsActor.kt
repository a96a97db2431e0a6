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
    data class UserRequest(
        val verb: UserVerb,
        val text: String,
        val forwarded: Boolean = false,
        val reply: (Reply) -> Unit,
    ) : JobsMessage

    /** A leader's counts of tasks. */
    data class TaskCountsReceived(
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
    dependencyGraph: DependencyGraph,
    clock: Clock,
    limits: RecordLimits,
    cancelled: (String, Long) -> Unit,
    private val scope: CoroutineScope,
) {
    private val cache = JobCache(replica, dependencyGraph)
    private val openCheck = OpenRecordCheck(limits.guards, scope) { state.commit(Precondition.allOf(it), emptyList(), COMPARE_TIMEOUT_MS) }
    private val lookup = JobLookup(state, cache, replica, dependencyGraph, openCheck, clock, cancelled)
    private val submission = JobSubmission(state, cache, lookup, dependencyGraph, limits, teams, machineTypes)
    private var open = 0
    private val mailbox = Mailbox("jobs", scope, ::handle, shed = ::shed)

    /** Takes a message; a request is answered through its callback. */
    fun tell(message: JobsMessage) = mailbox.tell(message)

    /** Users are told to come again, counts come again. */
    private fun shed(message: JobsMessage): Boolean {
        if (message is JobsMessage.UserRequest) message.reply(Reply.unavailable(BUSY, BUSY_RETRY_S))
        return true
    }

    private fun handle(message: JobsMessage) {
        when (message) {
            is JobsMessage.UserRequest -> startRequest(message)
            is JobsMessage.TaskCountsReceived -> cache.updateProgress(message.counts)
        }
    }

    /** Above the bound a request is turned away at once, so that those that are taken are answered in time. */
    private fun startRequest(request: JobsMessage.UserRequest) {
        if (open >= MAX_OPEN_REQUESTS) {
            request.reply(Reply.unavailable(BUSY, BUSY_RETRY_S))
            return
        }
        open++
        scope.launch {
            try {
                request.reply(answer(request))
            } finally {
                open--
            }
        }
    }

    /**
     * While the state service does not answer this process, another controller is asked. If there is none, a short try of its
     * own finds out whether the service is back, and else the user is told at once when to come again.
     */
    private suspend fun answer(request: JobsMessage.UserRequest): Reply {
        if (stateAnswers() || cache.finished(request.text) != null) return decide(request)
        if (request.verb == UserVerb.SUBMIT && JobSubmission.parse(request.text) == null) return JobSubmission.notAnObject()
        val other = if (request.forwarded) null else forwarder.ask(request.verb, request.text)
        if (other != null) return Reply(other.status, JsonObject(other.body), other.retryAfterS)
        return withTimeoutOrNull(SHORT_TRY_MS) { decide(request) } ?: Reply.stateUnavailable()
    }

    private suspend fun decide(request: JobsMessage.UserRequest): Reply =
        when (request.verb) {
            UserVerb.SUBMIT -> submission.submit(request.text)
            UserVerb.SHOW -> lookup.status(request.text)
            UserVerb.CANCEL -> lookup.cancel(request.text)
        }

    private companion object {
        const val BUSY = "busy"
        const val BUSY_RETRY_S = 2
        const val MAX_OPEN_REQUESTS = 300
        const val SHORT_TRY_MS = 800L
        const val COMPARE_TIMEOUT_MS = 1200L
    }
}
