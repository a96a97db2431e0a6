package lichenstage.common

import org.slf4j.LoggerFactory

/**
 * The budget that divides [maxSockets], the sockets that the machine allows, between the uses of the process.
 *
 * If only one controller is left, every worker connects to it, and it could open another connection to each worker for direct orders. This
 * can take more sockets than the machine allows. Users and peers could then no longer connect, and the controller could no longer reach the
 * state service. (In the load check, one controller with 1,600 workers used 3,186 sockets.)
 *
 * Therefore [reservedSockets] are always kept free for the state service, the cloud and the peers. The more connections are served, the
 * fewer may be opened for direct orders. Near the limit, connections of workers are closed with the reply to a heartbeat.
 */
class ConnectionBudget(
    private val maxSockets: Int,
    private val reservedSockets: Int,
) {
    private val log = LoggerFactory.getLogger("lichenstage.app")
    private var isExhaustionLogged = false

    /** The number of open connections of users, workers and health checks. */
    var servedConnections = 0
        private set

    private val sharedSockets get() = maxSockets - reservedSockets

    /** The part of [sharedSockets] that is kept free for users. A user who can't connect can't even be told to retry later. */
    private val userSockets = (sharedSockets / USER_SHARE_DIVISOR).coerceAtLeast(1)

    /** Counts an accepted connection. */
    fun onConnectionOpened() {
        servedConnections++
    }

    /** Removes a closed connection from the count. */
    fun onConnectionClosed() {
        servedConnections--
    }

    /** Returns how many connections to workers may be open for direct orders now. */
    fun maxOrderConnections(): Int =
        (sharedSockets - userSockets - servedConnections).coerceIn(minOrderConnections(), MAX_ORDER_CONNECTIONS)

    /** Returns whether connections of workers must be closed with the reply to a heartbeat. Logs an error the first time this is true. */
    fun isExhausted(): Boolean {
        val isExhausted = servedConnections > sharedSockets - userSockets - minOrderConnections()
        if (isExhausted && !isExhaustionLogged) {
            isExhaustionLogged = true
            log.error(
                "Connection limit reached, closing worker connections after heartbeats servedConnections={} maxSockets={}",
                servedConnections,
                maxSockets,
            )
        }
        return isExhausted
    }

    private fun minOrderConnections() = (sharedSockets / ORDER_SHARE_DIVISOR).coerceIn(1, MAX_ORDER_CONNECTIONS)

    private companion object {
        /** The shared sockets are divided by this number to get the sockets that are kept free for users. */
        const val USER_SHARE_DIVISOR = 8

        /** The shared sockets are divided by this number to get the minimum that is available for direct orders. */
        const val ORDER_SHARE_DIVISOR = 16

        /** The limit for thousands of machines: open connections to all would take more memory than reopening some of them is worth. */
        const val MAX_ORDER_CONNECTIONS = 700
    }
}
