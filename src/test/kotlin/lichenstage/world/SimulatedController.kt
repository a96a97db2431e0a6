package lichenstage.world

import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.PartitionFrame
import lichenstage.common.SECOND
import lichenstage.model.MachineLimits
import lichenstage.model.Resources
import lichenstage.partition.Command
import lichenstage.partition.Heartbeat
import lichenstage.partition.HeartbeatOutcome
import lichenstage.partition.PartitionCore
import lichenstage.partition.PartitionParameters
import lichenstage.world.SimulationContext.Companion.MACHINE_CORES
import lichenstage.world.SimulationContext.Companion.MACHINE_MEMORY_GB
import lichenstage.world.SimulationContext.Companion.WORKER_LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf

/** A controller and its successive processes, with its authority, its replica of the open jobs, its partitions and its leadership. */
internal class SimulatedController(
    val id: Int,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val machines: SimulatedMachines,
    private val allControllers: () -> List<SimulatedController>,
) {
    private val mutation = context.mutation
    private val nowUs get() = context.nowUs
    val host = hostOf(id)
    var isAlive = true
        private set

    /** The number of the current process; increases with every crash. */
    var incarnation = 0
        private set
    val partitions = HashMap<String, PartitionCore>()
    val authority = SimulatedAuthority(this, context, state)
    val leadership = SimulatedLeadership(this, context, state, machines, allControllers)
    private val jobSync = SimulatedJobSync(this, context, state)
    private val orders = SimulatedOrders(this, context, machines)

    /** Whether partitions learn of ended jobs from this controller's replica and from other controllers, not only from the leader. */
    val sharesJobEnds = mutation != Mutation.LEASES_RENEWED_WITH_STALE_REPLICA && mutation != Mutation.CANCELLATION_NOT_PROPAGATED

    /** Whether the controller gives newer fencing tokens to machines that may execute orders late. */
    private val usesFencing = mutation != Mutation.FENCING_DISABLED && id !in context.profile.controllersWithoutFencing
    val replica get() = jobSync.replica
    val dependencyGraph get() = jobSync.dependencyGraph
    val isFrozen get() = context.network.isFrozen(host)
    val canReachState get() = isAlive && !state.isUnavailable && !context.network.isCut(host, SimulatedNetwork.STATE)
    val hasAuthority get() = isAlive && (authority.isValid || mutation == Mutation.AUTHORITY_KEPT_AFTER_LEASE)

    /** Whether the controller is allowed to renew the leases of workers. */
    private val canRenewLeases get() = hasAuthority && (mutation == Mutation.LEASES_RENEWED_WITH_STALE_REPLICA || replica.isCurrent(nowUs))

    fun otherControllers() = allControllers().filter { it != this }

    /** Ends the process; a new one starts after [backAfterUs]. */
    fun crash(backAfterUs: Long) {
        isAlive = false
        incarnation++
        partitions.clear()
        authority.onProcessEnded()
        leadership.stopLeading()
        context.after(backAfterUs) {
            isAlive = true
            authority.onProcessStarted()
            jobSync.onProcessStarted()
        }
    }

    /** Performs one periodic step: renews the lease, reads the keys and jobs, and advances the partitions and the leadership. */
    fun step() {
        state.expireLeases()
        if (!isAlive) return
        if (canReachState) {
            authority.renew()
            jobSync.read()
        }
        if (canReachState) partitions.values.forEach(::reserveTokens)
        jobSync.requestJobEnds()
        if (!canReachState && hasAuthority) authority.requestMoratoriums()
        if (!hasAuthority) return
        context.assignment.partitions.forEach(::updateOwnership)
        leadership.step()
        partitions.values.forEach { it.tick(nowUs) }
        sendPendingMessages()
    }

    /** Creates or drops the state of the partition so that it exists only while this process owns the partition. */
    private fun updateOwnership(partition: String) {
        val ownership = authority.owners[partition]?.takeIf { it.controller == id }
        if (ownership == null) {
            partitions.remove(partition)
        } else if (partitions[partition]?.term != ownership.term) {
            partitions[partition] = createPartitionCore(partition, ownership.term)
        }
    }

    private fun createPartitionCore(
        partition: String,
        term: Long,
    ): PartitionCore {
        val leaseUs = if (mutation == Mutation.SHORT_LEASE) WORKER_LEASE_US / 5 else WORKER_LEASE_US
        val zone = context.assignment.zoneOf(partition)!!
        val parameters = PartitionParameters(partition, zone, term, leaseUs, 3 * SECOND, nowUs, context.profile.maxMachinesPerFrame)
        return PartitionCore(parameters, jobSync.jobCompletions(usesFencing), context.orderEvents::add) {
            MachineLimits("type", Resources(MACHINE_CORES, 0.0, MACHINE_MEMORY_GB))
        }
    }

    /** Reserves fencing tokens by a write to the state service, which may be lost or fail. */
    private fun reserveTokens(partition: PartitionCore) {
        if (!usesFencing || !partition.shouldReserveTokens(nowUs)) return
        val senderIncarnation = incarnation
        context.send(host, SimulatedNetwork.STATE, canRepeat = false) {
            if (state.isUnavailable || state.owners[partition.id]?.term != partition.term) return@send
            val fencingTokens = state.reserveTokens(context.profile.tokensReserved)
            context.send(SimulatedNetwork.STATE, host, canRepeat = false) {
                if (incarnation == senderIncarnation) partition.addReservedTokens(fencingTokens)
            }
        }
    }

    /** Handles a message of another controller that these jobs have ended. */
    fun onJobsEnded(jobs: List<String>) {
        if (isAlive) jobSync.onJobsEnded(jobs)
    }

    /** Handles a worker's heartbeat. Returns null if this process must not reply to it. */
    fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome.Accepted? {
        val id = context.assignment.partitionOf(heartbeat.machine, heartbeat.zone)!!
        val partition = partitions[id]?.takeIf { isAlive && canRenewLeases } ?: return null
        val outcome = partition.onHeartbeat(heartbeat, nowUs) as? HeartbeatOutcome.Accepted
        sendPendingMessages()
        return outcome
    }

    /** Handles the leader's frame for a partition. */
    fun onLeaderFrame(frame: LeaderFrame) {
        if (!isAlive) return
        partitions[frame.partition]?.onLeaderFrame(frame, nowUs)
        if (mutation == Mutation.CLEARS_EXECUTED_IMMEDIATELY) executeClearsImmediately(frame)
        sendPendingMessages()
    }

    /** Executes the clears in the leader's frame at once, without the partition; see [Mutation.CLEARS_EXECUTED_IMMEDIATELY]. */
    private fun executeClearsImmediately(frame: LeaderFrame) {
        val fencingToken = partitions[frame.partition]?.term ?: return
        for (clear in frame.clears) {
            val worker = machines.getWorker(clear.machine)
            worker.execute(fencingToken, worker.agentEpoch, listOf(Command.Clear(clear.taskId, clear.attemptNumber)), nowUs)
        }
    }

    /** Sends the orders, probes and frames of this controller's partitions that are due. */
    fun sendPendingMessages() {
        if (!canRenewLeases) return
        for (partition in partitions.values) {
            if (authority.owners[partition.id]?.term != partition.term) continue
            partition.nextDirectOrders(nowUs, context.profile.maxConcurrentOrders).forEach { orders.sendOrder(partition, it) }
            partition.nextProbes(nowUs).forEach { orders.sendProbe(partition, it) }
            partition.nextFrame(nowUs)?.let(::sendToLeader)
        }
    }

    private fun sendToLeader(frame: PartitionFrame) {
        val leader = allControllers()[state.owners[SimulatedLeadership.KEY]?.controller ?: return]
        val receiverIncarnation = leader.incarnation
        val sentFrame =
            if (mutation ==
                Mutation.PARTIAL_FRAMES_TREATED_AS_FINAL
            ) {
                frame.copy(isFinal = true, seq = frame.receivedSeq)
            } else {
                frame
            }
        context.send(host, leader.host) {
            if (leader.isAlive &&
                leader.incarnation == receiverIncarnation
            ) {
                leader.leadership.onPartitionFrame(sentFrame)
            }
        }
    }
}
