package lichenstage.jobs

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.cluster.RequestForwarder
import lichenstage.cluster.UserVerb
import lichenstage.common.Clock
import lichenstage.common.Mailbox
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition

/** What this process knows of the open jobs: their records, and which depend on which. */
class OpenJobs(
    val replica: JobReplica,
    val dependencyGraph: DependencyGraph,
)

/** Who answers users while the state service does not answer this process. */
class PeerFallback(
    val forwarder: RequestForwarder,
    val isStateServiceAvailable: () -> Boolean,
)

/**
 * The user API. Every answer about a job that isn't over is decided on the state service's record (never on a copy); only
 * what can't change any more is remembered.
 */
class JobsActor(
    state: KeyValueStore,
    private val fallback: PeerFallback,
    openJobs: OpenJobs,
    admission: AdmissionPolicy,
    maxPreconditions: Int,
    clock: Clock,
    private val scope: CoroutineScope,
    onCancelled: (String, Long) -> Unit,
) {
    private val cache = JobCache(openJobs.replica, openJobs.dependencyGraph)
    private val openRecordCheck =
        OpenRecordCheck(maxPreconditions, scope) { state.commit(Precondition.allOf(it), emptyList(), COMPARE_TIMEOUT_MS) }
    private val lookup = JobLookup(state, cache, openJobs.replica, openJobs.dependencyGraph, openRecordCheck, clock, onCancelled)
    private val submission = JobSubmission(state, cache, lookup, openJobs.dependencyGraph, admission)
    private var openRequests = 0
    private val mailbox = Mailbox("jobs", scope, ::handle, tryDrop = ::shed)

    /** Takes a message; a request is answered through its callback. */
    fun tell(message: JobsMessage) = mailbox.tell(message)

    /** Users are asked to retry; counts are sent again anyway. */
    private fun shed(message: JobsMessage): Boolean {
        if (message is JobsMessage.UserRequest) message.reply(Reply.unavailable(BUSY_MESSAGE, BUSY_RETRY_S))
        return true
    }

    private fun handle(message: JobsMessage) {
        when (message) {
            is JobsMessage.UserRequest -> startRequest(message)
            is JobsMessage.TaskCountsReceived -> cache.updateTaskCounts(message.counts)
        }
    }

    /** Above the bound a request is turned away at once, so that those that are taken are answered in time. */
    private fun startRequest(request: JobsMessage.UserRequest) {
        if (openRequests >= MAX_OPEN_REQUESTS) {
            request.reply(Reply.unavailable(BUSY_MESSAGE, BUSY_RETRY_S))
            return
        }
        openRequests++
        scope.launch {
            try {
                request.reply(process(request))
            } finally {
                openRequests--
            }
        }
    }

    /**
     * While the state service does not answer this process, another controller is asked. If there is none, a short try of its
     * own finds out whether the service is back, and else the reply says at once when to retry.
     */
    private suspend fun process(request: JobsMessage.UserRequest): Reply {
        if (fallback.isStateServiceAvailable() || cache.finishedJob(request.text) != null) return processLocally(request)
        if (request.verb == UserVerb.SUBMIT && JobSubmission.parse(request.text) == null) return JobSubmission.invalidBodyReply()
        val forwardedReply = if (request.isForwarded) null else fallback.forwarder.forward(request.verb, request.text)
        if (forwardedReply != null) return Reply(forwardedReply.status, JsonObject(forwardedReply.body), forwardedReply.retryAfterS)
        return withTimeoutOrNull(PROBE_TIMEOUT_MS) { processLocally(request) } ?: Reply.stateUnavailable()
    }

    private suspend fun processLocally(request: JobsMessage.UserRequest): Reply =
        when (request.verb) {
            UserVerb.SUBMIT -> submission.submit(request.text)
            UserVerb.SHOW -> lookup.findStatus(request.text)
            UserVerb.CANCEL -> lookup.cancel(request.text)
        }

    private companion object {
        const val BUSY_MESSAGE = "busy"
        const val BUSY_RETRY_S = 2
        const val MAX_OPEN_REQUESTS = 300
        const val PROBE_TIMEOUT_MS = 800L
        const val COMPARE_TIMEOUT_MS = 1200L
    }
}
