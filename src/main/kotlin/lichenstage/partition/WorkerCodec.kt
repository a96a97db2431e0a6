package lichenstage.partition

import com.fasterxml.jackson.core.JsonFactory
import com.fasterxml.jackson.core.JsonGenerator
import io.vertx.core.buffer.Buffer
import io.vertx.core.json.JsonObject
import lichenstage.cluster.TaskPhase
import java.io.ByteArrayOutputStream
import java.io.IOException

/**
 * The body of a message is not a heartbeat of the worker protocol.
 *
 * @property field the field that is missing or wrong, by its name in the protocol; null where the body as a whole is meant
 * @property expected what was expected there
 */
class InvalidHeartbeatException(
    val field: String?,
    val expected: String,
    cause: Throwable? = null,
) : Exception("${field ?: "the body"}: expected $expected", cause)

/** Encodes and decodes messages of the worker protocol: the only place that knows its names. */
object WorkerCodec {
    private val jsonFactory = JsonFactory()

    /**
     * Decodes a heartbeat in one pass, without a tree in between. Fields that are not known are skipped.
     *
     * @throws InvalidHeartbeatException where [body] is not JSON, or a needed field is missing or of the wrong kind
     */
    fun decodeHeartbeat(body: Buffer): Heartbeat =
        try {
            jsonFactory.createParser(body.bytes).use { HeartbeatParser(it).parse() }
        } catch (e: IOException) {
            throw InvalidHeartbeatException(null, "a JSON object", e)
        }

    /** The body of a heartbeat's reply that sends the worker to the controller [label]. */
    fun encodeRedirect(label: String): Buffer = JsonObject().put("steward", label).toBuffer()

    /**
     * Encodes the answer to a heartbeat or, with an [agentEpoch], a direct order, in one pass.
     *
     * @param fencingToken the token under which the worker is commanded
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
        generator.writeStringField(WorkerField.TASK, command.task)
        generator.writeNumberField(WorkerField.ATTEMPT, command.attempt)
        if (command is Command.Stop) generator.writeNumberField(WorkerField.LEEWAY_S, command.leewayS)
        generator.writeEndObject()
    }

    /** Initial sizes of the buffer, in bytes. */
    private const val EMPTY_MESSAGE_BYTES = 64
    private const val COMMAND_BYTES = 64
}

/** Names of fields in the worker protocol. */
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

    /** The phase for a state of the protocol. An unknown state counts as running: the task is on the machine in some form. */
    fun parsePhase(status: String) =
        when (status) {
            "pulling" -> TaskPhase.FETCHING
            "saving" -> TaskPhase.SAVING
            "ended" -> TaskPhase.ENDED
            else -> TaskPhase.RUNNING
        }
}
