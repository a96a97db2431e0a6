package lichenstage.placement

import lichenstage.cluster.AttemptCommand
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests when stop and clear commands are sent and repeated. */
class PendingCommandsTest {
    private val commands = PendingCommands()
    private val stop = AttemptCommand("m1", "j-1/0", 1)
    private val clear = AttemptCommand("m1", "j-1/1", 2)

    @Example
    fun `a command is sent once, and again only after its retry interval`() {
        assertTrue(commands.replace("z/0", "m1", listOf(stop), listOf(clear))) { "no command is new" }
        assertEquals(DueCommands(listOf(stop), listOf(clear)), commands.takeDue("z/0", SECOND))
        assertEquals(DueCommands(emptyList(), emptyList()), commands.takeDue("z/0", 2 * SECOND))
        assertEquals(DueCommands(listOf(stop), emptyList()), commands.takeDue("z/0", 3 * SECOND))
        assertEquals(DueCommands(listOf(stop), listOf(clear)), commands.takeDue("z/0", 7 * SECOND))
    }

    @Example
    fun `a command that is set again is not new and keeps its send time`() {
        commands.replace("z/0", "m1", listOf(stop), emptyList())
        commands.takeDue("z/0", SECOND)
        assertFalse(commands.replace("z/0", "m1", listOf(stop), emptyList())) { "the command counts as new" }
        assertTrue(commands.takeDue("z/0", 2 * SECOND).stops.isEmpty()) { "sent again before the retry interval" }
    }

    @Example
    fun `nothing is sent to a machine without commands, a terminated machine or a partition whose commands were removed`() {
        commands.replace("z/0", "m1", listOf(stop), emptyList())
        commands.replace("z/0", "m1", emptyList(), emptyList())
        commands.replace("z/0", "m2", listOf(stop.copy(machine = "m2")), emptyList())
        commands.removeMachine("z/0", "m2")
        commands.replace("y/0", "m3", listOf(stop.copy(machine = "m3")), emptyList())
        commands.removePartition("y/0")
        assertTrue((commands.takeDue("z/0", SECOND).stops + commands.takeDue("y/0", SECOND).stops).isEmpty()) { "a command is sent" }
    }

    /** Guards against commands that are never sent, because those for machines that do not execute them are due again before. */
    @Example
    fun `each of more commands than can be repeated in time is sent, although no machine executes any`() {
        val machines = List(20_000) { "m$it" }
        for (machine in machines) commands.replace("z/0", machine, listOf(AttemptCommand(machine, "j-1/0", 1)), emptyList())
        val sentTo = HashSet<String>()
        for (tick in 0L..100L) sentTo += commands.takeDue("z/0", SECOND + tick * SECOND / 10).stops.map { it.machine }
        assertEquals(machines.size, sentTo.size)
    }
}
