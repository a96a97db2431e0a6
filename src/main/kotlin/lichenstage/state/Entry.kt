package lichenstage.state

import io.vertx.core.json.JsonObject

/** A key and its value in the state service. [modRevision] is the revision of the transaction that last changed the key. */
data class Entry(
    val key: String,
    val value: JsonObject,
    val modRevision: Long,
)
