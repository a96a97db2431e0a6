package lichenstage.cluster

/**
 * Whether another controller sends its pings at the pace that it should: one whose event loop is late sends fewer. They are counted
 * over [windowUs] rather than timed one by one, since the receiver may itself be the one that is late.
 */
internal class PingPunctuality(
    private val windowUs: Long,
    periodUs: Long,
) {
    private val needed = (windowUs / periodUs * NEEDED_SHARE).toInt()
    private val pings = ArrayDeque<Long>()

    /** A ping has come. */
    fun pinged(now: Long) {
        pings.addLast(now)
        dropOld(now)
    }

    /** Nearly all pings of the window have come. */
    fun isPunctual(now: Long): Boolean {
        dropOld(now)
        return pings.size >= needed
    }

    private fun dropOld(now: Long) {
        while (pings.isNotEmpty() && now - pings.first() > windowUs) pings.removeFirst()
    }

    private companion object {
        const val NEEDED_SHARE = 0.8
    }
}
