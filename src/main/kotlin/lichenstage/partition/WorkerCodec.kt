package lichenstage.partition

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.JsonObject
import lichenstage.cluster.TaskPhase
import java.io.ByteArrayOutputStream
import java.io.IOException

/**
 * The failure to decode a message body as a heartbeat of the worker protocol.
 *
 * @property field the name of the missing or invalid field in the protocol; null if the body as a whole is invalid
 * @property expected the expected kind of value, for example "an integer"
 */
class InvalidHeartbeatException(
    val field: String?,
    val expected: String,
    cause: Throwable? = null,
) : Exception("${field ?: "body"}: must be $expected", cause)

/** The encoder and decoder for messages of the worker protocol. Only this file contains the field names of the protocol. */
object WorkerCodec {
    private val jsonFactory = JsonFactory()

    /**
     * Decodes a heartbeat in one pass, without building a JSON tree. Unknown fields are skipped.
     *
     * @throws InvalidHeartbeatException if [body] is not JSON, or a required field is missing or has the wrong type
     */
    fun decodeHeartbeat(body: Buffer): Heartbeat =
        try {
            jsonFactory.createParser(body.bytes).use { HeartbeatParser(it).parse() }
        } catch (e: IOException) {
            throw InvalidHeartbeatException(null, "a JSON object", e)
        }

    /** Encodes the reply to a heartbeat that redirects the worker to the controller [label]. */
    fun encodeRedirect(label: String): Buffer = JsonObject().put("steward", label).toBuffer()

    /**
     * Encodes the reply to a heartbeat or a direct order, in one pass.
     *
     * @param fencingToken the fencing token under which the worker executes [commands]
     * @param agentEpoch the agent epoch that a direct order addresses; null for the reply to a heartbeat
     */
    fun encodeCommands(
        fencingToken: Long,
        commands: List<Command>,
        agentEpoch: Long? = null,
    ): Buffer {
        val bytes = ByteArrayOutputStream(EMPTY_MESSAGE_BYTES + commands.size * COMMAND_BYTES)
        jsonFactory.createGenerator(bytes).use { generator ->
            generator.writeStartObject()
            generator.writeNumberField(WorkerField.FENCING_TOKEN, fencingToken)
            if (agentEpoch != null) generator.writeNumberField(WorkerField.AGENT_EPOCH, agentEpoch)
            generator.writeArrayFieldStart(WorkerField.COMMANDS)
            commands.forEach { writeCommand(it, generator) }
            generator.writeEndArray()
            generator.writeEndObject()
        }
        return Buffer.buffer(bytes.toByteArray())
    }

    private fun writeCommand(
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
        generator.writeStringField(WorkerField.VERB, verb)
        generator.writeStringField(WorkerField.TASK, command.taskId)
        generator.writeNumberField(WorkerField.ATTEMPT, command.attemptNumber)
        if (command is Command.Stop) generator.writeNumberField(WorkerField.LEEWAY_S, command.leewayS)
        generator.writeEndObject()
    }

    /** The initial buffer size of a message without commands, in bytes. */
    private const val EMPTY_MESSAGE_BYTES = 64

    /** The estimated size of an encoded command, in bytes. */
    private const val COMMAND_BYTES = 64
}

/** The field names of the worker protocol. */
internal object WorkerField {
    const val MACHINE = "holdfast"
    const val ADDRESS = "addr"
    const val MACHINE_TYPE = "build"
    const val ZONE = "yard"
    const val SPOT = "loaners"
    const val AGENT_EPOCH = "tenure"
    const val SEQUENCE = "tally"
    const val FENCING_TOKEN = "warrant"
    const val RECALL_S = "recall_s"
    const val TASKS = "parts"
    const val TASK = "part"
    const val ATTEMPT = "try"
    const val PHASE = "status"
    const val CAUSE = "cause"
    const val COMMANDS = "orders"
    const val VERB = "verb"
    const val LEEWAY_S = "leeway_s"

    /** Returns the phase for a task status of the protocol. An unknown status counts as running, since the task exists on the machine. */
    fun parsePhase(status: String) =
        when (status) {
            "pulling" -> TaskPhase.FETCHING
            "saving" -> TaskPhase.SAVING
            "ended" -> TaskPhase.ENDED
            else -> TaskPhase.RUNNING
        }
}
