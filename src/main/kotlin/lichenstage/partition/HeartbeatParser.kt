package lichenstage.partition

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND

/** Reads one heartbeat from the tokens of a JSON text. Throws [InvalidHeartbeatException] and the exceptions of [JsonParser]. */
internal class HeartbeatParser(
    private val parser: JsonParser,
) {
    private var machine: String? = null
    private var address: String? = null
    private var typeName: String? = null
    private var zone: String? = null
    private var spot = false
    private var agentEpoch = -1L
    private var sequence = -1L
    private var fencingToken = 0L
    private var recallUs: Long? = null
    private val tasks = ArrayList<TaskReport>()

    /** Reads the whole heartbeat. */
    fun parse(): Heartbeat {
        if (parser.nextToken() != JsonToken.START_OBJECT) throw InvalidHeartbeatException(null, "a JSON object")
        forEachField(::readField)
        return Heartbeat(
            machine ?: missing(WorkerField.MACHINE),
            address ?: missing(WorkerField.ADDRESS),
            typeName ?: missing(WorkerField.MACHINE_TYPE),
            zone ?: missing(WorkerField.ZONE),
            spot,
            notNegative(WorkerField.AGENT_EPOCH, agentEpoch),
            notNegative(WorkerField.SEQUENCE, sequence),
            fencingToken,
            recallUs,
            tasks,
        )
    }

    private fun readField(
        name: String?,
        value: JsonToken?,
    ) {
        when (name) {
            WorkerField.MACHINE -> machine = text(name)
            WorkerField.ADDRESS -> address = text(name)
            WorkerField.MACHINE_TYPE -> typeName = text(name)
            WorkerField.ZONE -> zone = text(name)
            WorkerField.SPOT -> spot = value == JsonToken.VALUE_TRUE
            WorkerField.AGENT_EPOCH -> agentEpoch = integer(name)
            WorkerField.SEQUENCE -> sequence = integer(name)
            WorkerField.FENCING_TOKEN -> if (value != JsonToken.VALUE_NULL) fencingToken = integer(name)
            WorkerField.RECALL_S -> if (value != JsonToken.VALUE_NULL) recallUs = (number(name) * SECOND).toLong()
            WorkerField.TASKS -> if (value != JsonToken.VALUE_NULL) readTasks()
            else -> parser.skipChildren()
        }
    }

    private fun readTasks() {
        if (parser.currentToken() != JsonToken.START_ARRAY) throw InvalidHeartbeatException(WorkerField.TASKS, "an array of objects")
        while (parser.nextToken() == JsonToken.START_OBJECT) tasks += readTask()
        if (parser.currentToken() != JsonToken.END_ARRAY) throw InvalidHeartbeatException(WorkerField.TASKS, "an array of objects")
    }

    private fun readTask(): TaskReport {
        var task: String? = null
        var attempt = -1L
        var phase: TaskPhase? = null
        var cause: String? = null
        forEachField { name, value ->
            when (name) {
                WorkerField.TASK -> task = text(name)
                WorkerField.ATTEMPT -> attempt = integer(name)
                WorkerField.PHASE -> phase = WorkerField.phase(text(name))
                WorkerField.CAUSE -> if (value != JsonToken.VALUE_NULL) cause = text(name)
                else -> parser.skipChildren()
            }
        }
        return TaskReport(
            task ?: missing(WorkerField.TASK),
            notNegative(WorkerField.ATTEMPT, attempt),
            phase ?: missing(WorkerField.PHASE),
            cause,
        )
    }

    /** Passes the fields of the current object to [read], which has to consume the value that begins with the current token. */
    private inline fun forEachField(read: (String?, JsonToken?) -> Unit) {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            // The end of the text: a nested value where a boolean was expected can hide the end of the object.
            if (parser.currentToken() == null) throw InvalidHeartbeatException(null, "a JSON object")
            read(parser.currentName(), parser.nextToken())
        }
    }

    private fun text(field: String): String {
        if (parser.currentToken() != JsonToken.VALUE_STRING) throw InvalidHeartbeatException(field, "a string")
        return parser.text
    }

    private fun integer(field: String): Long =
        try {
            parser.longValue
        } catch (e: JsonProcessingException) {
            throw InvalidHeartbeatException(field, "an integer", e)
        }

    private fun number(field: String): Double =
        try {
            parser.doubleValue
        } catch (e: JsonProcessingException) {
            throw InvalidHeartbeatException(field, "a number", e)
        }

    private fun missing(field: String): Nothing = throw InvalidHeartbeatException(field, "a value")

    private fun notNegative(
        field: String,
        value: Long,
    ): Long = if (value >= 0) value else throw InvalidHeartbeatException(field, "an integer that is not negative")
}
