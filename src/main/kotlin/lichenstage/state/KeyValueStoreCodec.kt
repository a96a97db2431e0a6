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

/** The paths and JSON documents of the state service protocol. No other file uses the names of this protocol. */
internal object KeyValueStoreCodec {
    /** One page of a scan. [isTruncated] says whether more keys follow. */
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

    /** The commas after a change and after its precondition. */
    private const val SEPARATOR_BYTES = 2

    /** Returns the path of one key. */
    fun keyPath(key: String) = "/kv/$key"

    /** Returns the path of the next page of a scan: keys with [prefix] after [lastKey], or from the first key on if that is null. */
    fun scanPath(
        prefix: String,
        lastKey: String?,
    ): String {
        val since = if (lastKey == null) "" else "&since=$lastKey"
        return "/kv?prefix=$prefix$since&most=$PAGE_SIZE"
    }

    /** Returns the path of the changes after a revision to keys with [prefix]. The service replies within [waitMs] milliseconds. */
    fun watchPath(
        prefix: String,
        afterRevision: Long,
        waitMs: Long,
    ) = "/changes?prefix=$prefix&since=$afterRevision&wait_ms=$waitMs"

    /** Returns the path of one lease. */
    fun leasePath(leaseId: Long) = "$LEASES_PATH/$leaseId"

    /** Returns the path that renews a lease. */
    fun leaseRenewalPath(leaseId: Long) = "${leasePath(leaseId)}/renew"

    /** Returns the body of a transaction. */
    fun encodeTransaction(
        preconditions: List<Precondition>,
        changes: List<Change>,
    ): JsonObject =
        JsonObject()
            .put("guards", JsonArray(preconditions.map { JsonObject().put(KEY, it.key).put(MOD_REVISION, it.modRevision) }))
            .put("then", JsonArray(changes.map(::encodeChange)))

    private fun encodeChange(change: Change): JsonObject =
        when (change) {
            is Change.Put -> JsonObject().put(PUT, change.key).put(VALUE, change.value).apply { change.leaseId?.let { put(LEASE, it) } }
            is Change.Delete -> JsonObject().put(DELETE, change.key)
        }

    /** Returns an upper bound for the encoded size of a change and of a precondition on its key, in bytes. */
    fun maxEncodedBytes(change: Change): Int {
        val precondition = JsonObject().put(KEY, change.key).put(MOD_REVISION, Long.MAX_VALUE)
        return encodeChange(change).toBuffer().length() + precondition.toBuffer().length() + SEPARATOR_BYTES
    }

    /** Returns the body of a request for a lease that lasts [durationUs]. */
    fun encodeLeaseRequest(durationUs: Long): JsonObject = JsonObject().put("life_ms", durationUs / MILLI)

    /** Returns the ID of a granted lease; null if the reply has none. */
    fun decodeLease(body: JsonObject): Long? = body.getLong(LEASE)

    /** Returns whether the reply has a revision. Replies of the service itself have one even if the key does not exist. */
    fun hasRevision(body: JsonObject): Boolean = body.containsKey(REVISION)

    /** Returns the revision of a committed transaction; 0 if the reply has none. */
    fun decodeCommitRevision(body: JsonObject): Long = body.getLong(REVISION) ?: 0

    /** Returns the keys of the failed preconditions. Throws [JsonDecodingException]. */
    fun decodeFailedKeys(body: JsonObject): List<String> = body.requiredStrings("failed")

    /** Returns whether a transaction was refused because the lease of a put has ended. */
    fun isLeaseMissing(body: JsonObject): Boolean = body.getString("error") == NO_SUCH_LEASE

    /** Returns one key with its value. Throws [JsonDecodingException]. */
    fun decodeEntry(row: JsonObject) = Entry(row.requiredString(KEY), row.requiredObject(VALUE), row.requiredLong(MOD_REVISION))

    /** Returns one page of a scan. Throws [JsonDecodingException]. */
    fun decodePage(body: JsonObject): ScanPage {
        val entries = body.requiredObjects("rows").map(::decodeEntry)
        return ScanPage(entries, body.requiredLong(REVISION), body.getBoolean("truncated") == true)
    }

    /** Returns the changes that a watch reports. Throws [JsonDecodingException]. */
    fun decodeEvents(body: JsonObject): WatchResult.Events {
        val (puts, deletes) = body.requiredObjects("events").partition { it.getString(PUT) != null }
        return WatchResult.Events(
            body.requiredLong(REVISION),
            puts.map { Entry(it.requiredString(PUT), it.requiredObject(VALUE), it.requiredLong(MOD_REVISION)) },
            deletes.map { Entry(it.requiredString(DELETE), JsonObject(), it.requiredLong(MOD_REVISION)) },
        )
    }
}
