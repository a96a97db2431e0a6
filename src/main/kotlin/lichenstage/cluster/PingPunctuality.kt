package lichenstage.cluster

/**
 * The punctuality of another controller: whether it sends its pings at the expected rate. A controller whose event loop lags sends fewer.
 *
 * Pings are counted over [windowUs] and not timed one by one, since the event loop of the receiver may be the one that lags.
 */
internal class PingPunctuality(
    private val windowUs: Long,
    intervalUs: Long,
) {
    private val requiredPings = (windowUs / intervalUs * REQUIRED_SHARE).toInt()
    private val receivedAtUs = ArrayDeque<Long>()

    /** Records a ping received at [nowUs]. */
    fun onPingReceived(nowUs: Long) {
        receivedAtUs.addLast(nowUs)
        dropExpired(nowUs)
    }

    /** Returns whether at least [REQUIRED_SHARE] of the pings expected in the window ending at [nowUs] have arrived. */
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
