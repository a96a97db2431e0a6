package lichenstage.partition

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonToken
import io.vertx.core.buffer.Buffer
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import java.io.ByteArrayOutputStream
import java.io.IOException

/** The words of the worker protocol. */
object WorkerCodec {
    private val json = JsonFactory()

    /** The report in [body], or null where anything needed is missing or of the wrong kind. Read once, with no tree in between. */
    fun heartbeat(body: Buffer): Heartbeat? =
        try {
            json.createParser(body.bytes).use { parser ->
                if (parser.nextToken() == JsonToken.START_OBJECT) Draft().read(parser) else null
            }
        } catch (_: IOException) {
            null
        } catch (_: RuntimeException) {
            null
        }

    /** The fields of a report as they are met. */
    private class Draft {
        private var machine: String? = null
        private var address: String? = null
        private var typeName: String? = null
        private var zone: String? = null
        private var spot = false
        private var agentEpoch = -1L
        private var sequence = -1L
        private var fencingToken = 0L
        private var recallUs: Long? = null
        private var tasks: MutableList<TaskReport> = ArrayList()

        fun read(parser: JsonParser): Heartbeat {
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                val name = parser.currentName()
                val value = parser.nextToken()
                when (name) {
                    "holdfast" -> machine = text(parser)
                    "addr" -> address = text(parser)
                    "build" -> typeName = text(parser)
                    "yard" -> zone = text(parser)
                    "loaners" -> spot = value == JsonToken.VALUE_TRUE
                    "tenure" -> agentEpoch = parser.longValue
                    "tally" -> sequence = parser.longValue
                    "warrant" -> if (value != JsonToken.VALUE_NULL) fencingToken = parser.longValue
                    "recall_s" -> if (value != JsonToken.VALUE_NULL) recallUs = (parser.doubleValue * SECOND).toLong()
                    "parts" -> if (value != JsonToken.VALUE_NULL) tasks(parser)
                    else -> parser.skipChildren()
                }
            }
            require(agentEpoch >= 0 && sequence >= 0)
            return Heartbeat(machine!!, address!!, typeName!!, zone!!, spot, agentEpoch, sequence, fencingToken, recallUs, tasks)
        }

        private fun text(parser: JsonParser): String {
            require(parser.currentToken() == JsonToken.VALUE_STRING)
            return parser.text
        }

        private fun tasks(parser: JsonParser) {
            require(parser.currentToken() == JsonToken.START_ARRAY)
            while (parser.nextToken() == JsonToken.START_OBJECT) tasks += task(parser)
            require(parser.currentToken() == JsonToken.END_ARRAY)
        }

        private fun task(parser: JsonParser): TaskReport {
            var task: String? = null
            var attempt = -1L
            var phase: TaskPhase? = null
            var cause: String? = null
            while (parser.nextToken() != JsonToken.END_OBJECT) {
                val name = parser.currentName()
                val value = parser.nextToken()
                when (name) {
                    "part" -> task = text(parser)
                    "try" -> attempt = parser.longValue
                    "status" -> phase = phase(text(parser))
                    "cause" -> if (value != JsonToken.VALUE_NULL) cause = text(parser)
                    else -> parser.skipChildren()
                }
            }
            require(attempt >= 0)
            return TaskReport(task!!, attempt, phase!!, cause)
        }
    }

    /** A word that isn't known means that the task is there in some way: it counts as running. */
    private fun phase(word: String) =
        when (word) {
            "pulling" -> TaskPhase.FETCHING
            "saving" -> TaskPhase.SAVING
            "ended" -> TaskPhase.ENDED
            else -> TaskPhase.RUNNING
        }

    /** The body of an answer to a report or, with a session, of a direct order. Written once, with no tree in between. */
    fun orders(
        fencingToken: Long,
        commands: List<Command>,
        agentEpoch: Long? = null,
    ): Buffer {
        val bytes = ByteArrayOutputStream(EMPTY_ORDERS_BYTES + commands.size * COMMAND_BYTES)
        json.createGenerator(bytes).use { generator ->
            generator.writeStartObject()
            generator.writeNumberField("warrant", fencingToken)
            if (agentEpoch != null) generator.writeNumberField("tenure", agentEpoch)
            generator.writeArrayFieldStart("orders")
            commands.forEach { write(it, generator) }
            generator.writeEndArray()
            generator.writeEndObject()
        }
        return Buffer.buffer(bytes.toByteArray())
    }

    private fun write(
        command: Command,
        generator: JsonGenerator,
    ) {
        val verb =
            when (command) {
                is Command.Start -> "start"
                is Command.Stop -> "stop"
                is Command.Clear -> "clear"
            }
        generator.writeStartObject()
        generator.writeStringField("verb", verb)
        generator.writeStringField("part", command.task)
        generator.writeNumberField("try", command.attempt)
        if (command is Command.Stop) generator.writeNumberField("leeway_s", command.leewayS)
        generator.writeEndObject()
    }

    private const val EMPTY_ORDERS_BYTES = 64
    private const val COMMAND_BYTES = 64
}
