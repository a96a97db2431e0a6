package lichenstage.partition

/**
 * A pool of connections to workers with at most one idle connection per address.
 *
 * The number of connections, in use and idle, is limited by [maxConnections]. If a connection to another address is needed at the limit,
 * the least recently used idle connection is closed. A slot is taken before a connection is attempted, so connection attempts count as
 * connections in use.
 *
 * The pool does not reject a caller: callers check [availableCount] before they call [acquire].
 *
 * @param A the type of an address
 * @param C the type of a connection
 * @property maxConnections returns the current limit
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

    /** The number of connections that are in use or being established. */
    var inUseCount = 0
        private set

    /** The number of connections that are in use, being established or idle. */
    val openCount get() = inUseCount + idleByAddress.size

    /** The number of additional connections that may be in use. */
    val availableCount get() = (maxConnections() - inUseCount).coerceAtLeast(0)

    /** Takes a slot. Returns the idle connection to [address], or null if the caller has to establish one. */
    fun acquire(address: A): C? {
        inUseCount++
        val idleConnection = idleByAddress.remove(address)
        closeExcessIdle()
        return idleConnection?.connection
    }

    /** Frees a slot and keeps [connection] for later use; null if the connection failed or cannot be used again. */
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

    /** Removes an idle connection that the worker has closed. */
    fun onClosedByPeer(
        address: A,
        connection: C,
    ) {
        if (idleByAddress[address]?.connection === connection) idleByAddress.remove(address)
    }

    /** Closes the connections that have been idle since a time before [beforeUs]. */
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
