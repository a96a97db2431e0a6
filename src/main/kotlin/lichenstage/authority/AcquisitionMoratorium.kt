package lichenstage.authority

import kotlinx.coroutines.delay
import lichenstage.cluster.Frame
import lichenstage.cluster.MoratoriumGrant
import lichenstage.cluster.MoratoriumRequest
import lichenstage.common.Clock
import lichenstage.common.timeOfDayUs
import lichenstage.config.Settings

/**
 * The protocol by which controllers agree to acquire no keys for a short time while the state service is unavailable to all of them
 * (invariant 2). This class requests moratoriums from the other controllers and grants moratoriums to them.
 *
 * A controller grants no moratorium while it receives replies from the state service or while one of its acquisitions may still succeed,
 * because it could then see the requester's lease expire and acquire the requester's keys. After one renewal without a reply, a controller
 * grants moratoriums: a requester whose renewals failed earlier has little of its lease left when the others notice the outage.
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

    /**
     * The moratoriums of the other controllers. If the settings list fewer controllers than exist, the set of peers is empty and the lease
     * is never extended, because the unlisted controllers cannot be asked.
     */
    private val peerMoratoriums = PeerMoratoriums(if (settings.controllerCount == peers.size + 1) peers else emptySet())

    /** Requests moratoriums from all other controllers while the state service is unavailable. Runs until cancelled. */
    suspend fun run() {
        while (true) {
            delay(REQUEST_INTERVAL_MS)
            if (lease.isStateServiceAvailable() || !lease.isValid()) continue
            val request = MoratoriumRequest(incarnation, clock.now())
            peers.forEach { send(it, request) }
        }
    }

    /** Handles another controller's request: grants it only if this controller can neither own nor acquire the requester's keys. */
    fun onRequest(
        from: String,
        request: MoratoriumRequest,
    ) {
        val nowUs = clock.now()
        if ((lease.isStateServiceAvailable() && !lease.isRenewalUnanswered) || acquisition.mayStillSucceed(nowUs)) return
        acquisition.localMoratorium.grant(nowUs)
        send(from, MoratoriumGrant(request.incarnation, request.requestedAtUs))
    }

    /** Handles the grant of another controller. A grant to an earlier process of this controller is dropped. */
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
