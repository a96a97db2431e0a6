package lichenstage.placement

import lichenstage.cluster.AttemptOrder
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** When stops and clears go out, and when they are repeated. */
class PendingCommandsTest {
    private val commands = PendingCommands()
    private val stop = AttemptOrder("m1", "j-1/0", 1)
    private val clear = AttemptOrder("m1", "j-1/1", 2)

    @Example
    fun `an order goes out once, and again only after its retry interval`() {
        assertTrue(commands.replace("z/0", "m1", listOf(stop), listOf(clear))) { "nothing new" }
        assertEquals(DueCommands(listOf(stop), listOf(clear)), commands.takeDue("z/0", SECOND))
        assertEquals(DueCommands(emptyList(), emptyList()), commands.takeDue("z/0", 2 * SECOND))
        assertEquals(DueCommands(listOf(stop), emptyList()), commands.takeDue("z/0", 3 * SECOND))
        assertEquals(DueCommands(listOf(stop), listOf(clear)), commands.takeDue("z/0", 7 * SECOND))
    }

    @Example
    fun `an order that is set again is not new and keeps its time`() {
        commands.replace("z/0", "m1", listOf(stop), emptyList())
        commands.takeDue("z/0", SECOND)
        assertFalse(commands.replace("z/0", "m1", listOf(stop), emptyList())) { "new" }
        assertTrue(commands.takeDue("z/0", 2 * SECOND).stops.isEmpty()) { "sent again too soon" }
    }

    @Example
    fun `a machine without orders, a terminated one and those of an earlier owner get nothing`() {
        commands.replace("z/0", "m1", listOf(stop), emptyList())
        commands.replace("z/0", "m1", emptyList(), emptyList())
        commands.replace("z/0", "m2", listOf(stop.copy(machine = "m2")), emptyList())
        commands.removeMachine("z/0", "m2")
        commands.replace("y/0", "m3", listOf(stop.copy(machine = "m3")), emptyList())
        commands.removePartition("y/0")
        assertTrue((commands.takeDue("z/0", SECOND).stops + commands.takeDue("y/0", SECOND).stops).isEmpty()) { "sent" }
    }
}
