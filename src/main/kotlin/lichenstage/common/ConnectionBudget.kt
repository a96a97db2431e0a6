package lichenstage.common

import org.slf4j.LoggerFactory

/**
 * How the process's sockets are shared out, of [most] that its machine has.
 *
 * Guards against failing because everybody came at once: one controller that is left alone has a connection of every worker for
 * its reports and could have another to each for orders, more than the machine has; then no user, no peer and no call of the
 * state service gets through. What is [fixed] (state service, cloud, peers) is kept free; connections for orders are few where
 * many are served; and where even those that are served come close to the end, reports are answered on connections that are
 * closed with the answer. (Seen in the load check: 3,186 sockets with 1,600 workers on one controller.)
 */
class ConnectionBudget(
    private val most: Int,
    private val fixed: Int,
) {
    private val log = LoggerFactory.getLogger("lichenstage.app")
    private var told = false

    /** Connections of users, workers and health checks. */
    var served = 0
        private set

    private val shared get() = most - fixed

    /** What of [shared] is kept free for users: they can't be told to come back if they can't connect. */
    private val forUsers = (shared / 8).coerceAtLeast(1)

    /** A connection was accepted. */
    fun opened() {
        served++
    }

    /** An accepted connection has ended. */
    fun closed() {
        served--
    }

    /** How many connections to workers may be open for orders. */
    fun forOrders(): Int = (shared - forUsers - served).coerceIn(leastOrders(), MOST_ORDERS)

    /** Connections of workers are to be closed with the answer. */
    fun crowded(): Boolean {
        val crowded = served > shared - forUsers - leastOrders()
        if (crowded && !told) {
            told = true
            log.error("{} connections are served and max_sockets is {}: reports are answered on connections that are closed", served, most)
        }
        return crowded
    }

    private fun leastOrders() = (shared / 16).coerceIn(1, MOST_ORDERS)

    private companion object {
        /** An open connection for each of hundreds of machines costs more memory than opening some anew. */
        const val MOST_ORDERS = 700
    }
}
