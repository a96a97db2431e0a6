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
 * The lease of this process, to which its ownerships are attached (invariant 2). This class acquires and renews the lease. It calls
 * [onChange] when the lease becomes valid and when the service reports its end.
 */
internal class ProcessLease(
    private val store: KeyValueStoreClient,
    private val clock: Clock,
    private val durationUs: Long,
    private val onChange: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.authority")
    private val renewalIntervalUs = minOf(durationUs / RENEWALS_PER_LEASE, MAX_RENEWAL_INTERVAL_US)
    private val lease = LocalLease(durationUs)
    private var lastConfirmedAtUs = Long.MIN_VALUE / 2

    /** Whether the outcome of the last renewal is unknown. */
    var isRenewalUnanswered = false
        private set

    /** The ID of the lease in the state service; null while no lease is held. */
    val id: Long? get() = lease.id

    /** Returns whether this process may act on the ownerships attached to the lease. */
    fun isValid() = lease.isValid(clock.now())

    /** Returns whether the state service has confirmed the lease within the last renewal interval plus one second. */
    fun isStateServiceAvailable() = lease.id != null && clock.now() - lastConfirmedAtUs < renewalIntervalUs + SECOND

    /** Extends the validity of the lease to [untilUs]; see [LocalLease.extendByMoratoriums]. */
    fun extendByMoratoriums(untilUs: Long) = lease.extendByMoratoriums(untilUs, clock.now())

    /** Acquires a lease and renews it, and acquires a new one after its end. Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val leaseId = lease.id
            if (leaseId == null) acquire() else renew(leaseId)
        }
    }

    private suspend fun acquire() {
        val sentAtUs = clock.now()
        val grant = store.grantLease(durationUs)
        if (grant is LeaseGrant.Granted) {
            applyConfirmation { lease.onGranted(grant.leaseId, sentAtUs) }
            log.info("Process lease granted lease={}", grant.leaseId)
        }
        delay(RETRY_MS)
    }

    private suspend fun renew(leaseId: Long) {
        val sentAtUs = clock.now()
        when (store.renewLease(leaseId)) {
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

        /** The maximum interval between renewals, also for long leases, since a failed renewal is how an outage is noticed. */
        const val MAX_RENEWAL_INTERVAL_US = 800 * MILLI
        const val RETRY_MS = 300L
    }
}
