package lichenstage.authority

import kotlinx.coroutines.delay
import lichenstage.common.Clock
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.LeaseGrant
import lichenstage.state.LeaseRenewal
import org.slf4j.LoggerFactory

/**
 * Acquires and renews the lease of this process, to which its ownerships are attached (invariant 2). [onChange] is called when the lease
 * becomes valid and when it has ended.
 */
internal class ProcessLease(
    private val state: KeyValueStoreClient,
    private val clock: Clock,
    private val durationUs: Long,
    private val onChange: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.authority")
    private val renewalIntervalUs = minOf(durationUs / RENEWALS_PER_LEASE, MAX_RENEWAL_INTERVAL_US)
    private val lease = LocalLease(durationUs)
    private var lastConfirmedAtUs = Long.MIN_VALUE / 2

    /** The last renewal had no answer, or one that decides nothing. */
    var isRenewalUnanswered = false
        private set

    /** The service's number of the lease; null while none is held. */
    val id: Long? get() = lease.id

    /** This process may act on what is attached to the lease now. */
    fun isValid() = lease.isValid(clock.now())

    /** The state service has granted or renewed the lease not long ago. */
    fun isStateServiceAvailable() = lease.id != null && clock.now() - lastConfirmedAtUs < renewalIntervalUs + SECOND

    /** No other controller acquires a key before [untilUs]; see [LocalLease.extendByMoratoriums]. */
    fun extendByMoratoriums(untilUs: Long) = lease.extendByMoratoriums(untilUs, clock.now())

    /** Keeps the lease; runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            val leaseId = lease.id
            if (leaseId == null) acquire() else renew(leaseId)
        }
    }

    private suspend fun acquire() {
        val sentAtUs = clock.now()
        val grant = state.grantLease(durationUs)
        if (grant is LeaseGrant.Granted) {
            applyConfirmation { lease.onGranted(grant.lease, sentAtUs) }
            log.info("Process lease granted lease={}", grant.lease)
        }
        delay(RETRY_MS)
    }

    private suspend fun renew(leaseId: Long) {
        val sentAtUs = clock.now()
        when (state.renewLease(leaseId)) {
            LeaseRenewal.RENEWED -> {
                applyConfirmation { lease.onRenewed(sentAtUs) }
            }

            LeaseRenewal.EXPIRED -> {
                log.info("Process lease expired lease={}", leaseId)
                lease.onEnded()
                onChange()
                return
            }

            LeaseRenewal.INDETERMINATE -> {
                isRenewalUnanswered = true
                log.info("Process lease not renewed lease={}", leaseId)
            }
        }
        delay(if (isValid() && clock.now() - sentAtUs < SECOND) renewalIntervalUs / MILLI else RETRY_MS)
    }

    private inline fun applyConfirmation(extend: () -> Unit) {
        val wasValid = isValid()
        extend()
        lastConfirmedAtUs = clock.now()
        isRenewalUnanswered = false
        if (!wasValid) onChange()
    }

    private companion object {
        const val RENEWALS_PER_LEASE = 5

        /** A lease that lasts longer is renewed no less often: that is how an outage is noticed. */
        const val MAX_RENEWAL_INTERVAL_US = 800 * MILLI
        const val RETRY_MS = 300L
    }
}
