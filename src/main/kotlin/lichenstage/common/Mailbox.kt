package lichenstage.common

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.system.exitProcess

/**
 * The bounded mailbox of an actor: messages are handled one at a time, in the order of arrival.
 *
 * An actor that throws ends the process, which the platform restarts: a half-dead process would be worse, and all durable state is in the
 * state service or on the workers. If the mailbox is full, [shed] decides whether the message may be dropped, and answers its sender if
 * there is one to answer: thousands of heartbeats that a network partition held back are no reason to restart. A message that may not be
 * dropped is bounded elsewhere, so a mailbox that overflows with it ends the process.
 */
class Mailbox<M : Any>(
    private val name: String,
    scope: CoroutineScope,
    handle: (M) -> Unit,
    capacity: Int = CAPACITY,
    private val shed: (M) -> Boolean = { false },
) {
    private val channel = Channel<M>(capacity)
    private var overflowLogged = false

    init {
        scope.launch {
            for (message in channel) {
                @Suppress("TooGenericExceptionCaught") // Any failure ends the process, with its cause logged.
                try {
                    handle(message)
                } catch (e: Throwable) {
                    exitOnFailure("$name failed on ${message::class.simpleName}", e)
                }
            }
        }
    }

    /** Enqueues a message, or sheds it if the mailbox is full. Never suspends. */
    fun tell(message: M) {
        if (channel.trySend(message).isSuccess) return
        if (!shed(message)) exitOnFailure("$name: the mailbox is full", null)
        if (overflowLogged) return
        overflowLogged = true
        LoggerFactory.getLogger("lichenstage.app").error("Mailbox full, messages that will be repeated are dropped mailbox={}", name)
    }

    private companion object {
        const val CAPACITY = 20_000
    }
}

/** `EX_SOFTWARE` of sysexits.h. */
private const val EXIT_SOFTWARE_ERROR = 70

/** Logs [why] with its cause and exits with the status for an internal error. */
fun exitOnFailure(
    why: String,
    cause: Throwable?,
): Nothing {
    LoggerFactory.getLogger("lichenstage.app").error(why, cause)
    exitProcess(EXIT_SOFTWARE_ERROR)
}
