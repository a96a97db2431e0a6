package lichenstage.authority

import kotlinx.coroutines.delay
import lichenstage.cluster.Frame
import lichenstage.cluster.MoratoriumGrant
import lichenstage.cluster.MoratoriumRequest
import lichenstage.common.Clock
import lichenstage.common.timeOfDayUs
import lichenstage.config.Settings

/**
 * The protocol by which controllers promise each other to acquire no key for a moment while the state service answers none of them
 * (invariant 2): asks for the others' moratoriums, and grants them its own.
 *
 * A controller that the service answers, or whose acquisition may still succeed, does not grant one: it may see the asker's lease end
 * and acquire its keys. One renewal without an answer is enough to grant one: a controller whose requests were refused before those of
 * the others has little of its lease left when they notice.
 */
internal class AcquisitionMoratorium(
    settings: Settings,
    private val clock: Clock,
    private val lease: ProcessLease,
    private val acquisition: OwnershipAcquisition,
    private val send: (String, Frame) -> Unit,
) {
    private val incarnation = timeOfDayUs()
    private val peers = settings.peers.map { it.label }.toSet()

    /** Where the seeds name fewer controllers than there are, the others cannot grant a moratorium for all. */
    private val peerMoratoriums = PeerMoratoriums(if (settings.count == peers.size + 1) peers else emptySet())

    /** Asks all other controllers while the state service is unavailable; runs until it is cancelled. */
    suspend fun run() {
        while (true) {
            delay(REQUEST_INTERVAL_MS)
            if (lease.isStateServiceAvailable() || !lease.isValid()) continue
            val request = MoratoriumRequest(incarnation, clock.now())
            peers.forEach { send(it, request) }
        }
    }

    /** Grants another controller's request only where this one can neither hold nor acquire its keys. */
    fun onRequest(
        from: String,
        request: MoratoriumRequest,
    ) {
        val nowUs = clock.now()
        if ((lease.isStateServiceAvailable() && !lease.isRenewalUnanswered) || acquisition.mayStillSucceed(nowUs)) return
        acquisition.moratorium.grant(nowUs)
        send(from, MoratoriumGrant(request.incarnation, request.requestedAtUs))
    }

    /** Another controller has granted a moratorium, to this process or to the one before it. */
    fun onGrant(
        from: String,
        grant: MoratoriumGrant,
    ) {
        if (grant.incarnation != incarnation) return
        peerMoratoriums.recordGrant(from, grant.requestedAtUs)
        lease.extendByMoratoriums(peerMoratoriums.grantedUntilUs())
    }

    private companion object {
        const val REQUEST_INTERVAL_MS = 400L
    }
}
