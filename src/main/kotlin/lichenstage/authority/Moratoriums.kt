package lichenstage.authority

import lichenstage.common.SECOND
import lichenstage.common.withDrift

/**
 * The acquisition moratoriums that the other controllers have granted while the state service answers none of them: each acquires no key
 * for [MORATORIUM_US] (invariant 2).
 *
 * Only a controller can acquire a key. As long as every other one is bound, none can acquire ours, whatever becomes of our lease, so
 * authority may go on through an outage for as long as all others are heard from. Guards against workers whose leases expire, with all
 * that they run, because no controller dared to answer them.
 */
class PeerMoratoriums(
    private val peers: Set<String>,
) {
    private val untilUs = HashMap<String, Long>()

    /** [peer] granted a request that was sent at [requestedAtUs]: it was bound no earlier than that. */
    fun recordGrant(
        peer: String,
        requestedAtUs: Long,
    ) {
        untilUs.merge(peer, requestedAtUs + MORATORIUM_US, ::maxOf)
    }

    /** Until when no other controller can acquire a key of ours; in the past where that is not known. */
    fun grantedUntilUs(): Long = if (peers.isEmpty()) Long.MIN_VALUE else peers.minOf { untilUs[it] ?: Long.MIN_VALUE }

    companion object {
        /** How long a controller acquires no key after it has granted a moratorium, by its own clock and without drift. */
        const val MORATORIUM_US = 2 * SECOND
    }
}

/**
 * The moratoriums that this process has granted to other controllers: while one is in force, this process acquires no key. A new process
 * starts with a moratorium from [startedAtUs], since its predecessor may have granted one.
 */
class LocalMoratorium(
    startedAtUs: Long,
) {
    private var grantedUntilUs = untilUs(startedAtUs)

    /** Grants a moratorium from [now] on. */
    fun grant(nowUs: Long) {
        grantedUntilUs = maxOf(grantedUntilUs, untilUs(nowUs))
    }

    /** No moratorium of this process stands. */
    fun hasExpired(nowUs: Long) = nowUs > grantedUntilUs

    private fun untilUs(from: Long) = from + withDrift(PeerMoratoriums.MORATORIUM_US) + MARGIN_US

    private companion object {
        const val MARGIN_US = SECOND / 10
    }
}
