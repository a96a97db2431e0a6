package lichenstage.standin

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.http.HttpServerRequest
import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import java.util.TreeMap

/**
 * A stand-in for the state service, written from its protocol: keys, transactions with preconditions, leases and watches. A transaction
 * that exceeds a limit is refused with status 400, as the protocol says. [maxChanges] and [maxValueBytes] are limits of the deployment.
 */
internal class StateStandIn(
    private val vertx: Vertx,
    private val port: Int,
    private val maxChanges: Int = 48,
    private val maxValueBytes: Int = 16 * 1024,
) {
    /** The value of a key. [revision] is that of its last change. The key is deleted when [lease] ends; null if it has no lease. */
    private class Row(
        val value: JsonObject,
        val revision: Long,
        val lease: Long?,
    )

    private class Lease(
        val durationMs: Long,
        val expiresAtMs: Long,
    )

    /** A change of a key. A null [value] means that the key was deleted. */
    private class Change(
        val key: String,
        val revision: Long,
        val value: JsonObject?,
    )

    /** A pending request for the changes of keys with [prefix] after [sinceRevision]. */
    private class Watch(
        val prefix: String,
        val sinceRevision: Long,
        val request: HttpServerRequest,
        var timer: Long = 0,
    )

    private val rows = TreeMap<String, Row>()
    private val changes = ArrayList<Change>()
    private val leases = HashMap<Long, Lease>()
    private val watches = ArrayList<Watch>()
    private var revision = 0L
    private var lastLease = 0L

    /** Starts the HTTP server, waits until it listens, and starts to expire leases. */
    fun start() {
        vertx.serveJson(port, ::route).join()
        vertx.setPeriodic(EXPIRY_CHECK_MS) { expireLeases() }
    }

    private fun route(
        request: HttpServerRequest,
        body: JsonObject,
    ) {
        val path = request.path()
        when {
            path == "/txn" -> transact(request, body)
            path == "/changes" -> watch(request)
            path == "/kv" -> scan(request)
            path.startsWith("/kv/") -> get(request, path.removePrefix("/kv/"))
            path == "/leases" -> grantLease(request, body.getLong("life_ms"))
            path.endsWith("/renew") -> renewLease(request, path.split('/')[2].toLong())
            path.startsWith("/leases/") && request.method() == HttpMethod.DELETE -> deleteLease(request, path.split('/')[2].toLong())
            else -> reply(request, 404, JsonObject())
        }
    }

    private fun reply(
        request: HttpServerRequest,
        status: Int,
        body: JsonObject,
    ) {
        if (!request.response().ended() && !request.response().closed()) request.response().setStatusCode(status).end(body.toBuffer())
    }

    private fun get(
        request: HttpServerRequest,
        key: String,
    ) {
        val row = rows[key] ?: return reply(request, 404, JsonObject().put("ledger_rev", revision))
        reply(request, 200, rowJson(key, row))
    }

    private fun rowJson(
        key: String,
        row: Row,
    ) = JsonObject().put("k", key).put("value", row.value).put("stamp", row.revision)

    /** Replies with a page of the keys that start with a prefix. */
    private fun scan(request: HttpServerRequest) {
        val prefix = request.getParam("prefix")
        val afterKey = request.getParam("since") ?: ""
        val limit = request.getParam("most")?.toInt() ?: DEFAULT_PAGE_SIZE
        val matchingRows = rows.filterKeys { it.startsWith(prefix) && it > afterKey }.entries.toList()
        val page = JsonArray(matchingRows.take(limit).map { rowJson(it.key, it.value) })
        reply(request, 200, JsonObject().put("rows", page).put("truncated", matchingRows.size > limit).put("ledger_rev", revision))
    }

    /** Executes the operations of a transaction if all preconditions hold. Revision 0 in a precondition means that the key is absent. */
    private fun transact(
        request: HttpServerRequest,
        body: JsonObject,
    ) {
        val preconditions = (body.getJsonArray("guards") ?: JsonArray()).map { it as JsonObject }
        val operations = (body.getJsonArray("then") ?: JsonArray()).map { it as JsonObject }
        findExceededLimit(body, preconditions, operations)?.let { return reply(request, 400, JsonObject().put("error", it)) }
        val failedKeys = preconditions.filter { (rows[it.getString("k")]?.revision ?: 0L) != it.getLong("stamp") }.map { it.getString("k") }
        if (failedKeys.isNotEmpty()) {
            return reply(request, 409, JsonObject().put("failed", JsonArray(failedKeys)).put("ledger_rev", revision))
        }
        if (operations.any { it.getLong("tenancy") != null && it.getLong("tenancy") !in leases }) {
            return reply(request, 400, JsonObject().put("error", "no such lease"))
        }
        revision++
        for (operation in operations) {
            val key = operation.getString("put")
            if (key != null) {
                rows[key] = Row(operation.getJsonObject("value"), revision, operation.getLong("tenancy"))
                changes += Change(key, revision, operation.getJsonObject("value"))
            } else {
                delete(operation.getString("delete"))
            }
        }
        reply(request, 200, JsonObject().put("ledger_rev", revision))
        notifyWatches()
    }

    /** Returns which limit a transaction exceeds; null if it exceeds none. */
    private fun findExceededLimit(
        body: JsonObject,
        preconditions: List<JsonObject>,
        operations: List<JsonObject>,
    ): String? =
        when {
            body.toBuffer().length() > MAX_TRANSACTION_BYTES -> "transaction too large"
            operations.size > maxChanges -> "too many changes"
            preconditions.size > PRECONDITIONS_PER_CHANGE * maxChanges -> "too many preconditions"
            operations.any { (it.getJsonObject("value")?.toBuffer()?.length() ?: 0) > maxValueBytes } -> "value too large"
            else -> null
        }

    private fun delete(key: String) {
        if (rows.remove(key) != null) changes += Change(key, revision, null)
    }

    private fun grantLease(
        request: HttpServerRequest,
        durationMs: Long,
    ) {
        leases[++lastLease] = Lease(durationMs, System.currentTimeMillis() + durationMs)
        reply(request, 200, JsonObject().put("tenancy", lastLease))
    }

    private fun renewLease(
        request: HttpServerRequest,
        lease: Long,
    ) {
        val durationMs = leases[lease]?.durationMs ?: return reply(request, 404, JsonObject())
        leases[lease] = Lease(durationMs, System.currentTimeMillis() + durationMs)
        reply(request, 200, JsonObject())
    }

    private fun deleteLease(
        request: HttpServerRequest,
        lease: Long,
    ) {
        if (leases.containsKey(lease)) removeLease(lease)
        reply(request, 200, JsonObject())
    }

    private fun expireLeases() {
        val nowMs = System.currentTimeMillis()
        leases
            .filterValues { it.expiresAtMs < nowMs }
            .keys
            .toList()
            .forEach(::removeLease)
    }

    /** Removes a lease and deletes the keys that were written under it. */
    private fun removeLease(lease: Long) {
        leases.remove(lease)
        revision++
        rows
            .filterValues { it.lease == lease }
            .keys
            .toList()
            .forEach(::delete)
        notifyWatches()
    }

    /** Replies with the changes since a revision, or waits for the first change until the time limit of the request. */
    private fun watch(request: HttpServerRequest) {
        val watch = Watch(request.getParam("prefix"), request.getParam("since").toLong(), request)
        if (!replyWithChanges(watch, false)) {
            watches += watch
            watch.timer = vertx.setTimer((request.getParam("wait_ms")?.toLong() ?: 0).coerceAtLeast(1)) { endWatch(watch) }
        }
    }

    /** Replies without changes at the time limit of a watch. */
    private fun endWatch(watch: Watch) {
        watches.remove(watch)
        replyWithChanges(watch, true)
    }

    private fun notifyWatches() =
        watches.toList().forEach {
            if (replyWithChanges(it, false)) {
                vertx.cancelTimer(it.timer)
                watches.remove(it)
            }
        }

    /**
     * Replies with the changes since the revision of the watch. If there are none, replies only if [shouldReplyIfEmpty] is set. Returns
     * whether it has replied.
     */
    private fun replyWithChanges(
        watch: Watch,
        shouldReplyIfEmpty: Boolean,
    ): Boolean {
        val changeRows =
            changes.filter { it.revision > watch.sinceRevision && it.key.startsWith(watch.prefix) }.map {
                val row = JsonObject().put("stamp", it.revision)
                if (it.value != null) row.put("put", it.key).put("value", it.value) else row.put("delete", it.key)
            }
        if (changeRows.isEmpty() && !shouldReplyIfEmpty) return false
        reply(watch.request, 200, JsonObject().put("ledger_rev", revision).put("events", JsonArray(changeRows)))
        return true
    }

    private companion object {
        const val EXPIRY_CHECK_MS = 50L
        const val MAX_TRANSACTION_BYTES = 64 * 1024
        const val PRECONDITIONS_PER_CHANGE = 4
        const val DEFAULT_PAGE_SIZE = 1000
    }
}
