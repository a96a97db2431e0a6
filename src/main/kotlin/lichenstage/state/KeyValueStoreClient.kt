package lichenstage.state

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.json.JsonObject
import lichenstage.common.Address
import lichenstage.common.Clock
import lichenstage.common.HttpStatus
import lichenstage.common.JsonHttpClient
import lichenstage.common.RateLimitedLog
import lichenstage.common.decodeOrNull
import org.slf4j.LoggerFactory

/**
 * The HTTP client of the state service. It reports unknown outcomes as indeterminate and never retries.
 *
 * The rate limits of the service apply to all controllers together, so each controller keeps to its share. The share of the [rps] requests
 * per second is the same for all. The share of the [writeRps] changes per second is [writeShare], since the leader needs more than others.
 */
class KeyValueStoreClient(
    vertx: Vertx,
    address: Address,
    clock: Clock,
    controllerCount: Int,
    rps: Double,
    writeRps: Double,
    writeShare: () -> Double,
    /** Called for each transaction that the service has refused as invalid. */
    private val onTransactionRefused: () -> Unit = {},
) : KeyValueStore {
    private val log = LoggerFactory.getLogger("lichenstage.state")
    private val refusalLog = RateLimitedLog.of("lichenstage.state", clock)
    private val requestClient =
        JsonHttpClient(vertx, address, maxConnections = REQUEST_CONNECTIONS, maxQueuedRequests = MAX_QUEUED_REQUESTS)

    /** The client for watches, each of which occupies a connection for a long time. */
    private val watchClient = JsonHttpClient(vertx, address, maxConnections = WATCH_CONNECTIONS, maxQueuedRequests = WATCH_CONNECTIONS)

    /** The client for leases. It is separate so that no other request delays a renewal. */
    private val leaseClient = JsonHttpClient(vertx, address, maxConnections = LEASE_CONNECTIONS, maxQueuedRequests = LEASE_CONNECTIONS)
    private val requestLimiter = RequestRateLimiter(clock) { rps / controllerCount }
    private val writeLimiter = RequestRateLimiter(clock) { writeRps * writeShare() }

    override suspend fun get(
        key: String,
        timeoutMs: Long,
    ): ReadResult {
        requestLimiter.acquire()
        val path = KeyValueStoreCodec.keyPath(key)
        val (status, body) = requestClient.call(HttpMethod.GET, path, null, timeoutMs) ?: return ReadResult.Unavailable
        return when {
            status == HttpStatus.OK -> decode { ReadResult.Found(KeyValueStoreCodec.decodeEntry(body)) } ?: ReadResult.Unavailable
            status == HttpStatus.NOT_FOUND && KeyValueStoreCodec.hasRevision(body) -> ReadResult.NotFound
            else -> ReadResult.Unavailable
        }
    }

    /** Reads all keys with a prefix, page by page. The result has the revision of the first page: a watch from there misses no change. */
    suspend fun scan(prefix: String): ScanResult {
        val entries = ArrayList<Entry>()
        var revision: Long? = null
        while (true) {
            val page = scanPage(prefix, entries.lastOrNull()?.key) ?: return ScanResult.Unavailable
            val firstRevision = revision ?: page.revision
            revision = firstRevision
            entries += page.entries
            if (!page.isTruncated) return ScanResult.Complete(entries, firstRevision)
        }
    }

    private suspend fun scanPage(
        prefix: String,
        lastKey: String?,
    ): KeyValueStoreCodec.ScanPage? {
        requestLimiter.acquire(isUrgent = false)
        val path = KeyValueStoreCodec.scanPath(prefix, lastKey)
        val (status, body) = requestClient.call(HttpMethod.GET, path, null, SCAN_TIMEOUT_MS) ?: return null
        return if (status == HttpStatus.OK) decode { KeyValueStoreCodec.decodePage(body) } else null
    }

    override suspend fun commit(
        preconditions: List<Precondition>,
        changes: List<Change>,
        timeoutMs: Long,
        isUrgent: Boolean,
    ): TransactionResult {
        requestLimiter.acquire(isUrgent = isUrgent)
        if (changes.isNotEmpty()) writeLimiter.acquire(changes.size, isUrgent)
        val request = KeyValueStoreCodec.encodeTransaction(preconditions, changes)
        val (status, body) =
            requestClient.call(HttpMethod.POST, KeyValueStoreCodec.TRANSACTION_PATH, request, timeoutMs)
                ?: return TransactionResult.Indeterminate
        return when (status) {
            HttpStatus.OK -> {
                TransactionResult.Committed(KeyValueStoreCodec.decodeCommitRevision(body))
            }

            HttpStatus.CONFLICT -> {
                TransactionResult.Conflict(decode { KeyValueStoreCodec.decodeFailedKeys(body) } ?: emptyList())
            }

            HttpStatus.BAD_REQUEST -> {
                if (KeyValueStoreCodec.isLeaseMissing(body)) return TransactionResult.LeaseExpired
                reportRefusal(preconditions, changes, request, body)
                TransactionResult.Invalid
            }

            HttpStatus.TOO_MANY_REQUESTS, HttpStatus.SERVICE_UNAVAILABLE -> {
                TransactionResult.Rejected
            }

            else -> {
                TransactionResult.Indeterminate
            }
        }
    }

    /** Logs a transaction that the service refused as invalid, with its size, so that the limit that it exceeds can be found. */
    private fun reportRefusal(
        preconditions: List<Precondition>,
        changes: List<Change>,
        request: JsonObject,
        response: JsonObject,
    ) {
        onTransactionRefused()
        refusalLog.info {
            "Transaction refused as invalid firstKey=${changes.firstOrNull()?.key} changes=${changes.size} " +
                "preconditions=${preconditions.size} bytes=${request.toBuffer().length()} reason=${response.encode()}"
        }
    }

    /** Requests a lease that lasts [durationUs] without renewal. */
    suspend fun grantLease(durationUs: Long): LeaseGrant {
        val request = KeyValueStoreCodec.encodeLeaseRequest(durationUs)
        val response = leaseClient.call(HttpMethod.POST, KeyValueStoreCodec.LEASES_PATH, request, LEASE_TIMEOUT_MS)
        val leaseId = response?.takeIf { it.status == HttpStatus.OK }?.let { KeyValueStoreCodec.decodeLease(it.body) }
        return if (leaseId == null) LeaseGrant.Failed else LeaseGrant.Granted(leaseId)
    }

    /** Renews a lease for its full duration from now on. */
    suspend fun renewLease(leaseId: Long): LeaseRenewal {
        val path = KeyValueStoreCodec.leaseRenewalPath(leaseId)
        val response = leaseClient.call(HttpMethod.POST, path, JsonObject(), LEASE_RENEWAL_TIMEOUT_MS)
        return when (response?.status) {
            HttpStatus.OK -> LeaseRenewal.RENEWED
            HttpStatus.NOT_FOUND -> LeaseRenewal.EXPIRED
            else -> LeaseRenewal.INDETERMINATE
        }
    }

    /** Ends a lease at once. The service then deletes the keys attached to it. */
    suspend fun revokeLease(leaseId: Long): LeaseRevocation {
        val response = leaseClient.call(HttpMethod.DELETE, KeyValueStoreCodec.leasePath(leaseId), null, LEASE_TIMEOUT_MS)
        return when (response?.status) {
            HttpStatus.OK, HttpStatus.NOT_FOUND -> LeaseRevocation.REVOKED
            else -> LeaseRevocation.INDETERMINATE
        }
    }

    /** Returns the changes after [afterRevision] to keys with a prefix, and waits up to [waitMs] milliseconds for the first one. */
    suspend fun watch(
        prefix: String,
        afterRevision: Long,
        waitMs: Long,
    ): WatchResult {
        requestLimiter.acquire()
        val path = KeyValueStoreCodec.watchPath(prefix, afterRevision, waitMs)
        val (status, body) = watchClient.call(HttpMethod.GET, path, null, waitMs + WATCH_GRACE_MS) ?: return WatchResult.Unavailable
        return when (status) {
            HttpStatus.OK -> decode { KeyValueStoreCodec.decodeEvents(body) } ?: WatchResult.Unavailable
            HttpStatus.GONE -> WatchResult.Compacted
            else -> WatchResult.Unavailable
        }
    }

    /** Returns the decoded reply; null if the reply does not conform to the protocol, which then counts as no reply. */
    private inline fun <T : Any> decode(read: () -> T): T? =
        decodeOrNull({ log.info("State service reply not decodable reason={}", it.message) }, read)

    companion object {
        private const val REQUEST_CONNECTIONS = 24
        private const val MAX_QUEUED_REQUESTS = 2000
        private const val WATCH_CONNECTIONS = 6
        private const val LEASE_CONNECTIONS = 3
        private const val SCAN_TIMEOUT_MS = 4000L
        private const val LEASE_TIMEOUT_MS = 1500L
        private const val LEASE_RENEWAL_TIMEOUT_MS = 1200L

        /** The time allowed for the reply to a watch beyond the time that the service waits for changes. */
        private const val WATCH_GRACE_MS = 3000L

        /** The maximum number of open connections of this client. */
        const val MAX_CONNECTIONS = REQUEST_CONNECTIONS + WATCH_CONNECTIONS + LEASE_CONNECTIONS
    }
}
