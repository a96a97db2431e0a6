package lichenstage.cluster

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.common.timeOfDayUs
import org.agrona.collections.Long2ObjectHashMap

/** The forwarder of users' requests to another controller, [healthyPeer], which replies as an intermediate agent of the paper does. */
class RequestForwarder(
    private val healthyPeer: () -> String?,
    private val send: (String, Frame) -> Unit,
) {
    private val pending = Long2ObjectHashMap<CompletableDeferred<ForwardedReply>>()

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
        if (pending.size >= MAX_PENDING) return null
        val number = ++lastNumber
        val reply = CompletableDeferred<ForwardedReply>()
        pending[number] = reply
        return try {
            send(to, ForwardedRequest(number, verb, text))
            withTimeoutOrNull(REPLY_TIMEOUT_MS) { reply.await() }
        } finally {
            pending.remove(number)
        }
    }

    /** Handles the reply of another controller; drops it if its request has timed out. */
    fun onReply(frame: ForwardedReply) {
        pending[frame.number]?.complete(frame)
    }

    private companion object {
        const val MAX_PENDING = 100
        const val REPLY_TIMEOUT_MS = 1500L
    }
}
