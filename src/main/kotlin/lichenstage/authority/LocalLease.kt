package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.withDrift

/**
 * A lease of the state service as its holder may count on it (invariant 2): from the sending of the last renewal that
 * succeeded, less the drift between two clocks and a margin. Guards against a process that acts while another already holds
 * its keys: the service counts from when the renewal arrived, which is never before it was sent.
 */
class LocalLease(
    private val lifeUs: Long,
) {
    /** The service's number of the lease; null while none is held. */
    var id: Long? = null
        private set
    private var validUntilUs = Long.MIN_VALUE

    /** The service has granted [lease] to a request that was sent at [sentUs]. */
    fun granted(
        lease: Long,
        sentUs: Long,
    ) {
        id = lease
        validUntilUs = until(sentUs)
    }

    /** A renewal that was sent at [sentUs] succeeded; answers may come in any order. */
    fun renewed(sentUs: Long) {
        if (id != null) validUntilUs = maxOf(validUntilUs, until(sentUs))
    }

    /**
     * Nobody can take what hangs on the lease before [untilUs], whatever the service does. Counts only while the lease does: once
     * there was a gap, somebody else may hold the keys unseen.
     */
    fun extendedByMoratoriums(
        untilUs: Long,
        now: Long,
    ) {
        if (isValid(now)) validUntilUs = maxOf(validUntilUs, untilUs)
    }

    /** The service says that the lease has ended. */
    fun ended() {
        id = null
        validUntilUs = Long.MIN_VALUE
    }

    /** The holder may count on the lease now. */
    fun isValid(now: Long) = id != null && now < validUntilUs

    private fun until(sentUs: Long) = sentUs + lifeUs - (withDrift(lifeUs) - lifeUs) - MARGIN_US

    private companion object {
        const val MARGIN_US = 200 * MILLI
    }
}
