package lichenstage.cluster

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.common.timeOfDayUs
import org.agrona.collections.Long2ObjectHashMap

/** Has another controller answer a user's request, as the paper's intermediate agents do. */
class RequestForwarder(
    private val peer: () -> String?,
    private val send: (String, Frame) -> Unit,
) {
    private val open = Long2ObjectHashMap<CompletableDeferred<ForwardedReply>>()

    /** Begins where no process before this one has been: a late answer to a request of that one must not answer another. */
    private var last = timeOfDayUs()

    /** Null where nobody can answer, or nobody does in time. */
    suspend fun ask(
        verb: UserVerb,
        text: String,
    ): ForwardedReply? {
        val to = peer() ?: return null
        if (open.size >= MOST_OPEN) return null
        val number = ++last
        val answer = CompletableDeferred<ForwardedReply>()
        open[number] = answer
        return try {
            send(to, ForwardedRequest(number, verb, text))
            withTimeoutOrNull(WAIT_MS) { answer.await() }
        } finally {
            open.remove(number)
        }
    }

    /** The other controller's answer. */
    fun answered(frame: ForwardedReply) {
        open[frame.number]?.complete(frame)
    }

    private companion object {
        const val MOST_OPEN = 100
        const val WAIT_MS = 1500L
    }
}
