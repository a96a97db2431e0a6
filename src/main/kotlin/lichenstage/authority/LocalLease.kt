package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.withDrift

/**
 * A lease of the state service as its holder may count on it (invariant 2): from the sending of the last renewal that
 * succeeded, less the drift between two clocks and a margin. Guards against a process that acts while another already holds
 * its keys: the service counts from when the renewal arrived, which is never before it was sent.
 */
class LocalLease(
    private val durationUs: Long,
) {
    /** The service's number of the lease; null while none is held. */
    var id: Long? = null
        private set
    private var validUntilUs = Long.MIN_VALUE

    /** The service has granted [lease] to a request that was sent at [sentAtUs]. */
    fun onGranted(
        lease: Long,
        sentAtUs: Long,
    ) {
        id = lease
        validUntilUs = expiryUs(sentAtUs)
    }

    /** A renewal that was sent at [sentAtUs] succeeded; answers may come in any order. */
    fun onRenewed(sentAtUs: Long) {
        if (id != null) validUntilUs = maxOf(validUntilUs, expiryUs(sentAtUs))
    }

    /**
     * No other controller acquires a key that is attached to the lease before [untilUs], whatever the service does. Counts only while the
     * lease is valid: once there was a gap, another may hold the keys unseen.
     */
    fun extendByMoratoriums(
        untilUs: Long,
        nowUs: Long,
    ) {
        if (isValid(nowUs)) validUntilUs = maxOf(validUntilUs, untilUs)
    }

    /** The service has reported that the lease has ended. */
    fun onEnded() {
        id = null
        validUntilUs = Long.MIN_VALUE
    }

    /** The holder may count on the lease at [now]. */
    fun isValid(nowUs: Long) = id != null && nowUs < validUntilUs

    private fun expiryUs(sentAtUs: Long) = sentAtUs + durationUs - (withDrift(durationUs) - durationUs) - MARGIN_US

    private companion object {
        const val MARGIN_US = 200 * MILLI
    }
}
