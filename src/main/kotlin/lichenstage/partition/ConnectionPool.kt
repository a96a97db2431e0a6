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
 * @property closeConnection closes a connection
 */
class ConnectionPool<A : Any, C : Any>(
    private val maxConnections: () -> Int,
    private val closeConnection: (C) -> Unit,
) {
    private class IdleConnection<C>(
        val connection: C,
        val idleSinceUs: Long,
    )

    private val idleByAddress = LinkedHashMap<A, IdleConnection<C>>()

    /** Number of places that are taken: connections in use or being made. */
    var inUseCount = 0
        private set

    /** Number of connections in use, being made, or idle. */
    val openCount get() = inUseCount + idleByAddress.size

    /** How many more connections may be used at once. */
    val availableCount get() = (maxConnections() - inUseCount).coerceAtLeast(0)

    /** Takes a place and returns the idle connection to [address], or null where the caller has to make one. */
    fun acquire(address: A): C? {
        inUseCount++
        val idleConnection = idleByAddress.remove(address)
        closeExcessIdle()
        return idleConnection?.connection
    }

    /** Returns a place, with its [connection] where that can be used again. */
    fun release(
        address: A,
        connection: C?,
        nowUs: Long,
    ) {
        inUseCount--
        if (connection == null) return
        idleByAddress.remove(address)?.let { closeConnection(it.connection) }
        idleByAddress[address] = IdleConnection(connection, nowUs)
        closeExcessIdle()
    }

    /** Forgets an idle connection that the other end has closed. */
    fun onClosedByPeer(
        address: A,
        connection: C,
    ) {
        if (idleByAddress[address]?.connection === connection) idleByAddress.remove(address)
    }

    /** Closes the connections that have been idle since before [beforeUs]. */
    fun closeIdleBefore(beforeUs: Long) {
        while (idleByAddress.isNotEmpty() && idleByAddress.values.first().idleSinceUs < beforeUs) closeOldestIdle()
    }

    private fun closeExcessIdle() {
        while (openCount > maxConnections() && idleByAddress.isNotEmpty()) closeOldestIdle()
    }

    private fun closeOldestIdle() {
        val oldest = idleByAddress.entries.first()
        idleByAddress.remove(oldest.key)
        closeConnection(oldest.value.connection)
    }
}
