package lichenstage.partition

/**
 * Connections that may be kept for orders: at most [most] at a time, the ones that are in use among them. One that is idle is closed
 * where another address needs its place, the one that was used longest ago first.
 *
 * Plain code; [C] is a connection and [close] ends it. A place is taken before a connection is tried, so that attempts count too.
 */
class ConnectionPool<A : Any, C : Any>(
    private val most: () -> Int,
    private val close: (C) -> Unit,
) {
    private class Idle<C>(
        val connection: C,
        val sinceUs: Long,
    )

    private val idle = LinkedHashMap<A, Idle<C>>()

    /** Places that are taken: connections in use or being made. */
    var busy = 0
        private set

    val open get() = busy + idle.size

    /** How many more may be in use at once. */
    val free get() = (most() - busy).coerceAtLeast(0)

    /** Takes a place; the connection that is kept for [address], or null where one has to be made. */
    fun take(address: A): C? {
        busy++
        val kept = idle.remove(address)
        while (open > most() && idle.isNotEmpty()) closeEldest()
        return kept?.connection
    }

    /** Gives the place back, with the connection where it can be used again. */
    fun give(
        address: A,
        connection: C?,
        now: Long,
    ) {
        busy--
        if (connection == null) return
        idle.remove(address)?.let { close(it.connection) }
        idle[address] = Idle(connection, now)
        while (open > most() && idle.isNotEmpty()) closeEldest()
    }

    /** The other end has closed it. */
    fun lost(
        address: A,
        connection: C,
    ) {
        if (idle[address]?.connection === connection) idle.remove(address)
    }

    /** Closes what was not used since [beforeUs]. */
    fun sweep(beforeUs: Long) {
        while (idle.isNotEmpty() && idle.values.first().sinceUs < beforeUs) closeEldest()
    }

    private fun closeEldest() {
        val eldest = idle.entries.first()
        idle.remove(eldest.key)
        close(eldest.value.connection)
    }
}
