package lichenstage.drain

import io.vertx.core.json.JsonObject
import lichenstage.state.Entry

/** The results of asynchronous reads and writes that [DrainDriver] starts. */
sealed interface DrainMessage {
    /** The result of reading all records of drains. [entries] is null if the state service was unavailable. */
    data class RecordsRead(
        val entries: List<Entry>?,
    ) : DrainMessage

    /** The result of recording the state of the last step. */
    data class StateRecorded(
        val writtenValues: Map<String, JsonObject>,
        val isSuccess: Boolean,
    ) : DrainMessage

    /** The result of changing the status in a drain's record. */
    data class StatusChanged(
        val drain: String,
        val isSuccess: Boolean,
    ) : DrainMessage
}
