package lichenstage.partition

import com.fasterxml.jackson.core.JsonParser
import com.fasterxml.jackson.core.JsonProcessingException
import com.fasterxml.jackson.core.JsonToken
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND

/**
 * A parser that reads one heartbeat from a JSON token stream and can be used once.
 *
 * It throws [InvalidHeartbeatException] and the exceptions of [JsonParser].
 */
internal class HeartbeatParser(
    private val parser: JsonParser,
) {
    private var machine: String? = null
    private var address: String? = null
    private var typeName: String? = null
    private var zone: String? = null
    private var isSpot = false
    private var agentEpoch = -1L
    private var sequence = -1L
    private var fencingToken = 0L
    private var timeUntilReclaimUs: Long? = null
    private val tasks = ArrayList<TaskReport>()

    /** Reads the heartbeat up to the end of its JSON object. Unknown fields are skipped. */
    fun parse(): Heartbeat {
        if (parser.nextToken() != JsonToken.START_OBJECT) throw InvalidHeartbeatException(null, "a JSON object")
        forEachField(::readField)
        return Heartbeat(
            machine ?: failMissing(WorkerField.MACHINE),
            address ?: failMissing(WorkerField.ADDRESS),
            typeName ?: failMissing(WorkerField.MACHINE_TYPE),
            zone ?: failMissing(WorkerField.ZONE),
            isSpot,
            requireNotNegative(WorkerField.AGENT_EPOCH, agentEpoch),
            requireNotNegative(WorkerField.SEQUENCE, sequence),
            fencingToken,
            timeUntilReclaimUs,
            tasks,
        )
    }

    private fun readField(
        name: String?,
        value: JsonToken?,
    ) {
        when (name) {
            WorkerField.MACHINE -> machine = readString(name)
            WorkerField.ADDRESS -> address = readString(name)
            WorkerField.MACHINE_TYPE -> typeName = readString(name)
            WorkerField.ZONE -> zone = readString(name)
            WorkerField.SPOT -> isSpot = value == JsonToken.VALUE_TRUE
            WorkerField.AGENT_EPOCH -> agentEpoch = readLong(name)
            WorkerField.SEQUENCE -> sequence = readLong(name)
            WorkerField.FENCING_TOKEN -> if (value != JsonToken.VALUE_NULL) fencingToken = readLong(name)
            WorkerField.RECALL_S -> if (value != JsonToken.VALUE_NULL) timeUntilReclaimUs = (readDouble(name) * SECOND).toLong()
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
        var taskId: String? = null
        var attemptNumber = -1L
        var phase: TaskPhase? = null
        var cause: String? = null
        forEachField { name, value ->
            when (name) {
                WorkerField.TASK -> taskId = readString(name)
                WorkerField.ATTEMPT -> attemptNumber = readLong(name)
                WorkerField.PHASE -> phase = WorkerField.parsePhase(readString(name))
                WorkerField.CAUSE -> if (value != JsonToken.VALUE_NULL) cause = readString(name)
                else -> parser.skipChildren()
            }
        }
        return TaskReport(
            taskId ?: failMissing(WorkerField.TASK),
            requireNotNegative(WorkerField.ATTEMPT, attemptNumber),
            phase ?: failMissing(WorkerField.PHASE),
            cause,
        )
    }

    /** Calls [read] for each field of the current object. [read] must consume the value that begins at the current token. */
    private inline fun forEachField(read: (String?, JsonToken?) -> Unit) {
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            // A null token means the end of the text. Without this check the loop would not end if a nested value in place of a boolean
            // hides the end of the object.
            if (parser.currentToken() == null) throw InvalidHeartbeatException(null, "a JSON object")
            read(parser.currentName(), parser.nextToken())
        }
    }

    private fun readString(field: String): String {
        if (parser.currentToken() != JsonToken.VALUE_STRING) throw InvalidHeartbeatException(field, "a string")
        return parser.text
    }

    private fun readLong(field: String): Long =
        try {
            parser.longValue
        } catch (e: JsonProcessingException) {
            throw InvalidHeartbeatException(field, "an integer", e)
        }

    private fun readDouble(field: String): Double =
        try {
            parser.doubleValue
        } catch (e: JsonProcessingException) {
            throw InvalidHeartbeatException(field, "a number", e)
        }

    private fun failMissing(field: String): Nothing = throw InvalidHeartbeatException(field, "a value")

    private fun requireNotNegative(
        field: String,
        value: Long,
    ): Long = if (value >= 0) value else throw InvalidHeartbeatException(field, "an integer that is not negative")
}
