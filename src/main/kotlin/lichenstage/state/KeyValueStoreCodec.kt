package lichenstage.state

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException
import lichenstage.common.MILLI
import lichenstage.common.requiredLong
import lichenstage.common.requiredObject
import lichenstage.common.requiredObjects
import lichenstage.common.requiredString
import lichenstage.common.requiredStrings

/** The paths and JSON documents of the state service's protocol; its names stand here only. */
internal object KeyValueStoreCodec {
    /** One page of a scan; [isTruncated] where more keys follow. */
    class ScanPage(
        val entries: List<Entry>,
        val revision: Long,
        val isTruncated: Boolean,
    )

    const val TRANSACTION_PATH = "/txn"
    const val LEASES_PATH = "/leases"
    private const val PAGE_SIZE = 200
    private const val REVISION = "ledger_rev"
    private const val MOD_REVISION = "stamp"
    private const val LEASE = "tenancy"
    private const val KEY = "k"
    private const val VALUE = "value"
    private const val PUT = "put"
    private const val DELETE = "delete"
    private const val NO_SUCH_LEASE = "no such lease"

    /** The path of one key. */
    fun keyPath(key: String) = "/kv/$key"

    /** The path of the next page of a scan: the keys with [prefix] after [lastKey], or from the first one on where that is null. */
    fun scanPath(
        prefix: String,
        lastKey: String?,
    ): String {
        val since = if (lastKey == null) "" else "&since=$lastKey"
        return "/kv?prefix=$prefix$since&most=$PAGE_SIZE"
    }

    /** The path of the changes of the keys with [prefix] after a revision; the service answers after [waitMs] ms at the latest. */
    fun watchPath(
        prefix: String,
        afterRevision: Long,
        waitMs: Long,
    ) = "/changes?prefix=$prefix&since=$afterRevision&wait_ms=$waitMs"

    /** The path of one lease. */
    fun leasePath(lease: Long) = "$LEASES_PATH/$lease"

    /** The path that renews a lease. */
    fun leaseRenewalPath(lease: Long) = "${leasePath(lease)}/renew"

    /** The body of a transaction. */
    fun encodeTransaction(
        preconditions: List<Precondition>,
        changes: List<Change>,
    ): JsonObject =
        JsonObject()
            .put("guards", JsonArray(preconditions.map { JsonObject().put(KEY, it.key).put(MOD_REVISION, it.modRevision) }))
            .put("then", JsonArray(changes.map(::encodeChange)))

    private fun encodeChange(change: Change): JsonObject =
        when (change) {
            is Change.Put -> JsonObject().put(PUT, change.key).put(VALUE, change.value).apply { change.lease?.let { put(LEASE, it) } }
            is Change.Delete -> JsonObject().put(DELETE, change.key)
        }

    /** The body of a request for a lease that lasts [durationUs]. */
    fun encodeLeaseRequest(durationUs: Long): JsonObject = JsonObject().put("life_ms", durationUs / MILLI)

    /** The number of a granted lease; null where the answer has none. */
    fun decodeLease(body: JsonObject): Long? = body.getLong(LEASE)

    /** The answer names a revision, as the service itself does also where a key does not exist. */
    fun hasRevision(body: JsonObject): Boolean = body.containsKey(REVISION)

    /** The revision of a committed transaction; 0 where the answer has none. */
    fun decodeCommitRevision(body: JsonObject): Long = body.getLong(REVISION) ?: 0

    /** The keys of the preconditions that failed. Throws [JsonDecodingException]. */
    fun decodeFailedKeys(body: JsonObject): List<String> = body.requiredStrings("failed")

    /** A transaction was refused because the lease of a put has ended. */
    fun isLeaseMissing(body: JsonObject): Boolean = body.getString("error") == NO_SUCH_LEASE

    /** One key with its value. Throws [JsonDecodingException]. */
    fun decodeEntry(row: JsonObject) = Entry(row.requiredString(KEY), row.requiredObject(VALUE), row.requiredLong(MOD_REVISION))

    /** One page of a scan. Throws [JsonDecodingException]. */
    fun decodePage(body: JsonObject): ScanPage {
        val entries = body.requiredObjects("rows").map(::decodeEntry)
        return ScanPage(entries, body.requiredLong(REVISION), body.getBoolean("truncated") == true)
    }

    /** The changes that a watch reports. Throws [JsonDecodingException]. */
    fun decodeEvents(body: JsonObject): WatchResult.Events {
        val (puts, deletes) = body.requiredObjects("events").partition { it.getString(PUT) != null }
        return WatchResult.Events(
            body.requiredLong(REVISION),
            puts.map { Entry(it.requiredString(PUT), it.requiredObject(VALUE), it.requiredLong(MOD_REVISION)) },
            deletes.map { Entry(it.requiredString(DELETE), JsonObject(), it.requiredLong(MOD_REVISION)) },
        )
    }
}
