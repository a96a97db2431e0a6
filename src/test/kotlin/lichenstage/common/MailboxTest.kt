package lichenstage.common

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertTrue

class MailboxTest {
    /** Guards against a process that ends because a cut delivered at once what it had held back. */
    @Example
    fun `what a full inbox can do without is turned away, in order and without growing`() {
        val scope = CoroutineScope(Dispatchers.Unconfined + Job())
        val handled = ArrayList<Int>()
        val dropped = ArrayList<Int>()
        lateinit var mailbox: Mailbox<Int>
        // While the first message is handled, more come than there is room for.
        mailbox =
            Mailbox("test", scope, { message ->
                handled += message
                if (message == 0) (1..10).forEach { mailbox.tell(it) }
            }, capacity = 4) { dropped.add(it) }
        mailbox.tell(0)
        scope.cancel()
        assertTrue(handled == listOf(0, 1, 2, 3, 4) && dropped == (5..10).toList()) { "handled $handled, turned away $dropped" }
    }
}
