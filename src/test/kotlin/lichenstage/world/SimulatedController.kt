package lichenstage.world

import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
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
    private val all: () -> List<SimulatedController>,
) {
    private val mutation = context.mutation
    private val now get() = context.now
    val host = hostOf(id)
    var alive = true
        private set

    /** Rises from process to process. */
    var incarnation = 0
        private set
    val partitions = HashMap<String, PartitionCore>()
    val authority = SimulatedAuthority(this, context, state)
    val leadership = SimulatedLeadership(this, context, state, machines, all)
    private val jobSync = SimulatedJobSync(this, context, state)
    private val orders = SimulatedOrders(this, context, machines)

    /** Controllers learn of ends otherwise than by the leader's own watch. */
    val sharesJobEnds = mutation != Mutation.ANSWERED_UNINFORMED && mutation != Mutation.CANCEL_UNHEARD

    /** It gives newer fencing tokens to machines that may execute orders late. */
    private val usesFencing = mutation != Mutation.UNFENCED && id !in context.profile.controllersWithoutFencing
    val replica get() = jobSync.replica
    val dependencyGraph get() = jobSync.dependencyGraph
    val frozen get() = context.network.isFrozen(host)
    val reachesState get() = alive && !state.isOut && !context.network.isCut(host, SimulatedNetwork.STATE)
    val hasAuthority get() = alive && (authority.isValid || mutation == Mutation.AUTHORITY_KEPT)

    /** It may renew the leases of workers. */
    private val mayRenewLeases get() = hasAuthority && (mutation == Mutation.ANSWERED_UNINFORMED || replica.isCurrent(now))

    fun others() = all().filter { it != this }

    /** The process ends, and another takes its place. */
    fun crash(backAfterUs: Long) {
        alive = false
        incarnation++
        partitions.clear()
        authority.end()
        leadership.end()
        context.at(backAfterUs) {
            alive = true
            authority.begin()
            jobSync.begin()
        }
    }

    /** A turn: its lease, the keys, its partitions and its leadership. */
    fun step() {
        state.endLeases()
        if (!alive) return
        if (reachesState) {
            authority.renew()
            jobSync.read()
        }
        if (reachesState) partitions.values.forEach(::reserveTokens)
        jobSync.requestEnds()
        if (!reachesState && hasAuthority) authority.requestMoratoriums()
        if (!hasAuthority) return
        context.assignment.partitions.forEach(::follow)
        leadership.step()
        partitions.values.forEach { it.tick(now) }
        sendDue()
    }

    /** Holds the partition where this process owns it. */
    private fun follow(partition: String) {
        val mine = authority.owners[partition]?.takeIf { it.controller == id }
        if (mine == null) {
            partitions.remove(partition)
        } else if (partitions[partition]?.term != mine.term) {
            partitions[partition] = partitionCore(partition, mine.term)
        }
    }

    private fun partitionCore(
        partition: String,
        term: Long,
    ): PartitionCore {
        val lease = if (mutation == Mutation.SHORT_LEASE) WORKER_LEASE_US / 5 else WORKER_LEASE_US
        val zone = context.assignment.zoneOf(partition)!!
        val parameters = PartitionParameters(partition, zone, term, lease, 3 * SECOND, now, context.profile.maxMachinesPerFrame)
        return PartitionCore(parameters, jobSync.jobCompletions(usesFencing), context.orderEvents::add) {
            MachineLimits("type", Resources(MACHINE_CORES, 0.0, MACHINE_MEMORY_GB))
        }
    }

    /** Each reservation is a write, which may come to nothing. */
    private fun reserveTokens(partition: PartitionCore) {
        if (!usesFencing || !partition.shouldReserveTokens(now)) return
        val sender = incarnation
        context.send(host, SimulatedNetwork.STATE, repeats = false) {
            if (state.isOut || state.owners[partition.id]?.term != partition.term) return@send
            val fencingTokens = state.reserveTokens(context.profile.tokensReserved)
            context.send(SimulatedNetwork.STATE, host, repeats = false) {
                if (incarnation == sender) partition.addReservedTokens(fencingTokens)
            }
        }
    }

    /** Another controller says that these jobs have ended. */
    fun jobsEnded(jobs: List<String>) {
        if (alive) jobSync.jobsEnded(jobs)
    }

    /** A worker's heartbeat has come; null where this process must not answer it. */
    fun answer(heartbeat: Heartbeat): HeartbeatOutcome.Accepted? {
        val id = context.assignment.partitionOf(heartbeat.machine, heartbeat.zone)!!
        val partition = partitions[id]?.takeIf { alive && mayRenewLeases } ?: return null
        val outcome = partition.onHeartbeat(heartbeat, now) as? HeartbeatOutcome.Accepted
        sendDue()
        return outcome
    }

    /** The leader's frame for a partition has come. */
    fun deliver(frame: PlacementFrame) {
        if (!alive) return
        partitions[frame.partition]?.onLeaderFrame(frame, now)
        if (mutation == Mutation.CLEARED_AT_ONCE) clearAtOnce(frame)
        sendDue()
    }

    /** A service that has tasks forgotten as soon as its leader says so. */
    private fun clearAtOnce(frame: PlacementFrame) {
        val fencingToken = partitions[frame.partition]?.term ?: return
        for (clear in frame.clears) {
            val worker = machines.named(clear.machine)
            worker.execute(fencingToken, worker.agentEpoch, listOf(Command.Clear(clear.task, clear.attempt)), now)
        }
    }

    /** Sends the orders, probes and frames of its partitions that are due. */
    fun sendDue() {
        if (!mayRenewLeases) return
        for (partition in partitions.values) {
            if (authority.owners[partition.id]?.term != partition.term) continue
            partition.nextDirectOrders(now, context.profile.maxConcurrentOrders).forEach { orders.send(partition, it) }
            partition.nextProbes(now).forEach { orders.probe(partition, it) }
            partition.nextFrame(now)?.let(::sendToLeader)
        }
    }

    private fun sendToLeader(frame: PartitionFrame) {
        val to = all()[state.owners[SimulatedLeadership.KEY]?.controller ?: return]
        val receiver = to.incarnation
        val sent = if (mutation == Mutation.PIECES_TAKEN_FOR_WHOLE) frame.copy(isFinal = true, seq = frame.receivedSeq) else frame
        context.send(host, to.host) { if (to.alive && to.incarnation == receiver) to.leadership.frame(sent) }
    }
}
