package lichenstage.common

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.system.exitProcess

/**
 * The bounded mailbox of an actor. The actor handles messages one at a time, in the order of arrival.
 *
 * If the actor throws, the process exits and the platform restarts it. A process with a dead actor would be worse, and all durable state is
 * in the state service or on the workers.
 *
 * If the mailbox is full, [tryDrop] returns whether the message may be dropped, and replies to its sender if the sender expects a reply.
 * Thousands of heartbeats that a network partition has delayed therefore do not cause a restart. The number of messages that must not
 * be dropped is bounded elsewhere, so the process exits if the mailbox has no room for such a message.
 */
class Mailbox<M : Any>(
    private val name: String,
    scope: CoroutineScope,
    handle: (M) -> Unit,
    capacity: Int = CAPACITY,
    private val tryDrop: (M) -> Boolean = { false },
) {
    private val channel = Channel<M>(capacity)
    private var isOverflowLogged = false

    init {
        scope.launch {
            for (message in channel) {
                @Suppress("TooGenericExceptionCaught") // Any failure is logged and ends the process.
                try {
                    handle(message)
                } catch (e: Throwable) {
                    exitOnFailure("Message handling failed mailbox=$name message=${message::class.simpleName}", e)
                }
            }
        }
    }

    /** Enqueues a message. If the mailbox is full, drops the message or exits. Never suspends. */
    fun tell(message: M) {
        if (channel.trySend(message).isSuccess) return
        if (!tryDrop(message)) exitOnFailure("Mailbox overflowed mailbox=$name", null)
        if (isOverflowLogged) return
        isOverflowLogged = true
        LoggerFactory.getLogger("lichenstage.app").error("Mailbox full, dropping messages that their senders repeat mailbox={}", name)
    }

    private companion object {
        const val CAPACITY = 20_000
    }
}

/** `EX_SOFTWARE` of sysexits.h. */
private const val EXIT_SOFTWARE_ERROR = 70

/** Logs [event] with its cause and exits with the status for an internal error. */
fun exitOnFailure(
    event: String,
    cause: Throwable?,
): Nothing {
    LoggerFactory.getLogger("lichenstage.app").error(event, cause)
    exitProcess(EXIT_SOFTWARE_ERROR)
}
