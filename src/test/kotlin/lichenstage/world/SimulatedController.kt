package lichenstage.world

import lichenstage.authority.LocalMoratorium
import lichenstage.authority.PeerMoratoriums
import lichenstage.cluster.CompletionSyncReply
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.jobs.DependencyGraph
import lichenstage.jobs.JobCompletions
import lichenstage.jobs.JobOutcome
import lichenstage.jobs.JobReplica
import lichenstage.model.MachineLimits
import lichenstage.model.Resources
import lichenstage.partition.Command
import lichenstage.partition.DirectOrder
import lichenstage.partition.Heartbeat
import lichenstage.partition.HeartbeatOutcome
import lichenstage.partition.OrderOutcome
import lichenstage.partition.PartitionCore
import lichenstage.partition.PartitionParameters
import lichenstage.partition.StatusProbe
import lichenstage.world.SimulationContext.Companion.CANCEL_US
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.LATEST_US
import lichenstage.world.SimulationContext.Companion.LEASE_US
import lichenstage.world.SimulationContext.Companion.MACHINE_CORES
import lichenstage.world.SimulationContext.Companion.MACHINE_MEMORY_GB
import lichenstage.world.SimulationContext.Companion.WORKER_LEASE_US
import lichenstage.world.SimulationContext.Companion.hostOf

/** A controller's process: its lease and pledges, its replica of the open jobs, its partitions, and its leadership where it leads. */
internal class SimulatedController(
    val id: Int,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val machines: SimulatedMachines,
    private val all: () -> List<SimulatedController>,
) {
    private val random = context.random
    private val mutation = context.mutation
    private val host = hostOf(id)
    private val now get() = context.now
    var alive = true
        private set
    var incarnation = 0
        private set

    /** The process that the state service knows. */
    private var ownsFrom = 0
    val partitions = HashMap<String, PartitionCore>()
    val leadership = SimulatedLeadership(this, context, state, machines, all)

    /** Until when its lease counts, by renewals and by what the others pledged. */
    private var coveredUs = 0L

    /** The keys as it last saw them. */
    var seen = HashMap<String, Ownership>()
        private set
    private var peerMoratoriums = noMoratoriums()
    private var localMoratorium = LocalMoratorium(-10 * SECOND)
    var replica = newReplica()
        private set
    var dependencyGraph = DependencyGraph()
        private set

    /** Controllers learn of ends otherwise than by the leader's own watch. */
    val sharesEnds = mutation != Mutation.ANSWERED_UNINFORMED && mutation != Mutation.CANCEL_UNHEARD

    /** It gives newer tokens to machines on which orders may land late. */
    private val fences = mutation != Mutation.UNFENCED && id !in context.profile.withoutFences
    val frozen get() = context.network.isFrozen(host)
    val reachesState get() = alive && !state.isOut && !context.network.isCut(host, SimulatedNetwork.STATE)
    val entitled get() = alive && (now < coveredUs || mutation == Mutation.AUTHORITY_KEPT)

    /** It may renew the leases of workers. */
    private val answersWorkers get() = entitled && (mutation == Mutation.ANSWERED_UNINFORMED || replica.isCurrent(now))

    private fun others() = all().filter { it != this }

    private fun noMoratoriums() = PeerMoratoriums((0 until CONTROLLERS).filter { it != id }.map(::hostOf).toSet())

    private fun newReplica() =
        JobReplica(
            id * 1000L + incarnation,
            (0 until CONTROLLERS).filter { it != id }.map(::hostOf).toSet(),
            JobReplica.maxStalenessUs(CANCEL_US, WORKER_LEASE_US),
        )

    /** The process ends, and another takes its place. */
    fun crash(backAfterUs: Long) {
        alive = false
        incarnation++
        partitions.clear()
        seen.clear()
        leadership.end()
        context.at(backAfterUs) {
            alive = true
            coveredUs = Long.MIN_VALUE / 2
            peerMoratoriums = noMoratoriums()
            localMoratorium = LocalMoratorium(now)
            replica = newReplica()
            dependencyGraph = DependencyGraph()
        }
    }

    /** A turn: its lease, the keys, its partitions and its leadership. */
    fun step() {
        state.endLeases()
        if (!alive) return
        if (reachesState) readState()
        if (reachesState) partitions.values.forEach(::reserveTokens)
        askEnds()
        if (!reachesState && entitled) requestMoratoriums()
        if (!entitled) return
        context.assignment.partitions.forEach(::follow)
        leadership.step()
        partitions.values.forEach { it.tick(now) }
        pump()
    }

    private fun readState() {
        if (ownsFrom != incarnation) {
            // A new process has a lease of its own, and ends that of the one before it.
            ownsFrom = incarnation
            state.endLease(id)
        }
        state.renew(id)
        coveredUs = maxOf(coveredUs, now + LEASE_US - 300 * MILLI)
        for (key in context.assignment.partitions + SimulatedLeadership.KEY) {
            if (key !in state.owners && localMoratorium.hasExpired(now) && random.nextInt(3) == 0) state.take(key, id)
        }
        seen = HashMap(state.owners)
        // A turn later than the word that they have ended.
        resolve()
        readJobs()
    }

    /** Holds the partition where this process owns it. */
    private fun follow(partition: String) {
        val mine = seen[partition]?.takeIf { it.controller == id }
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
        val zone = context.assignment.zone(partition)!!
        val events = context.orderEvents::add
        val parameters = PartitionParameters(partition, zone, term, lease, 3 * SECOND, now, context.profile.machinesInFrame)
        return PartitionCore(parameters, jobCompletions(), events) {
            MachineLimits("type", Resources(MACHINE_CORES, 0.0, MACHINE_MEMORY_GB))
        }
    }

    private fun jobCompletions(): JobCompletions {
        val process = replica
        return object : JobCompletions {
            override fun hasEnded(
                job: String,
                sinceUs: Long,
            ) = sharesEnds && process.hasEnded(job, sinceUs)

            override fun confirmedOpenUs(job: String) = process.confirmedOpenUs(job)

            override val maxStalenessUs = if (!fences || mutation == Mutation.ANSWERED_UNFENCED) Long.MAX_VALUE else process.maxStalenessUs
        }
    }

    /** Each reservation is a write, which may come to nothing. */
    private fun reserveTokens(partition: PartitionCore) {
        if (!fences || !partition.tokenReservationDue(now)) return
        val asker = incarnation
        context.send(host, SimulatedNetwork.STATE, repeats = false) {
            if (state.isOut || state.owners[partition.id]?.term != partition.term) return@send
            val fencingTokens = state.reserveTokens(context.profile.tokensReserved)
            context.send(SimulatedNetwork.STATE, host, repeats = false) {
                if (incarnation == asker) partition.addReservedTokens(fencingTokens)
            }
        }
    }

    /** What a watch of the open jobs brings. */
    private fun readJobs() {
        val stamps = state.open.mapValues { it.value.stamp }
        state.open.values.forEach { dependencyGraph.jobOpened(it.id, it.dependencies) }
        val ended =
            if (replica.revision < 0) {
                replica.replaceAll(stamps, state.lastRevision, now)
            } else {
                val news = state.ends.filter { it.revision > replica.revision }.associate { it.job to it.revision }
                replica.applyChanges(stamps, news, state.lastRevision, now)
            }
        ended.forEach(dependencyGraph::jobClosed)
    }

    /** Reads the records of jobs that others need and that have ended. */
    private fun resolve() {
        for (job in dependencyGraph.unresolved(8)) {
            val outcome = state.outcome(job) ?: continue
            if (mutation == Mutation.CANCELLED_NEEDS_UNSEEN && !outcome.done) continue
            dependencyGraph.outcomeRecorded(job, JobOutcome(outcome.done || mutation == Mutation.ENDS_TAKEN_FOR_DONE, null))
        }
    }

    /** Another controller says that these jobs have ended. */
    fun told(jobs: List<String>) {
        if (!alive) return
        replica.markEnded(jobs)
        jobs.forEach(dependencyGraph::jobClosed)
        jobs.forEach(leadership::jobClosed)
    }

    /** While the state service shows nothing, the others are asked what has ended. */
    private fun askEnds() {
        if (!replica.isLagging(now) || !sharesEnds) return
        for (other in others()) {
            val asker = incarnation
            val question = replica.syncRequest(other.host, now) ?: continue
            context.send(host, other.host) {
                if (!other.alive) return@send
                val whole =
                    CompletionSyncReply(
                        question.incarnation,
                        question.askedUs,
                        other.replica.hashCode().toLong(),
                        0,
                        0,
                        emptyList(),
                        true,
                    )
                val answer = other.replica.syncReply(question) ?: whole.takeIf { mutation == Mutation.SPOKEN_FOR_PREDECESSOR }
                if (answer == null) return@send
                context.send(other.host, host) { if (incarnation == asker && alive) takeEnds(other, answer) }
            }
        }
    }

    private fun takeEnds(
        other: SimulatedController,
        answer: CompletionSyncReply,
    ) {
        val believed = if (mutation == Mutation.HANDOVER_DROPPED) answer.copy(jobs = emptyList()) else answer
        for (job in replica.applySyncReply(other.host, believed)) {
            dependencyGraph.jobClosed(job)
            leadership.jobClosed(job)
        }
    }

    /** Without the state service, the others are asked to take no key for a moment. */
    private fun requestMoratoriums() {
        val askedUs = now
        val asker = incarnation
        for (other in others()) {
            context.send(host, other.host) {
                if (other.alive && !other.reachesState) {
                    other.localMoratorium.grant(now)
                    context.send(other.host, host) { if (incarnation == asker) moratoriumGranted(other, askedUs) }
                }
            }
        }
    }

    private fun moratoriumGranted(
        other: SimulatedController,
        askedUs: Long,
    ) {
        peerMoratoriums.granted(other.host, askedUs)
        if (entitled) coveredUs = maxOf(coveredUs, peerMoratoriums.grantedUntilUs())
    }

    /** A worker's report has come; null where this process must not answer it. */
    fun answer(heartbeat: Heartbeat): HeartbeatOutcome.Accepted? {
        val id = context.assignment.partitionOf(heartbeat.machine, heartbeat.zone)!!
        val partition = partitions[id]?.takeIf { alive && answersWorkers } ?: return null
        val outcome = partition.onHeartbeat(heartbeat, now) as? HeartbeatOutcome.Accepted
        pump()
        return outcome
    }

    /** The leader's frame for a partition has come. */
    fun deliver(frame: PlacementFrame) {
        if (!alive) return
        partitions[frame.partition]?.onLeaderFrame(frame, now)
        if (mutation == Mutation.CLEARED_AT_ONCE) clearAtOnce(frame)
        pump()
    }

    /** A service that has tasks forgotten as soon as its leader says so. */
    private fun clearAtOnce(frame: PlacementFrame) {
        val fencingToken = partitions[frame.partition]?.term ?: return
        for (clear in frame.clears) {
            val worker = machines.named(clear.machine)
            worker.orders(fencingToken, worker.agentEpoch, listOf(Command.Clear(clear.task, clear.attempt)), now)
        }
    }

    /** Lets out what its partitions have to say. */
    private fun pump() {
        if (!answersWorkers) return
        for (partition in partitions.values) {
            if (seen[partition.id]?.term != partition.term) continue
            partition.nextDirectOrders(now, context.profile.ordersAtOnce).forEach { order(partition, it) }
            partition.nextProbes(now).forEach { probe(partition, it) }
            partition.nextFrame(now)?.let(::toLeader)
        }
    }

    private fun toLeader(frame: PartitionFrame) {
        val to = all()[state.owners[SimulatedLeadership.KEY]?.controller ?: return]
        val receiver = to.incarnation
        val sent = if (mutation == Mutation.PIECES_TAKEN_FOR_WHOLE) frame.copy(whole = true, seq = frame.receivedSeq) else frame
        context.send(host, to.host) { if (to.alive && to.incarnation == receiver) to.leadership.frame(sent) }
    }

    private fun probe(
        partition: PartitionCore,
        probe: StatusProbe,
    ) {
        val worker = machines.named(probe.machine)
        val sender = incarnation
        var answered = false

        fun outcome(heartbeat: Heartbeat?) {
            if (answered || incarnation != sender) return
            answered = true
            partition.onProbeResult(probe, heartbeat, now)
            pump()
        }
        context.send(host, worker.name, repeats = false) {
            if (!worker.gone && !worker.hung(now)) {
                val result = worker.orders(probe.fencingToken, worker.agentEpoch, emptyList(), now)
                context.send(worker.name, host) { outcome(result.heartbeat.takeIf { result.executed }) }
            }
        }
        context.at(3 * SECOND) { outcome(null) }
    }

    private fun order(
        partition: PartitionCore,
        order: DirectOrder,
    ) {
        val worker = machines.named(order.machine)
        val sender = incarnation
        var answered = false

        fun outcome(result: OrderOutcome) {
            if (answered || incarnation != sender) return
            answered = true
            partition.onOrderOutcome(order, result, now)
        }
        // Like a packet, an order that was sent lands even if nobody waits for it any more.
        context.send(host, worker.name, repeats = false) {
            if (context.profile.heldOrderShare > 0 && random.nextDouble() < context.profile.heldOrderShare) {
                val heldUs = SHORTEST_HOLD_US + random.nextInt((context.profile.longestHoldUs - SHORTEST_HOLD_US).toInt())
                context.at(heldUs) { repeatOrder(worker, order) }
            } else {
                land(worker, order, ::outcome)
            }
        }
        context.at(3 * SECOND) { outcome(OrderOutcome.Indeterminate) }
    }

    private fun land(
        worker: SimulatedWorker,
        order: DirectOrder,
        outcome: (OrderOutcome) -> Unit,
    ) {
        if (worker.gone) return
        if (worker.hung(now)) return context.at(worker.hungUntilUs - now + MILLI) { land(worker, order, outcome) }
        val result = worker.orders(order.fencingToken, order.agentEpoch, order.commands, now)
        context.send(worker.name, host) { outcome(result) }
        // A repeat of what was carried out.
        if (random.nextInt(6) == 0) context.at(random.nextInt(LATEST_US).toLong()) { repeatOrder(worker, order) }
    }

    private fun repeatOrder(
        worker: SimulatedWorker,
        order: DirectOrder,
    ) {
        if (!worker.gone && !worker.hung(now)) worker.orders(order.fencingToken, order.agentEpoch, order.commands, now)
    }

    private companion object {
        const val SHORTEST_HOLD_US = 2 * SECOND
    }
}
