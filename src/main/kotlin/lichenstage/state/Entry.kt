package lichenstage.state

import io.vertx.core.json.JsonObject

/** A key of the state service with its value; [modRevision] is the revision of the transaction that last changed the key. */
data class Entry(
    val key: String,
    val value: JsonObject,
    val modRevision: Long,
)
