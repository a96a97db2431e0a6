package lichenstage.state

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.delay
import lichenstage.common.Address
import lichenstage.common.Clock
import lichenstage.common.JsonHttp
import lichenstage.common.JsonHttp.Companion.parsed
import lichenstage.common.SECOND

/** A key with its value and the revision of its last change. */
data class Entry(
    val key: String,
    val value: JsonObject,
    val stamp: Long,
)

/** One change within a transaction. */
sealed interface Change {
    val key: String

    /** Write a key. */
    data class Put(
        override val key: String,
        val value: JsonObject,
        val lease: Long? = null,
    ) : Change

    /** Delete a key. */
    data class Delete(
        override val key: String,
    ) : Change
}

/** What became of a transaction. */
sealed interface TransactionResult {
    /** It was applied, at this revision. */
    data class Committed(
        val revision: Long,
    ) : TransactionResult

    /** A condition did not hold; [failed] names keys of which that is known. */
    data class Conflict(
        val failed: List<String> = emptyList(),
    ) : TransactionResult

    /** The lease of a put has ended. */
    data object LeaseExpired : TransactionResult

    /** The service has said that it did nothing. */
    data object Rejected : TransactionResult

    /** Nobody knows: it may still be applied later, so every transaction carries its own guards. */
    data object Indeterminate : TransactionResult
}

/** An answer of a read: there, not there, or not to be had. */
sealed interface ReadResult {
    /** The key with its value. */
    data class Found(
        val entry: Entry,
    ) : ReadResult

    data object NotFound : ReadResult

    data object Unavailable : ReadResult
}

/** What a watch brought. */
sealed interface WatchResult {
    /** What has changed up to a revision. */
    data class Events(
        val revision: Long,
        val puts: List<Entry>,
        val deletes: List<Entry>,
    ) : WatchResult

    data object Compacted : WatchResult

    data object Unavailable : WatchResult
}

/** What became of the renewal of a lease. */
enum class LeaseRenewal {
    RENEWED,

    /** There is no such lease any more. */
    EXPIRED,

    /** No answer, or one that decides nothing. */
    INDETERMINATE,
}

/** What the decisions about records need of the state service; a model of it stands in where they are tested. */
interface KeyValueStore {
    /** Reads one key. */
    suspend fun get(
        key: String,
        timeoutMs: Long = 1500,
    ): ReadResult

    /** Bulk work ([urgent] false) takes what leases, users' requests and the ends of jobs leave. */
    suspend fun txn(
        guards: Map<String, Long>,
        changes: List<Change>,
        timeoutMs: Long = 2000,
        urgent: Boolean = true,
    ): TransactionResult
}

/** The scan of a prefix, whole, with the revision from which a watch goes on. */
data class Scan(
    val entries: List<Entry>,
    val revision: Long,
)

/**
 * Speaks to the state service. Nothing here decides; unclear outcomes are told as such.
 *
 * The service's limits hold for all controllers together: each keeps to a share of them, [writeShare] of the changes (the leader
 * needs more than the others) and an equal part of the requests.
 */
class KeyValueStoreClient(
    vertx: Vertx,
    address: Address,
    clock: Clock,
    controllers: Int,
    rps: Double,
    writeRps: Double,
    writeShare: () -> Double,
) : KeyValueStore {
    private val http = JsonHttp(vertx, address, connections = REQUESTS, queue = 2000)

    /** Watches stay open for long: they have connections of their own, and so have leases, so that nothing holds up a renewal. */
    private val watches = JsonHttp(vertx, address, connections = WATCHES, queue = 6)
    private val leases = JsonHttp(vertx, address, connections = LEASES, queue = 3)
    private val reads = RateBudget(clock) { rps / controllers }
    private val writes = RateBudget(clock) { writeRps * writeShare() }

    override suspend fun get(
        key: String,
        timeoutMs: Long,
    ): ReadResult {
        reads.take()
        val (status, body) = http.call(HttpMethod.GET, "/kv/$key", null, timeoutMs) ?: return ReadResult.Unavailable
        return when {
            status == 200 -> parsed { entry(body) }?.let { ReadResult.Found(it) } ?: ReadResult.Unavailable
            status == 404 && body.containsKey("ledger_rev") -> ReadResult.NotFound
            else -> ReadResult.Unavailable
        }
    }

    /** All keys with a prefix, or null. The revision is that of the first page, so a watch misses nothing. */
    suspend fun scan(prefix: String): Scan? {
        val entries = ArrayList<Entry>()
        var revision = -1L
        while (true) {
            reads.take(urgent = false)
            val since = if (entries.isEmpty()) "" else "&since=${entries.last().key}"
            val (status, body) = http.call(HttpMethod.GET, "/kv?prefix=$prefix$since&most=200", null, 4000) ?: return null
            if (status != 200) return null
            val page = parsed { Scan(body.getJsonArray("rows").map { entry(it as JsonObject) }, body.getLong("ledger_rev")) } ?: return null
            if (revision < 0) revision = page.revision
            entries += page.entries
            if (body.getBoolean("truncated") != true) return Scan(entries, revision)
        }
    }

    override suspend fun txn(
        guards: Map<String, Long>,
        changes: List<Change>,
        timeoutMs: Long,
        urgent: Boolean,
    ): TransactionResult {
        reads.take(urgent = urgent)
        if (changes.isNotEmpty()) writes.take(changes.size, urgent)
        val request =
            JsonObject()
                .put("guards", JsonArray(guards.map { (key, stamp) -> JsonObject().put("k", key).put("stamp", stamp) }))
                .put("then", JsonArray(changes.map(::encode)))
        val (status, body) = http.call(HttpMethod.POST, "/txn", request, timeoutMs) ?: return TransactionResult.Indeterminate
        return when (status) {
            200 -> TransactionResult.Committed(body.getLong("ledger_rev") ?: 0)
            409 -> TransactionResult.Conflict(parsed { body.getJsonArray("failed").map { it as String } } ?: emptyList())
            400 -> if (body.getString("error") == "no such lease") TransactionResult.LeaseExpired else TransactionResult.Conflict()
            429, 503 -> TransactionResult.Rejected
            else -> TransactionResult.Indeterminate
        }
    }

    /** Grants a lease; null where that failed. */
    suspend fun grant(lifeUs: Long): Long? {
        val answer = leases.call(HttpMethod.POST, "/leases", JsonObject().put("life_ms", lifeUs / 1000), 1500)
        return answer?.takeIf { it.status == 200 }?.body?.getLong("tenancy")
    }

    /** Renews a lease. */
    suspend fun renew(lease: Long): LeaseRenewal {
        val answer = leases.call(HttpMethod.POST, "/leases/$lease/renew", JsonObject(), 1200)
        return when (answer?.status) {
            200 -> LeaseRenewal.RENEWED
            404 -> LeaseRenewal.EXPIRED
            else -> LeaseRenewal.INDETERMINATE
        }
    }

    /** Ends a lease at once; false where that is not known to have happened. */
    suspend fun revoke(lease: Long): Boolean =
        leases.call(HttpMethod.DELETE, "/leases/$lease", null, 1500)?.status.let { it == 200 || it == 404 }

    /** Waits for changes under a prefix after a revision. */
    suspend fun changes(
        prefix: String,
        since: Long,
        waitMs: Long,
    ): WatchResult {
        reads.take()
        val path = "/changes?prefix=$prefix&since=$since&wait_ms=$waitMs"
        val (status, body) = watches.call(HttpMethod.GET, path, null, waitMs + 3000) ?: return WatchResult.Unavailable
        if (status == 410) return WatchResult.Compacted
        if (status != 200) return WatchResult.Unavailable
        return parsed { events(body) } ?: WatchResult.Unavailable
    }

    private fun events(body: JsonObject): WatchResult.Events {
        val (puts, deletes) = body.getJsonArray("events").map { it as JsonObject }.partition { it.getString("put") != null }
        return WatchResult.Events(
            body.getLong("ledger_rev"),
            puts.map { Entry(it.getString("put"), it.getJsonObject("value"), it.getLong("stamp")) },
            deletes.map { Entry(it.getString("delete"), JsonObject(), it.getLong("stamp")) },
        )
    }

    private fun entry(row: JsonObject) = Entry(row.getString("k"), row.getJsonObject("value"), row.getLong("stamp"))

    private fun encode(change: Change) =
        when (change) {
            is Change.Put -> {
                JsonObject().put("put", change.key).put("value", change.value).apply { change.lease?.let { put("tenancy", it) } }
            }

            is Change.Delete -> {
                JsonObject().put("delete", change.key)
            }
        }

    companion object {
        private const val REQUESTS = 24
        private const val WATCHES = 6
        private const val LEASES = 3

        /** The most connections that this client has. */
        const val SOCKETS = REQUESTS + WATCHES + LEASES
    }
}

/**
 * Keeps a process within its share of a rate. What is urgent goes at once and may run into debt, which is then waited for; the
 * rest waits until there is enough left beside it.
 */
class RateBudget(
    private val clock: Clock,
    private val perSecond: () -> Double,
) {
    private var tokens = 0.0
    private var refilledUs = Long.MIN_VALUE

    /** Takes a share of the rate, later where there is none left. */
    suspend fun take(
        units: Int = 1,
        urgent: Boolean = true,
    ) {
        while (true) {
            val waitMs = wait(units, urgent)
            if (waitMs > 0) delay(waitMs)
            if (urgent || waitMs == 0L) return
        }
    }

    /** How long to wait, in milliseconds. What is urgent has been taken with that, the rest only where it is 0. */
    fun wait(
        units: Int,
        urgent: Boolean,
    ): Long {
        val rate = perSecond()
        val now = clock.now()
        // Half a second's worth may be saved up: bursts are allowed one second's worth over all processes.
        val most = maxOf(rate / 2, 1.0)
        tokens = if (refilledUs == Long.MIN_VALUE) most else minOf(most, tokens + (now - refilledUs) * rate / SECOND)
        refilledUs = now
        val short = if (urgent) units - tokens else minOf(units.toDouble(), most) - tokens
        if (urgent || short <= 0) tokens -= units
        return if (short <= 0) 0 else (short / rate * 1000).toLong() + 1
    }
}
