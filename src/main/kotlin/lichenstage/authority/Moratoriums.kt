package lichenstage.authority

import lichenstage.common.SECOND
import lichenstage.common.withDrift

/**
 * The acquisition moratoriums that the other controllers have granted while the state service is unavailable to all of them. Each of these
 * controllers acquires no key for [MORATORIUM_US] (invariant 2).
 *
 * Only controllers acquire keys. While every other controller is under a moratorium, none can acquire the keys of this process, even if
 * its lease ends in the state service. So this process keeps its authority during an outage as long as all others grant moratoriums.
 * This guards against worker leases that expire, and end all tasks on these workers, because no controller may reply to heartbeats.
 */
class PeerMoratoriums(
    private val peers: Set<String>,
) {
    private val grantedUntilUsByPeer = HashMap<String, Long>()

    /** Records that [peer] granted a request sent at [requestedAtUs]. Its moratorium started at that time or later. */
    fun recordGrant(
        peer: String,
        requestedAtUs: Long,
    ) {
        grantedUntilUsByPeer.merge(peer, requestedAtUs + MORATORIUM_US, ::maxOf)
    }

    /** Returns the time until which no other controller acquires a key; [Long.MIN_VALUE] if that is unknown. */
    fun grantedUntilUs(): Long = if (peers.isEmpty()) Long.MIN_VALUE else peers.minOf { grantedUntilUsByPeer[it] ?: Long.MIN_VALUE }

    companion object {
        /** The time for which a controller acquires no key after a grant, before the allowance for clock drift and the margin. */
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

    /** Grants a moratorium that starts at [nowUs]. */
    fun grant(nowUs: Long) {
        grantedUntilUs = maxOf(grantedUntilUs, untilUs(nowUs))
    }

    /** Returns whether no moratorium of this process is in force at [nowUs]. */
    fun hasExpired(nowUs: Long) = nowUs > grantedUntilUs

    private fun untilUs(startsAtUs: Long) = startsAtUs + withDrift(PeerMoratoriums.MORATORIUM_US) + MARGIN_US

    private companion object {
        const val MARGIN_US = SECOND / 10
    }
}
