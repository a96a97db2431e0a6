package lichenstage.partition

/**
 * A pool of connections to workers, at most one idle connection for each address.
 *
 * Connections in use and idle ones together never exceed [maxConnections]; where another address needs a place, the idle connection that
 * was used longest ago is closed. A place is taken before a connection is attempted, so that attempts count too.
 *
 * @param A the type of an address
 * @param C the type of a connection
 * @property maxConnections the limit, which may change over time
 * @property close closes a connection
 */
class ConnectionPool<A : Any, C : Any>(
    private val maxConnections: () -> Int,
    private val close: (C) -> Unit,
) {
    private class IdleConnection<C>(
        val connection: C,
        val sinceUs: Long,
    )

    private val idle = LinkedHashMap<A, IdleConnection<C>>()

    /** Number of places that are taken: connections in use or being made. */
    var inUse = 0
        private set

    /** Number of connections in use, being made, or idle. */
    val open get() = inUse + idle.size

    /** How many more connections may be used at once. */
    val available get() = (maxConnections() - inUse).coerceAtLeast(0)

    /** Takes a place and returns the idle connection to [address], or null where the caller has to make one. */
    fun acquire(address: A): C? {
        inUse++
        val pooled = idle.remove(address)
        closeExcess()
        return pooled?.connection
    }

    /** Returns a place, with its [connection] where that can be used again. */
    fun release(
        address: A,
        connection: C?,
        now: Long,
    ) {
        inUse--
        if (connection == null) return
        idle.remove(address)?.let { close(it.connection) }
        idle[address] = IdleConnection(connection, now)
        closeExcess()
    }

    /** Forgets an idle connection that the other end has closed. */
    fun onClosedByPeer(
        address: A,
        connection: C,
    ) {
        if (idle[address]?.connection === connection) idle.remove(address)
    }

    /** Closes the connections that have been idle since before [beforeUs]. */
    fun closeIdleSince(beforeUs: Long) {
        while (idle.isNotEmpty() && idle.values.first().sinceUs < beforeUs) closeEldest()
    }

    private fun closeExcess() {
        while (open > maxConnections() && idle.isNotEmpty()) closeEldest()
    }

    private fun closeEldest() {
        val eldest = idle.entries.first()
        idle.remove(eldest.key)
        close(eldest.value.connection)
    }
}
