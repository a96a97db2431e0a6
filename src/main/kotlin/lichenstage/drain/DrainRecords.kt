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
class DrainRecords(
    valueBytes: Int,
) {
    private val perPage = (valueBytes / ROW_BYTES).coerceAtLeast(1)

    /** How many interruptions the records hold, with room for tasks that fall on the pages unevenly. */
    val maxInterruptions = perPage * INTERRUPTION_PAGES / 2

    /** The record of a drain. */
    fun encode(drain: Drain): JsonObject =
        JsonObject()
            .put(FORM, CURRENT_FORM)
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
        reading(entry) {
            Drain(
                name = entry.key.removePrefix(DRAINS),
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
            .chunked(perPage)
            .withIndex()
            .associate { (page, rows) -> "$MACHINES$drain/$page" to page(rows.map(::encodeMachine)) }

    private fun encodeMachine(machine: DrainedMachine) =
        JsonArray()
            .add(machine.name)
            .add(machine.stage.name)
            .add(machine.sinceUs)
            .add(machine.failures)
            .apply { machine.replacement?.let { add(it) } }

    /** The machines on a page. */
    fun decodeMachines(entry: Entry): List<DrainedMachine> =
        reading(entry) { value ->
            val drain = entry.key.removePrefix(MACHINES).substringBeforeLast('/')
            rows(value).map {
                val replacement = if (it.size() > MACHINE_REPLACEMENT) it.getString(MACHINE_REPLACEMENT) else null
                DrainedMachine(
                    it.getString(MACHINE_NAME),
                    drain,
                    Stage.valueOf(it.getString(MACHINE_STAGE)),
                    it.getLong(MACHINE_SINCE),
                    replacement,
                    it.getInteger(MACHINE_FAILURES),
                )
            }
        }

    /** All pages of interruptions, the empty ones too; a task keeps its page, so that few change at once. */
    fun encodeInterruptions(interruptions: Collection<Interruption>): Map<String, JsonObject> {
        val byPage = interruptions.groupBy { Math.floorMod(it.task.hashCode(), INTERRUPTION_PAGES) }
        return (0 until INTERRUPTION_PAGES).associate { page ->
            "$INTERRUPTIONS$page" to page(byPage[page].orEmpty().sortedBy { it.task.toString() }.map(::encodeInterruption))
        }
    }

    private fun encodeInterruption(row: Interruption) =
        JsonArray()
            .add(row.task.toString())
            .add(row.attempt)
            .add(row.team)
            .add(row.cause.name)
            .add(row.sinceUs)

    /** The interruptions on a page. */
    fun decodeInterruptions(entry: Entry): List<Interruption> =
        reading(entry) { value ->
            rows(value).map {
                Interruption(
                    TaskId.parse(it.getString(INTERRUPTION_TASK))!!,
                    it.getLong(INTERRUPTION_ATTEMPT),
                    it.getString(INTERRUPTION_TEAM),
                    InterruptionCause.valueOf(it.getString(INTERRUPTION_CAUSE)),
                    it.getLong(INTERRUPTION_AT),
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

    private fun page(rows: List<JsonArray>) = JsonObject().put(FORM, CURRENT_FORM).put(ROWS, JsonArray(rows))

    private fun rows(value: JsonObject) = value.getJsonArray(ROWS).map { it as JsonArray }

    @Suppress("TooGenericExceptionCaught") // Missing fields, wrong types and unknown names all mean the same.
    private fun <T> reading(
        entry: Entry,
        read: (JsonObject) -> T,
    ): T =
        try {
            val form = entry.value.getInteger(FORM)
            require(form == CURRENT_FORM) { "form $form is not known" }
            read(entry.value)
        } catch (e: RuntimeException) {
            throw UnreadableRecordException(entry.key, e)
        }

    companion object {
        const val PREFIX = "drain/"
        const val DRAINS = "drain/d/"
        const val MACHINES = "drain/m/"
        const val INTERRUPTIONS = "drain/i/"
        private const val FORM = "form"
        private const val ROWS = "rows"

        // Positions in the array that records a machine.
        private const val MACHINE_NAME = 0
        private const val MACHINE_STAGE = 1
        private const val MACHINE_SINCE = 2
        private const val MACHINE_FAILURES = 3
        private const val MACHINE_REPLACEMENT = 4

        // Positions in the array that records an interruption.
        private const val INTERRUPTION_TASK = 0
        private const val INTERRUPTION_ATTEMPT = 1
        private const val INTERRUPTION_TEAM = 2
        private const val INTERRUPTION_CAUSE = 3
        private const val INTERRUPTION_AT = 4
        private const val CURRENT_FORM = 1

        /** What a machine or an interruption takes of a value at the most, with names of usual length. */
        private const val ROW_BYTES = 110
        private const val INTERRUPTION_PAGES = 8

        /**
         * The changes that turn what is recorded into what is to be; none for an empty page that is not there. A page of a smaller limit
         * that is no longer used is deleted: what it says of its machines is old.
         */
        fun changes(
            recorded: Map<String, JsonObject>,
            wanted: Map<String, JsonObject>,
        ): List<Change> =
            wanted
                .filter { (key, value) -> recorded[key] != value && (key in recorded || !value.getJsonArray(ROWS).isEmpty) }
                .map { Change.Put(it.key, it.value) } + (recorded.keys - wanted.keys).map { Change.Delete(it) }
    }
}
