package lichenstage.world

import lichenstage.authority.LocalMoratorium
import lichenstage.authority.PeerMoratoriums
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf

/** A controller's authority: its lease in the state service, the keys that it owns, and moratoriums while that service is away. */
internal class SimulatedAuthority(
    private val controller: SimulatedController,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
) {
    private val id = controller.id
    private val host = hostOf(id)
    private val nowUs get() = context.nowUs

    /** The process that the state service knows. */
    private var leaseIncarnation = 0

    /** Until when the process has authority, by its renewals and by the moratoriums of the others. */
    private var validUntilUs = 0L
    private var peerMoratoriums = noMoratoriums()
    private var localMoratorium = LocalMoratorium(-10 * SECOND)

    /** The owners of the keys as they were last read. */
    var owners = HashMap<String, Ownership>()
        private set

    val isValid get() = nowUs < validUntilUs

    private fun noMoratoriums() = PeerMoratoriums((0 until CONTROLLERS).filter { it != id }.map(::hostOf).toSet())

    /** The process has ended. */
    fun onProcessEnded() = owners.clear()

    /** A new process has begun. */
    fun onProcessStarted() {
        validUntilUs = Long.MIN_VALUE / 2
        peerMoratoriums = noMoratoriums()
        localMoratorium = LocalMoratorium(nowUs)
    }

    /** Renews the lease, acquires keys that have no owner, and reads all owners. */
    fun renew() {
        if (leaseIncarnation != controller.incarnation) {
            // A new process has a lease of its own, and ends that of the one before it.
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

    /** Without the state service, the others are asked to acquire no key for a moment. */
    fun requestMoratoriums() {
        val requestedUs = nowUs
        val senderIncarnation = controller.incarnation
        for (other in controller.otherControllers()) {
            context.send(host, other.host) {
                if (!other.isAlive || other.canReachState) return@send
                other.authority.localMoratorium.grant(nowUs)
                context.send(other.host, host) { if (controller.incarnation == senderIncarnation) onMoratoriumGranted(other, requestedUs) }
            }
        }
    }

    private fun onMoratoriumGranted(
        other: SimulatedController,
        requestedUs: Long,
    ) {
        peerMoratoriums.recordGrant(other.host, requestedUs)
        if (controller.hasAuthority) validUntilUs = maxOf(validUntilUs, peerMoratoriums.grantedUntilUs())
    }

    private companion object {
        const val LEASE_MARGIN_US = 300 * MILLI
        const val ACQUIRE_ONE_IN = 3
    }
}
