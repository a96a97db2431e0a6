package lichenstage.drain

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.collections.immutable.toPersistentMap
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.UnreadableRecordException

/**
 * The records of drains in the state service. Versions that do not know the prefix leave it alone.
 *
 * `drain/d/NAME` is the drain as operators ask for it, `drain/m/NAME/PAGE` holds its machines, `drain/i/PAGE` the interruptions of all
 * drains. Several machines and interruptions share a record, each within [valueBytes].
 */
class DrainRecordCodec(
    valueBytes: Int,
) {
    private val rowsPerPage = (valueBytes / MAX_ROW_BYTES).coerceAtLeast(1)

    /** How many interruptions the records hold, with room for tasks that fall on the pages unevenly. */
    val maxInterruptions = rowsPerPage * INTERRUPTION_PAGES / 2

    /** The record of a drain. */
    fun encode(drain: Drain): JsonObject =
        JsonObject()
            .put(FORMAT_FIELD, CURRENT_FORMAT)
            .put("status", drain.status.name)
            .put("replace", drain.replace)
            .put("at_most", drain.maxConcurrent)
            .put("asked", drain.requestedUs)
            .apply {
                if (drain.reason != null) put("reason", drain.reason)
                if (drain.deadlineUs != null) put("deadline", drain.deadlineUs)
            }

    /** The drain of a record. */
    fun decodeDrain(entry: Entry): Drain =
        decode(entry) {
            Drain(
                name = entry.key.removePrefix(DRAIN_PREFIX),
                replace = it.getBoolean("replace")!!,
                maxConcurrent = it.getInteger("at_most")!!,
                status = DrainStatus.valueOf(it.getString("status")),
                reason = it.getString("reason"),
                requestedUs = it.getLong("asked")!!,
                deadlineUs = it.getLong("deadline"),
            )
        }

    /** The pages of a drain's machines, by their keys; a machine keeps its page. */
    fun encodeMachines(
        drain: String,
        machines: Collection<DrainedMachine>,
    ): Map<String, JsonObject> =
        machines
            .sortedBy { it.name }
            .chunked(rowsPerPage)
            .withIndex()
            .associate { (page, rows) -> "$MACHINE_PREFIX$drain/$page" to encodePage(rows.map(::encodeMachine)) }

    private fun encodeMachine(machine: DrainedMachine) =
        JsonArray()
            .add(machine.name)
            .add(machine.stage.name)
            .add(machine.sinceUs)
            .add(machine.failedReplacements)
            .apply { machine.replacement?.let { add(it) } }

    /** The machines on a page. */
    fun decodeMachines(entry: Entry): List<DrainedMachine> =
        decode(entry) { value ->
            val drain = entry.key.removePrefix(MACHINE_PREFIX).substringBeforeLast('/')
            rowsOf(value).map {
                val replacement = if (it.size() > MACHINE_REPLACEMENT) it.getString(MACHINE_REPLACEMENT) else null
                DrainedMachine(
                    it.getString(MACHINE_NAME),
                    drain,
                    Stage.valueOf(it.getString(MACHINE_STAGE)),
                    it.getLong(MACHINE_STAGE_SINCE),
                    replacement,
                    it.getInteger(MACHINE_FAILED_REPLACEMENTS),
                )
            }
        }

    /** All pages of interruptions, the empty ones too; a task keeps its page, so that few change at once. */
    fun encodeInterruptions(interruptions: Collection<Interruption>): Map<String, JsonObject> {
        val byPage = interruptions.groupBy { Math.floorMod(it.task.hashCode(), INTERRUPTION_PAGES) }
        return (0 until INTERRUPTION_PAGES).associate { page ->
            "$INTERRUPTION_PREFIX$page" to encodePage(byPage[page].orEmpty().sortedBy { it.task.toString() }.map(::encodeInterruption))
        }
    }

    private fun encodeInterruption(interruption: Interruption) =
        JsonArray()
            .add(interruption.task.toString())
            .add(interruption.attempt)
            .add(interruption.team)
            .add(interruption.cause.name)
            .add(interruption.sinceUs)

    /** The interruptions on a page. */
    fun decodeInterruptions(entry: Entry): List<Interruption> =
        decode(entry) { value ->
            rowsOf(value).map {
                Interruption(
                    TaskId.parse(it.getString(INTERRUPTION_TASK))!!,
                    it.getLong(INTERRUPTION_ATTEMPT),
                    it.getString(INTERRUPTION_TEAM),
                    InterruptionCause.valueOf(it.getString(INTERRUPTION_CAUSE)),
                    it.getLong(INTERRUPTION_SINCE),
                )
            }
        }

    /** The state that records hold; throws [UnreadableRecordException]. */
    fun decodeState(
        machines: List<Entry>,
        interruptions: List<Entry>,
    ) = DrainState(
        machines.flatMap(::decodeMachines).associateBy { it.key }.toPersistentMap(),
        interruptions.flatMap(::decodeInterruptions).associateBy { it.task }.toPersistentMap(),
    )

    /** All records of a state, by their keys. */
    fun encodeState(state: DrainState): Map<String, JsonObject> {
        val machines =
            state.machines.values
                .groupBy { it.drain }
                .flatMap { (drain, rows) -> encodeMachines(drain, rows).entries }
        return machines.associate { it.key to it.value } + encodeInterruptions(state.interruptions.values)
    }

    private fun encodePage(rows: List<JsonArray>) = JsonObject().put(FORMAT_FIELD, CURRENT_FORMAT).put(ROWS_FIELD, JsonArray(rows))

    private fun rowsOf(value: JsonObject) = value.getJsonArray(ROWS_FIELD).map { it as JsonArray }

    @Suppress("TooGenericExceptionCaught") // Missing fields, wrong types and unknown names all mean the same.
    private fun <T> decode(
        entry: Entry,
        decodeValue: (JsonObject) -> T,
    ): T =
        try {
            val form = entry.value.getInteger(FORMAT_FIELD)
            require(form == CURRENT_FORMAT) { "form $form is not known" }
            decodeValue(entry.value)
        } catch (e: RuntimeException) {
            throw UnreadableRecordException(entry.key, e)
        }

    companion object {
        const val PREFIX = "drain/"
        const val DRAIN_PREFIX = "drain/d/"
        const val MACHINE_PREFIX = "drain/m/"
        const val INTERRUPTION_PREFIX = "drain/i/"
        private const val FORMAT_FIELD = "form"
        private const val ROWS_FIELD = "rows"

        // Positions in the array that records a machine.
        private const val MACHINE_NAME = 0
        private const val MACHINE_STAGE = 1
        private const val MACHINE_STAGE_SINCE = 2
        private const val MACHINE_FAILED_REPLACEMENTS = 3
        private const val MACHINE_REPLACEMENT = 4

        // Positions in the array that records an interruption.
        private const val INTERRUPTION_TASK = 0
        private const val INTERRUPTION_ATTEMPT = 1
        private const val INTERRUPTION_TEAM = 2
        private const val INTERRUPTION_CAUSE = 3
        private const val INTERRUPTION_SINCE = 4
        private const val CURRENT_FORMAT = 1

        /** What a machine or an interruption takes of a value at the most, with names of usual length. */
        private const val MAX_ROW_BYTES = 110
        private const val INTERRUPTION_PAGES = 8

        /**
         * The changes that turn what is recorded into what is to be; none for an empty page that is not there. A page of a smaller limit
         * that is no longer used is deleted: what it says of its machines is old.
         */
        fun changes(
            recorded: Map<String, JsonObject>,
            desired: Map<String, JsonObject>,
        ): List<Change> =
            desired
                .filter { (key, value) -> recorded[key] != value && (key in recorded || !value.getJsonArray(ROWS_FIELD).isEmpty) }
                .map { Change.Put(it.key, it.value) } + (recorded.keys - desired.keys).map { Change.Delete(it) }
    }
}
