package lichenstage.drain

import io.vertx.core.json.JsonObject
import lichenstage.state.Entry

/** Results of what [DrainDriver] has started. */
sealed interface DrainMessage {
    /** All records of drains; [entries] is null where the state service did not answer. */
    data class RecordsRead(
        val entries: List<Entry>?,
    ) : DrainMessage

    /** The state of the last step is recorded, or not. */
    data class StateRecorded(
        val writtenValues: Map<String, JsonObject>,
        val isSuccess: Boolean,
    ) : DrainMessage

    /** The record of a drain was changed, or not. */
    data class StatusChanged(
        val drain: String,
        val isSuccess: Boolean,
    ) : DrainMessage
}
