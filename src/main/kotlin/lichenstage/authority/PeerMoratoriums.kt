package lichenstage.authority

import lichenstage.common.SECOND
import lichenstage.common.withDrift

/**
 * What the other controllers have promised while the state service answers nobody: to take no key for a moment.
 *
 * Only a controller can take a key. As long as every other one is bound, nobody can take ours, whatever becomes of our lease, so
 * authority may go on through an outage for as long as all others are heard. Guards against workers whose leases run out, with all
 * that they run, because no controller dared to answer them.
 */
class PeerMoratoriums(
    private val others: Set<String>,
) {
    private val untilUs = HashMap<String, Long>()

    /** [other] answered a question that was asked at [askedUs]: it was bound no earlier than that. */
    fun granted(
        other: String,
        askedUs: Long,
    ) {
        untilUs.merge(other, askedUs + MORATORIUM_US, ::maxOf)
    }

    /** Until when nobody can take a key of ours; in the past where that can't be said. */
    fun grantedUntilUs(): Long = if (others.isEmpty()) Long.MIN_VALUE else others.minOf { untilUs[it] ?: Long.MIN_VALUE }

    companion object {
        const val MORATORIUM_US = 2 * SECOND
    }
}

/** The other side: this process takes no key while it is bound, nor while a process before it may have been. */
class LocalMoratorium(
    startedUs: Long,
) {
    private var grantedUntilUs = startedUs + withDrift(PeerMoratoriums.MORATORIUM_US) + MARGIN_US

    /** Pledges to take no key for a moment. */
    fun grant(now: Long) {
        grantedUntilUs = maxOf(grantedUntilUs, now + withDrift(PeerMoratoriums.MORATORIUM_US) + MARGIN_US)
    }

    /** No pledge stands in the way of taking a key. */
    fun hasExpired(now: Long) = now > grantedUntilUs

    private companion object {
        const val MARGIN_US = SECOND / 10
    }
}
