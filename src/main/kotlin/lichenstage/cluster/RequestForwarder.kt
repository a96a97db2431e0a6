package lichenstage.cluster

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.common.timeOfDayUs
import org.agrona.collections.Long2ObjectHashMap

/** Has another controller, [healthyPeer], answer a user's request, as the paper's intermediate agents do. */
class RequestForwarder(
    private val healthyPeer: () -> String?,
    private val send: (String, Frame) -> Unit,
) {
    private val pending = Long2ObjectHashMap<CompletableDeferred<ForwardedReply>>()

    /** Starts where no process before this one has been: a late answer to a request of that one must not answer another. */
    private var lastNumber = timeOfDayUs()

    /** The other controller's reply; null where none is healthy, too many requests are pending, or none comes in time. */
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

    /** Handles the other controller's reply; one whose request has timed out is dropped. */
    fun onReply(frame: ForwardedReply) {
        pending[frame.number]?.complete(frame)
    }

    private companion object {
        const val MAX_PENDING = 100
        const val REPLY_TIMEOUT_MS = 1500L
    }
}
