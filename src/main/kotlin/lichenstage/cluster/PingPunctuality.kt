package lichenstage.cluster

/**
 * Whether another controller sends its pings at the pace that it should: one whose event loop is late sends fewer. They are counted
 * over [windowUs] rather than timed one by one, since the receiver may itself be the one that is late.
 */
internal class PingPunctuality(
    private val windowUs: Long,
    intervalUs: Long,
) {
    private val requiredPings = (windowUs / intervalUs * REQUIRED_SHARE).toInt()
    private val receivedUs = ArrayDeque<Long>()

    /** A ping has come. */
    fun pingReceived(now: Long) {
        receivedUs.addLast(now)
        dropExpired(now)
    }

    /** Nearly all pings of the window have come. */
    fun isPunctual(now: Long): Boolean {
        dropExpired(now)
        return receivedUs.size >= requiredPings
    }

    private fun dropExpired(now: Long) {
        while (receivedUs.isNotEmpty() && now - receivedUs.first() > windowUs) receivedUs.removeFirst()
    }

    private companion object {
        const val REQUIRED_SHARE = 0.8
    }
}
