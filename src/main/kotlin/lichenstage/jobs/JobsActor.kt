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

/** The open jobs that this process knows of: their records and the dependencies between them. */
class OpenJobs(
    val replica: JobReplica,
    val dependencyGraph: DependencyGraph,
)

/** The way to get replies from other controllers while the state service does not reply to this process. */
class PeerFallback(
    val forwarder: RequestForwarder,
    val isStateServiceAvailable: () -> Boolean,
)

/**
 * Handles the requests of users. The status in a reply about an open job follows from its record in the state service, never from a copy.
 * Only data that can no longer change is cached for this decision.
 */
class JobsActor(
    store: KeyValueStore,
    private val fallback: PeerFallback,
    openJobs: OpenJobs,
    admissionPolicy: AdmissionPolicy,
    maxPreconditions: Int,
    clock: Clock,
    private val scope: CoroutineScope,
    onCancelled: (String, Long) -> Unit,
) {
    private val cache = JobCache(openJobs.replica, openJobs.dependencyGraph)
    private val openRecordCheck =
        OpenRecordCheck(maxPreconditions, scope) { store.commit(Precondition.allOf(it), emptyList(), COMPARE_TIMEOUT_MS) }
    private val lookup = JobLookup(store, cache, openJobs.replica, openJobs.dependencyGraph, openRecordCheck, clock, onCancelled)
    private val submissionHandler = SubmissionHandler(store, cache, lookup, openJobs.dependencyGraph, admissionPolicy)
    private var openRequests = 0
    private val mailbox = Mailbox("jobs", scope, ::handle, tryDrop = ::tryDrop)

    /** Enqueues a message. The reply to a request goes to its callback. */
    fun tell(message: JobsMessage) = mailbox.tell(message)

    /** Drops a message because the mailbox is full. The sender of a request is asked to retry; task counts are sent again regularly. */
    private fun tryDrop(message: JobsMessage): Boolean {
        if (message is JobsMessage.UserRequest) message.sendReply(Reply.unavailable(BUSY_MESSAGE, BUSY_RETRY_S))
        return true
    }

    private fun handle(message: JobsMessage) {
        when (message) {
            is JobsMessage.UserRequest -> startRequest(message)
            is JobsMessage.TaskCountsReceived -> cache.updateTaskCounts(message.counts)
        }
    }

    /** Starts a request. If [MAX_OPEN_REQUESTS] are open, it is refused at once so that the open requests get their replies in time. */
    private fun startRequest(request: JobsMessage.UserRequest) {
        if (openRequests >= MAX_OPEN_REQUESTS) {
            request.sendReply(Reply.unavailable(BUSY_MESSAGE, BUSY_RETRY_S))
            return
        }
        openRequests++
        scope.launch {
            try {
                request.sendReply(process(request))
            } finally {
                openRequests--
            }
        }
    }

    /**
     * Returns the reply to a request. While the state service does not reply to this process, the request is forwarded to another
     * controller. If none replies, a short local try finds out whether the service is available again. If that fails too, the reply says
     * when to retry.
     */
    private suspend fun process(request: JobsMessage.UserRequest): Reply {
        if (fallback.isStateServiceAvailable() || cache.finishedJob(request.text) != null) return processLocally(request)
        if (request.verb == UserVerb.SUBMIT && SubmissionHandler.parse(request.text) == null) return SubmissionHandler.invalidBodyReply()
        val forwardedReply = if (request.isForwarded) null else fallback.forwarder.forward(request.verb, request.text)
        if (forwardedReply != null) return Reply(forwardedReply.status, JsonObject(forwardedReply.body), forwardedReply.retryAfterS)
        return withTimeoutOrNull(PROBE_TIMEOUT_MS) { processLocally(request) } ?: Reply.stateUnavailable()
    }

    private suspend fun processLocally(request: JobsMessage.UserRequest): Reply =
        when (request.verb) {
            UserVerb.SUBMIT -> submissionHandler.submit(request.text)
            UserVerb.SHOW -> lookup.findStatus(request.text)
            UserVerb.CANCEL -> lookup.cancel(request.text)
        }

    private companion object {
        const val BUSY_MESSAGE = "the controller has too many open requests"
        const val BUSY_RETRY_S = 2
        const val MAX_OPEN_REQUESTS = 300
        const val PROBE_TIMEOUT_MS = 800L
        const val COMPARE_TIMEOUT_MS = 1200L
    }
}
