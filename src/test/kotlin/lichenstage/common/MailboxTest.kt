package lichenstage.common

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

class MailboxTest {
    /**
     * Guards against a process that exits when a network partition ends: messages that the partition has delayed arrive all at once and
     * fill the mailbox.
     */
    @Example
    fun `a full mailbox drops the messages that may be dropped and keeps the order of the others`() {
        val scope = CoroutineScope(Dispatchers.Unconfined + Job())
        val handled = ArrayList<Int>()
        val dropped = ArrayList<Int>()
        lateinit var mailbox: Mailbox<Int>
        // While the first message is handled, more messages arrive than the mailbox has room for.
        mailbox =
            Mailbox("test", scope, { message ->
                handled += message
                if (message == 0) (1..10).forEach { mailbox.tell(it) }
            }, capacity = 4) { dropped.add(it) }
        mailbox.tell(0)
        scope.cancel()
        assertTrue(handled == listOf(0, 1, 2, 3, 4) && dropped == (5..10).toList()) { "handled $handled, dropped $dropped" }
    }
}
