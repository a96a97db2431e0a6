package lichenstage.common

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory
import kotlin.system.exitProcess

/**
 * The inbox of an actor: messages are handled one after the other, in the order of arrival.
 *
 * Guards against a process left half alive: an actor that fails ends the process, which the platform starts again. All that matters
 * is in the state service or on the workers. Where the inbox is full, [shed] says whether the message can be done without, and has
 * its sender told; thousands of reports that a cut has held back are no reason to end. What is bounded elsewhere can't be shed, and
 * an inbox that overflows with that ends the process.
 */
class Mailbox<M : Any>(
    private val name: String,
    scope: CoroutineScope,
    handle: (M) -> Unit,
    capacity: Int = CAPACITY,
    private val shed: (M) -> Boolean = { false },
) {
    private val inbox = Channel<M>(capacity)
    private var told = false

    init {
        scope.launch {
            for (message in inbox) {
                @Suppress("TooGenericExceptionCaught") // Whatever it is, the process ends with its message.
                try {
                    handle(message)
                } catch (e: Throwable) {
                    exitOnFailure("$name failed on ${message::class.simpleName}", e)
                }
            }
        }
    }

    /** Puts a message into the inbox, or sheds it where the inbox is full. */
    fun tell(message: M) {
        if (inbox.trySend(message).isSuccess) return
        if (!shed(message)) exitOnFailure("$name: the inbox is full", null)
        if (told) return
        told = true
        LoggerFactory.getLogger("lichenstage.app").error("{}: the inbox is full; what can come again is turned away", name)
    }

    private companion object {
        const val CAPACITY = 20_000
    }
}

/** Ends the process with a clear message. */
fun exitOnFailure(
    why: String,
    cause: Throwable?,
): Nothing {
    LoggerFactory.getLogger("lichenstage.app").error(why, cause)
    exitProcess(70)
}
