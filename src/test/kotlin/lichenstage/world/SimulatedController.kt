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

/** A controller and its processes, one after the other: authority, knowledge of jobs, partitions, and leadership where it leads. */
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

    /** Rises from process to process. */
    var incarnation = 0
        private set
    val partitions = HashMap<String, PartitionCore>()
    val authority = SimulatedAuthority(this, context, state)
    val leadership = SimulatedLeadership(this, context, state, machines, allControllers)
    private val jobSync = SimulatedJobSync(this, context, state)
    private val orders = SimulatedOrders(this, context, machines)

    /** Controllers learn of ends otherwise than by the leader's own watch. */
    val sharesJobEnds = mutation != Mutation.LEASES_RENEWED_WITH_STALE_REPLICA && mutation != Mutation.CANCELLATION_NOT_PROPAGATED

    /** It gives newer fencing tokens to machines that may execute orders late. */
    private val usesFencing = mutation != Mutation.FENCING_DISABLED && id !in context.profile.controllersWithoutFencing
    val replica get() = jobSync.replica
    val dependencyGraph get() = jobSync.dependencyGraph
    val isFrozen get() = context.network.isFrozen(host)
    val canReachState get() = isAlive && !state.isUnavailable && !context.network.isCut(host, SimulatedNetwork.STATE)
    val hasAuthority get() = isAlive && (authority.isValid || mutation == Mutation.AUTHORITY_KEPT_AFTER_LEASE)

    /** It may renew the leases of workers. */
    private val mayRenewLeases get() = hasAuthority && (mutation == Mutation.LEASES_RENEWED_WITH_STALE_REPLICA || replica.isCurrent(nowUs))

    fun otherControllers() = allControllers().filter { it != this }

    /** The process ends, and another takes its place. */
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

    /** A turn: its leaseUs, the keys, its partitions and its leadership. */
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

    /** Holds the partition where this process owns it. */
    private fun updateOwnership(partition: String) {
        val ownership = authority.owners[partition]?.takeIf { it.controller == id }
        if (ownership == null) {
            partitions.remove(partition)
        } else if (partitions[partition]?.term != ownership.term) {
            partitions[partition] = partitionCore(partition, ownership.term)
        }
    }

    private fun partitionCore(
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

    /** Each reservation is a write, which may come to nothing. */
    private fun reserveTokens(partition: PartitionCore) {
        if (!usesFencing || !partition.shouldReserveTokens(nowUs)) return
        val senderIncarnation = incarnation
        context.send(host, SimulatedNetwork.STATE, repeats = false) {
            if (state.isUnavailable || state.owners[partition.id]?.term != partition.term) return@send
            val fencingTokens = state.reserveTokens(context.profile.tokensReserved)
            context.send(SimulatedNetwork.STATE, host, repeats = false) {
                if (incarnation == senderIncarnation) partition.addReservedTokens(fencingTokens)
            }
        }
    }

    /** Another controller says that these jobs have ended. */
    fun onJobsEnded(jobs: List<String>) {
        if (isAlive) jobSync.onJobsEnded(jobs)
    }

    /** A worker's heartbeat has come; null where this process must not answer it. */
    fun onHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome.Accepted? {
        val id = context.assignment.partitionOf(heartbeat.machine, heartbeat.zone)!!
        val partition = partitions[id]?.takeIf { isAlive && mayRenewLeases } ?: return null
        val outcome = partition.onHeartbeat(heartbeat, nowUs) as? HeartbeatOutcome.Accepted
        sendPendingMessages()
        return outcome
    }

    /** The leader's frame for a partition has come. */
    fun onLeaderFrame(frame: LeaderFrame) {
        if (!isAlive) return
        partitions[frame.partition]?.onLeaderFrame(frame, nowUs)
        if (mutation == Mutation.CLEARS_EXECUTED_IMMEDIATELY) executeClearsImmediately(frame)
        sendPendingMessages()
    }

    /** A service that has tasks forgotten as soon as its leader says so. */
    private fun executeClearsImmediately(frame: LeaderFrame) {
        val fencingToken = partitions[frame.partition]?.term ?: return
        for (clear in frame.clears) {
            val worker = machines.getWorker(clear.machine)
            worker.execute(fencingToken, worker.agentEpoch, listOf(Command.Clear(clear.task, clear.attempt)), nowUs)
        }
    }

    /** Sends the orders, probes and frames of its partitions that are due. */
    fun sendPendingMessages() {
        if (!mayRenewLeases) return
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
