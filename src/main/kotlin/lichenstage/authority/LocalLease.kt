package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.withDrift

/**
 * The lease holder's view of a lease in the state service (invariant 2). The lease is valid from the time when the last successful renewal
 * was sent, for its duration less the drift between two clocks and a margin.
 *
 * This guards against a process that acts while another one already owns its keys. The service counts from the arrival of the renewal,
 * which is never before its sending, so the lease ends here first.
 */
class LocalLease(
    private val durationUs: Long,
) {
    /** The ID of the lease in the state service; null while no lease is held. */
    var id: Long? = null
        private set
    private var validUntilUs = Long.MIN_VALUE

    /** Handles the grant of the lease [leaseId] to a request that was sent at [sentAtUs]. */
    fun onGranted(
        leaseId: Long,
        sentAtUs: Long,
    ) {
        id = leaseId
        validUntilUs = expiryUs(sentAtUs)
    }

    /** Handles the success of a renewal that was sent at [sentAtUs]. Replies can arrive in any order. */
    fun onRenewed(sentAtUs: Long) {
        if (id != null) validUntilUs = maxOf(validUntilUs, expiryUs(sentAtUs))
    }

    /**
     * Extends the validity to [untilUs]: until then, no other controller acquires a key attached to the lease, even if the service ends the
     * lease. Has no effect if the lease is no longer valid, since another controller may have acquired the keys in the meantime.
     */
    fun extendByMoratoriums(
        untilUs: Long,
        nowUs: Long,
    ) {
        if (isValid(nowUs)) validUntilUs = maxOf(validUntilUs, untilUs)
    }

    /** Handles the report of the service that the lease has ended. */
    fun onEnded() {
        id = null
        validUntilUs = Long.MIN_VALUE
    }

    /** Returns whether the lease holder may rely on the lease at [nowUs]. */
    fun isValid(nowUs: Long) = id != null && nowUs < validUntilUs

    private fun expiryUs(sentAtUs: Long) = sentAtUs + durationUs - (withDrift(durationUs) - durationUs) - MARGIN_US

    private companion object {
        const val MARGIN_US = 200 * MILLI
    }
}
