package lichenstage.drain

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.collections.immutable.toPersistentMap
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.UnreadableRecordException

/**
 * Encodes and decodes the records of drains in the state service. Versions of the service without drains ignore the prefix.
 *
 * `drain/d/NAME` holds the drain as requested by an operator, `drain/m/NAME/PAGE` holds a page of its machines, and `drain/i/PAGE` holds a
 * page of the interruptions, which all drains share. A page has several rows and takes at most `valueBytes`.
 */
class DrainRecordCodec(
    valueBytes: Int,
) {
    private val rowsPerPage = (valueBytes / MAX_ROW_BYTES).coerceAtLeast(1)

    /** Maximum number of recorded interruptions: half of what all pages hold, because tasks are spread unevenly over the pages. */
    val maxInterruptions = rowsPerPage * INTERRUPTION_PAGES / 2

    /** Returns the record of [drain]. */
    fun encode(drain: Drain): JsonObject =
        JsonObject()
            .put(FORMAT_FIELD, CURRENT_FORMAT)
            .put("status", drain.status.name)
            .put("replace", drain.shouldReplace)
            .put("at_most", drain.maxConcurrent)
            .put("asked", drain.requestedAtUs)
            .apply {
                if (drain.reason != null) put("reason", drain.reason)
                if (drain.deadlineAtUs != null) put("deadline", drain.deadlineAtUs)
            }

    /** Returns the drain recorded in [entry]. Throws [UnreadableRecordException]. */
    fun decodeDrain(entry: Entry): Drain =
        decode(entry) {
            Drain(
                name = entry.key.removePrefix(DRAIN_PREFIX),
                shouldReplace = it.getBoolean("replace")!!,
                maxConcurrent = it.getInteger("at_most")!!,
                status = DrainStatus.valueOf(it.getString("status")),
                reason = it.getString("reason"),
                requestedAtUs = it.getLong("asked")!!,
                deadlineAtUs = it.getLong("deadline"),
            )
        }

    /** Returns the pages of the machines of [drain] by key. The set of machines is fixed, so each machine stays on its page. */
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

    /** Returns the machines on the page in [entry]. Throws [UnreadableRecordException]. */
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

    /**
     * Returns all pages of interruptions by key, including empty ones. A task always has the same page, so that a step changes few pages.
     */
    fun encodeInterruptions(interruptions: Collection<Interruption>): Map<String, JsonObject> {
        val byPage = interruptions.groupBy { Math.floorMod(it.taskId.hashCode(), INTERRUPTION_PAGES) }
        return (0 until INTERRUPTION_PAGES).associate { page ->
            "$INTERRUPTION_PREFIX$page" to encodePage(byPage[page].orEmpty().sortedBy { it.taskId.toString() }.map(::encodeInterruption))
        }
    }

    private fun encodeInterruption(interruption: Interruption) =
        JsonArray()
            .add(interruption.taskId.toString())
            .add(interruption.attemptNumber)
            .add(interruption.team)
            .add(interruption.cause.name)
            .add(interruption.sinceUs)

    /** Returns the interruptions on the page in [entry]. Throws [UnreadableRecordException]. */
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

    /** Returns the state in the given pages of machines and interruptions. Throws [UnreadableRecordException]. */
    fun decodeState(
        machines: List<Entry>,
        interruptions: List<Entry>,
    ) = DrainState(
        machines.flatMap(::decodeMachines).associateBy { it.key }.toPersistentMap(),
        interruptions.flatMap(::decodeInterruptions).associateBy { it.taskId }.toPersistentMap(),
    )

    /** Returns all pages of machines and interruptions of [state] by key. */
    fun encodeState(state: DrainState): Map<String, JsonObject> {
        val machines =
            state.machines.values
                .groupBy { it.drain }
                .flatMap { (drain, rows) -> encodeMachines(drain, rows).entries }
        return machines.associate { it.key to it.value } + encodeInterruptions(state.interruptions.values)
    }

    private fun encodePage(rows: List<JsonArray>) = JsonObject().put(FORMAT_FIELD, CURRENT_FORMAT).put(ROWS_FIELD, JsonArray(rows))

    private fun rowsOf(value: JsonObject) = value.getJsonArray(ROWS_FIELD).map { it as JsonArray }

    @Suppress("TooGenericExceptionCaught") // Missing fields, wrong types and unknown enum names all make a record unreadable.
    private fun <T> decode(
        entry: Entry,
        decodeValue: (JsonObject) -> T,
    ): T =
        try {
            val form = entry.value.getInteger(FORMAT_FIELD)
            require(form == CURRENT_FORMAT) { "form: must be $CURRENT_FORMAT, was $form" }
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

        // Indexes in the row of a machine.
        private const val MACHINE_NAME = 0
        private const val MACHINE_STAGE = 1
        private const val MACHINE_STAGE_SINCE = 2
        private const val MACHINE_FAILED_REPLACEMENTS = 3
        private const val MACHINE_REPLACEMENT = 4

        // Indexes in the row of an interruption.
        private const val INTERRUPTION_TASK = 0
        private const val INTERRUPTION_ATTEMPT = 1
        private const val INTERRUPTION_TEAM = 2
        private const val INTERRUPTION_CAUSE = 3
        private const val INTERRUPTION_SINCE = 4
        private const val CURRENT_FORMAT = 1

        /** Maximum encoded size of a row if names have usual lengths. */
        private const val MAX_ROW_BYTES = 110
        private const val INTERRUPTION_PAGES = 8

        /**
         * Returns the changes that turn [recorded] into [desired]. An empty page that is not recorded is not written. A page that is no
         * longer used, for example after the size limit was raised, is deleted because its rows are outdated.
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
