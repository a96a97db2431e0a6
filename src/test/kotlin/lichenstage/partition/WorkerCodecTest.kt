package lichenstage.partition

import io.vertx.core.buffer.Buffer
import io.vertx.core.json.JsonObject
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Tests of encoding and decoding messages of the worker protocol. */
class WorkerCodecTest {
    private fun command(random: Random): Command {
        val task = "j-${random.nextInt(1000)}/${random.nextInt(100)}"
        val attempt = random.nextLong() and Long.MAX_VALUE
        return when (random.nextInt(3)) {
            0 -> Command.Start(task, attempt)
            1 -> Command.Stop(task, attempt, random.nextInt(100) / 4.0)
            else -> Command.Clear(task, attempt)
        }
    }

    @Property(tries = 100)
    fun `commands are encoded in the form of the worker protocol`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val commands = List(random.nextInt(20)) { command(random) }
        val fencingToken = random.nextLong() and Long.MAX_VALUE
        val agentEpoch = random.nextInt(1000).toLong().takeIf { random.nextBoolean() }
        val json = JsonObject(WorkerCodec.encodeCommands(fencingToken, commands, agentEpoch))
        assertEquals(fencingToken, json.getLong("warrant")) { "$json" }
        assertEquals(agentEpoch != null, json.fieldNames().contains("tenure")) { "$json" }
        assertEquals(agentEpoch, json.getLong("tenure") as Long?) { "$json" }
        val rows = json.getJsonArray("orders").map { it as JsonObject }
        assertEquals(commands.size, rows.size) { "$json" }
        rows.zip(commands).forEach { (commandJson, command) ->
            assertTrue(isSame(commandJson, command)) { "$command encoded as $commandJson" }
        }
    }

    private fun isSame(
        commandJson: JsonObject,
        command: Command,
    ): Boolean {
        val verb = command::class.simpleName!!.lowercase()
        val expected = JsonObject().put("verb", verb).put("part", command.taskId).put("try", command.attemptNumber)
        if (command is Command.Stop) expected.put("leeway_s", command.leewayS)
        return commandJson == expected
    }

    @Example
    fun `a heartbeat with unknown fields and without optional fields is decoded`() {
        val heartbeat =
            WorkerCodec.decodeHeartbeat(
                Buffer.buffer(
                    """{"holdfast":"vm-1","addr":"10.0.0.1:9","build":"g8","yard":"a","loaners":true,"tenure":2,"tally":7,"new":{"x":[1]},
                       "recall_s":1.5,"parts":[{"part":"j-1/3","try":4,"status":"pulling"},
                       {"part":"j-1/4","try":5,"status":"ended","cause":"done","saved":null}]}""",
                ),
            )
        val tasks = listOf(TaskReport("j-1/3", 4, TaskPhase.FETCHING, null), TaskReport("j-1/4", 5, TaskPhase.ENDED, "done"))
        assertEquals(Heartbeat("vm-1", "10.0.0.1:9", "g8", "a", true, 2, 7, 0, 3 * SECOND / 2, tasks), heartbeat) { "$heartbeat" }
    }

    @Example
    fun `a body that is not a heartbeat is rejected with the name of the invalid field`() {
        val invalidBodies =
            listOf(
                "" to null,
                "[]" to null,
                "{" to null,
                "{}" to "holdfast",
                """{"holdfast":"m","addr":"a","build":"b","yard":"z","tenure":1}""" to "tally",
                """{"holdfast":7,"addr":"a","build":"b","yard":"z","tenure":1,"tally":1}""" to "holdfast",
                """{"holdfast":"m","addr":"a","build":"b","yard":"z","tenure":"x","tally":1}""" to "tenure",
                """{"holdfast":"m","addr":"a","build":"b","yard":"z","tenure":1,"tally":1,"parts":{}}""" to "parts",
                """{"holdfast":"m","addr":"a","build":"b","yard":"z","tenure":1,"tally":1,"parts":[{"part":"j-1/1"}]}""" to "try",
            )
        for ((body, field) in invalidBodies) assertEquals(field, decodeInvalid(body).field) { body }
    }

    /** Guards against a parser that never ends, because the nested value hides the end of the object from it. */
    @Example
    fun `a body with a nested value in place of a boolean is rejected`() {
        assertNull(decodeInvalid("""{"loaners":[1,2]}""").field)
    }

    @Example
    fun `the message of a rejection names the field and the expected type`() {
        val exception = decodeInvalid("""{"holdfast":"m","addr":"a","build":"b","yard":"z","tenure":"x","tally":1}""")
        assertEquals("tenure: must be an integer", exception.message)
    }

    private fun decodeInvalid(body: String): InvalidHeartbeatException =
        assertThrows(InvalidHeartbeatException::class.java) { WorkerCodec.decodeHeartbeat(Buffer.buffer(body)) }
}
