package lichenstage.common

import org.slf4j.LoggerFactory

/**
 * Divides the sockets that the machine allows, [maxSockets], between the uses of the process.
 *
 * Guards against failing because all clients arrive at once: a controller that is left alone serves a connection of every worker and could
 * open another to each for orders, which is more than the machine has; users, peers and the state service would no longer get through.
 * [reserved] sockets (state service, cloud, peers) are always kept free; the more connections are served, the fewer may be opened for
 * orders; and near the limit, heartbeats are answered on connections that are closed with the response. (Seen in the load check: 3,186
 * sockets with 1,600 workers on one controller.)
 */
class ConnectionBudget(
    private val maxSockets: Int,
    private val reservedSockets: Int,
) {
    private val log = LoggerFactory.getLogger("lichenstage.app")
    private var exhaustionLogged = false

    /** Open connections of users, workers and health checks. */
    var servedConnections = 0
        private set

    private val sharedSockets get() = maxSockets - reservedSockets

    /** The part of [sharedSockets] that is kept free for users: a user who can't connect can't be asked to retry later either. */
    private val userSockets = (sharedSockets / USER_SHARE_DIVISOR).coerceAtLeast(1)

    /** A connection was accepted. */
    fun onConnectionOpened() {
        servedConnections++
    }

    /** An accepted connection has ended. */
    fun onConnectionClosed() {
        servedConnections--
    }

    /** How many connections to workers may be open for orders now. */
    fun maxOrderConnections(): Int =
        (sharedSockets - userSockets - servedConnections).coerceIn(minOrderConnections(), MAX_ORDER_CONNECTIONS)

    /** Whether connections of workers have to be closed with the response. Logs the first time that this is the case. */
    fun isExhausted(): Boolean {
        val exhausted = servedConnections > sharedSockets - userSockets - minOrderConnections()
        if (exhausted && !exhaustionLogged) {
            exhaustionLogged = true
            log.error(
                "Connections exhausted, heartbeats are answered with Connection: close served={} max_sockets={}",
                servedConnections,
                maxSockets,
            )
        }
        return exhausted
    }

    private fun minOrderConnections() = (sharedSockets / ORDER_SHARE_DIVISOR).coerceIn(1, MAX_ORDER_CONNECTIONS)

    private companion object {
        /** Users get one part in so many of the shared sockets. */
        const val USER_SHARE_DIVISOR = 8

        /** Orders get at least one part in so many of the shared sockets. */
        const val ORDER_SHARE_DIVISOR = 16

        /** Keeping a connection open for each of thousands of machines would take more memory than reopening some is worth. */
        const val MAX_ORDER_CONNECTIONS = 700
    }
}
