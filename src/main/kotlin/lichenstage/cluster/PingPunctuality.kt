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
    private val receivedAtUs = ArrayDeque<Long>()

    /** A ping has come. */
    fun onPingReceived(nowUs: Long) {
        receivedAtUs.addLast(nowUs)
        dropExpired(nowUs)
    }

    /** Nearly all pings of the window have come. */
    fun isPunctual(nowUs: Long): Boolean {
        dropExpired(nowUs)
        return receivedAtUs.size >= requiredPings
    }

    private fun dropExpired(nowUs: Long) {
        while (receivedAtUs.isNotEmpty() && nowUs - receivedAtUs.first() > windowUs) receivedAtUs.removeFirst()
    }

    private companion object {
        const val REQUIRED_SHARE = 0.8
    }
}
