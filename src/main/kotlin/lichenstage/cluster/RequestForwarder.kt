package lichenstage.cluster

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.common.timeOfDayUs
import org.agrona.collections.Long2ObjectHashMap

/**
 * The forwarder of users' requests to another controller. The other controller is the "intermediate agent" of the paper that
 * docs/design.md follows.
 *
 * @property healthyPeer returns the label of a healthy controller; null if there is none
 */
class RequestForwarder(
    private val healthyPeer: () -> String?,
    private val send: (String, Frame) -> Unit,
) {
    private val pendingReplies = Long2ObjectHashMap<CompletableDeferred<ForwardedReply>>()

    /**
     * The number of the last request. It starts above the numbers of earlier processes of this controller, so that a late reply to one of
     * their requests is not matched with a request of this process.
     */
    private var lastNumber = timeOfDayUs()

    /**
     * Forwards a user's request and returns the reply. Returns null if no other controller is healthy, [MAX_PENDING] requests are pending,
     * or no reply arrives within [REPLY_TIMEOUT_MS].
     */
    suspend fun forward(
        verb: UserVerb,
        text: String,
    ): ForwardedReply? {
        val to = healthyPeer() ?: return null
        if (pendingReplies.size >= MAX_PENDING) return null
        val number = ++lastNumber
        val reply = CompletableDeferred<ForwardedReply>()
        pendingReplies[number] = reply
        return try {
            send(to, ForwardedRequest(number, verb, text))
            withTimeoutOrNull(REPLY_TIMEOUT_MS) { reply.await() }
        } finally {
            pendingReplies.remove(number)
        }
    }

    /** Handles the reply of another controller; drops it if its request has timed out. */
    fun onReply(frame: ForwardedReply) {
        pendingReplies[frame.number]?.complete(frame)
    }

    private companion object {
        const val MAX_PENDING = 100
        const val REPLY_TIMEOUT_MS = 1500L
    }
}
