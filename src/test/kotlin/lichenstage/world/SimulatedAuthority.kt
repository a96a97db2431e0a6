package lichenstage.world

import lichenstage.authority.LocalMoratorium
import lichenstage.authority.PeerMoratoriums
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf

/** A controller's authority: its lease in the state service, the keys that it owns, and the moratoriums during an outage. */
internal class SimulatedAuthority(
    private val controller: SimulatedController,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
) {
    private val id = controller.id
    private val host = hostOf(id)
    private val nowUs get() = context.nowUs

    /** The incarnation of the process that last renewed the lease. */
    private var leaseIncarnation = 0

    /** The time until which the process has authority, due to its renewals and the moratoriums of the other controllers. */
    private var validUntilUs = 0L
    private var peerMoratoriums = noMoratoriums()
    private var localMoratorium = LocalMoratorium(-10 * SECOND)

    /** The owners of the keys as last read from the state service. */
    var owners = HashMap<String, SimulatedOwnership>()
        private set

    val isValid get() = nowUs < validUntilUs

    private fun noMoratoriums() = PeerMoratoriums((0 until CONTROLLERS).filter { it != id }.map(::hostOf).toSet())

    /** Handles the end of the process. */
    fun onProcessEnded() = owners.clear()

    /** Handles the start of a new process. */
    fun onProcessStarted() {
        validUntilUs = Long.MIN_VALUE / 2
        peerMoratoriums = noMoratoriums()
        localMoratorium = LocalMoratorium(nowUs)
    }

    /** Renews the lease, acquires a random share of the keys that have no owner, and reads all owners. */
    fun renew() {
        if (leaseIncarnation != controller.incarnation) {
            // A new process takes its own lease and ends that of its predecessor.
            leaseIncarnation = controller.incarnation
            state.endLease(id)
        }
        state.renew(id)
        validUntilUs = maxOf(validUntilUs, nowUs + LEASE_US - LEASE_MARGIN_US)
        for (key in context.assignment.partitions + SimulatedLeadership.KEY) {
            if (key !in state.owners && localMoratorium.hasExpired(nowUs) &&
                context.random.nextInt(ACQUIRE_ONE_IN) == 0
            ) {
                state.assignOwner(key, id)
            }
        }
        owners = HashMap(state.owners)
    }

    /** Asks the other controllers to acquire no key for a short time. Called while the state service cannot be reached. */
    fun requestMoratoriums() {
        val requestedUs = nowUs
        val senderIncarnation = controller.incarnation
        for (peer in controller.otherControllers()) {
            context.send(host, peer.host) {
                if (!peer.isAlive || peer.canReachState) return@send
                peer.authority.localMoratorium.grant(nowUs)
                context.send(peer.host, host) { if (controller.incarnation == senderIncarnation) onMoratoriumGranted(peer, requestedUs) }
            }
        }
    }

    private fun onMoratoriumGranted(
        peer: SimulatedController,
        requestedUs: Long,
    ) {
        peerMoratoriums.recordGrant(peer.host, requestedUs)
        if (controller.hasAuthority) validUntilUs = maxOf(validUntilUs, peerMoratoriums.grantedUntilUs())
    }

    private companion object {
        const val LEASE_MARGIN_US = 300 * MILLI
        const val ACQUIRE_ONE_IN = 3
    }
}
