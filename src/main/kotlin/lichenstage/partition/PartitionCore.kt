package lichenstage.partition

import lichenstage.cluster.AttemptOrder
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.StartOrder
import lichenstage.cluster.TaskPhase
import lichenstage.common.LruMap
import lichenstage.common.SECOND
import lichenstage.common.withDrift
import lichenstage.jobs.JobEnds
import lichenstage.model.JobRequirements
import lichenstage.model.MachineLimits

/**
 * A partition: machines of one zone under one ownership term, which is the token of its machines until an order has to be put out of
 * force ([OrderFencing]).
 *
 * Plain code: reports, leader frames and order outcomes come in with the time, answers and effects go out. A report or a frame
 * costs by what it changes, never by how many machines there are: what has changed and what has orders due is kept apart.
 */
class PartitionCore(
    /** The partition's name. */
    val id: String,
    private val zone: String,
    /** The term of its ownership. */
    val term: Long,
    private val leaseUs: Long,
    private val heartbeatIntervalUs: Long,
    private val acquiredUs: Long,
    private val jobEnds: JobEnds = JobEnds.NONE,
    maxMachinesPerFrame: Int = ChangeLog.MAX_MACHINES_PER_FRAME,
    private val events: (OrderEvent) -> Unit = {},
    private val limitsOf: (String) -> MachineLimits?,
) {
    private val machines = HashMap<String, Machine>()
    private val requirements = LruMap<String, JobRequirements>(MAX_CACHED_JOBS)
    private val requirementsOf: (String) -> JobRequirements? = { requirements[it] }
    private val changes = ChangeLog(id, term, acquiredUs, maxMachinesPerFrame) { machines.size }
    private val fencingTokens = FencingTokens(term, acquiredUs)
    private val heartbeats = HeartbeatProcessor(fencingTokens, changes, events, requirementsOf)
    private val holds = HoldTable(zone, limitsOf, requirementsOf) { machines[it] }
    private val orders = OrderQueue()
    private val fences = OrderFencing(fencingTokens, jobEnds, events)
    private val probes = ProbeSchedule(term)
    private var cordoned: Set<String> = emptySet()
    private var sweptUs = Long.MIN_VALUE / 2

    /** How many machines are known. */
    val machineCount get() = machines.size

    /** A report that came at this node. */
    fun onHeartbeat(
        heartbeat: Heartbeat,
        now: Long,
    ): HeartbeatOutcome {
        if (heartbeat.fencingToken > fencingTokens.highest) return HeartbeatOutcome.Superseded
        val machine = machines.getOrPut(heartbeat.machine) { newMachine(heartbeat, now) }
        if (heartbeats.apply(machine, heartbeat, now)) {
            probes.known(heartbeat.machine, heartbeat.address)
            machine.ordersBlocked = false
            machine.lastHeartbeatUs = now
            if (machine.attempts.isNotEmpty()) orders.add(machine)
        }
        if (!fences.mayRenewLease(machine, now)) return HeartbeatOutcome.Withheld
        // Even where it is no news: an answer to an order may have overtaken it, and the worker counts its lease from it.
        if (heartbeat.agentEpoch == machine.agentEpoch) {
            machine.lastAnsweredUs = now
            machine.heartbeatSequence = maxOf(machine.heartbeatSequence, heartbeat.sequence)
            removeDisprovenStarts(machine)
        }
        val heeded = machine.tokenConfirmed && heartbeat.agentEpoch == machine.agentEpoch && !machine.lost
        return HeartbeatOutcome.Accepted(
            machine.fencingToken,
            if (heeded) orders.commandsForAnswer(machine, heartbeat.sequence, now) else emptyList(),
        )
    }

    private fun newMachine(
        heartbeat: Heartbeat,
        now: Long,
    ) = Machine(heartbeat.machine, heartbeat, limitsOf(heartbeat.typeName)?.cacheGb ?: Double.POSITIVE_INFINITY).also {
        it.agentEpochFirstSeenUs = now
        // One that was forgotten comes back with what it was last shown.
        it.fencingToken = if (fencingTokens.isOwnersToken(heartbeat.fencingToken)) heartbeat.fencingToken else term
        changes.touch(it)
    }

    /** Direct orders to send now, [most] in all. */
    fun nextDirectOrders(
        now: Long,
        most: Int = Int.MAX_VALUE,
    ): List<DirectOrder> = orders.direct(now, most)

    /** Machines to be asked for the token now. */
    fun nextProbes(
        now: Long,
        most: Int = Int.MAX_VALUE,
    ): List<StatusProbe> = probes.next(now, most) { machines[it] }

    /** What a probe brought: the worker's report, or nothing. */
    fun onProbeResult(
        probe: StatusProbe,
        heartbeat: Heartbeat?,
        now: Long,
    ) {
        probes.over(probe)
        if (heartbeat == null || heartbeat.machine != probe.machine || heartbeat.zone != zone ||
            heartbeat.fencingToken > fencingTokens.highest
        ) {
            return
        }
        val machine = machines.getOrPut(heartbeat.machine) { newMachine(heartbeat, now) }
        heard(machine)
        heartbeats.apply(machine, heartbeat, now)
    }

    /** The machine answered an order. */
    private fun heard(machine: Machine) {
        machine.ordersBlocked = false
        if (machine.attempts.isNotEmpty()) orders.add(machine)
        if (machine.unresponsive) {
            machine.unresponsive = false
            changes.touch(machine)
        }
    }

    /** What became of [order]. */
    fun onOrderOutcome(
        order: DirectOrder,
        outcome: OrderOutcome,
        now: Long,
    ) {
        val machine = machines[order.machine] ?: return
        val proven = outcome.provenFor(order)
        orders.complete(machine, order, proven)
        when (proven) {
            is OrderOutcome.Answered -> {
                heard(machine)
                proven.heartbeat?.let { heartbeats.apply(machine, it, now) }
                if (!proven.executed) machine.ordersBlocked = true
            }

            OrderOutcome.NotSent, OrderOutcome.Indeterminate -> {
                if (proven is OrderOutcome.Indeterminate) events(OrderEvent.Unanswered(order))
                machine.ordersBlocked = true
                if (!machine.unresponsive) {
                    machine.unresponsive = true
                    changes.touch(machine)
                }
            }
        }
        removeDisprovenStarts(machine)
    }

    private fun removeDisprovenStarts(machine: Machine) {
        if (!fences.removeDisprovenStarts(machine)) return
        machine.changed()
        changes.touch(machine)
    }

    /** A frame of the leader; one that is older than the newest seen is not obeyed (invariant 8). */
    fun onLeaderFrame(
        frame: PlacementFrame,
        now: Long,
    ) {
        if (changes.isNewLeader(frame.term)) begin(frame.term)
        if (!changes.accepts(frame.term, frame.seq)) return
        changes.received(frame.seq)
        requirements.putAll(frame.requirements)
        probes.known(frame.addresses)
        frame.cordoned?.let { cordoned = it }
        if (frame.ackTerm == term) changes.acknowledge(frame.ackVersion)
        holds.lapse(now)
        frame.releases.forEach(holds::release)
        for (order in frame.starts) start(order, now)
        // What is left of a hold after its starts was not chosen.
        frame.starts.forEach { holds.release(it.stamp) }
        for (order in frame.stops) mark(order) { it.stopRequested = true }
        for (order in frame.clears) mark(order) { it.clearRequested = true }
        frame.saves.forEach(::save)
        grant(frame, now)
        if (frame.requests.isNotEmpty() || frame.starts.isNotEmpty() || frame.stops.isNotEmpty()) changes.markDirty()
    }

    /** A new leader: the holds of the one before are dropped. */
    private fun begin(newLeaderTerm: Long) {
        requirements.clear()
        holds.releaseAll()
        cordoned = emptySet()
        changes.begin(newLeaderTerm, machines.values)
    }

    private fun mark(
        order: AttemptOrder,
        change: (WorkerAttempt) -> Unit,
    ) {
        val machine = machines[order.machine] ?: return
        val attempt = machine.attempts.get(order.attempt) ?: return
        change(attempt)
        orders.add(machine)
        if (attempt.isUnwantedStart) fences.addUnwantedStart(machine)
        removeDisprovenStarts(machine)
        changes.markDirty()
    }

    /** The task is to save and stop; where it has ended or is saving already, there is nothing to do. */
    private fun save(order: SaveOrder) {
        val machine = machines[order.machine] ?: return
        val attempt = machine.attempts.get(order.attempt) ?: return
        attempt.checkpointLeewayUs = order.leewayUs
        orders.add(machine)
    }

    /** A start on a lapsed or unknown hold is refused: the machine's list, told again, shows the leader that it isn't there. */
    private fun start(
        order: StartOrder,
        now: Long,
    ) {
        val machine = machines[order.machine] ?: return
        val request = holds.find(order.stamp, order.machine)
        val refusal = refusal(request, machine, now)
        if (refusal != null) {
            val task = request?.let { "${it.job}/${order.index}" }.orEmpty()
            events(OrderEvent.StartRefused(order.machine, task, order.attempt, refusal))
        } else if (request != null) {
            holds.use(order.stamp, machine)
            machine.uses(request.requirements)
            if (!machine.attempts.containsKey(order.attempt)) {
                val attempt = WorkerAttempt("${request.job}/${order.index}", order.attempt, now)
                attempt.version = changes.nextVersion
                fences.noteOpenJob(attempt)
                machine.attempts.put(order.attempt, attempt)
                machine.changed()
            }
            orders.add(machine)
        }
        changes.touch(machine)
    }

    private fun refusal(
        request: PlacementRequest?,
        machine: Machine,
        now: Long,
    ): StartRefusal? =
        when {
            request == null -> StartRefusal.HOLD_EXPIRED
            jobEnds.over(request.job, now) -> StartRefusal.JOB_ENDED
            !usable(machine) -> StartRefusal.MACHINE_UNUSABLE
            else -> null
        }

    /** Not in use: what is unsettled, going away, doesn't heed orders, or reports too long a list of what can't be cleared yet. */
    private fun usable(machine: Machine) =
        machine.tokenConfirmed && !machine.lost && !machine.unresponsive && machine.recallUs == null &&
            machine.attempts.size < MAX_ATTEMPTS_PER_MACHINE

    private fun grant(
        frame: PlacementFrame,
        now: Long,
    ) {
        frame.requests.forEach { requirements[it.job] = it.requirements }
        val usable =
            machines.values.asSequence().filter { machine ->
                usable(machine) && machine.name !in cordoned &&
                    now - maxOf(machine.lastHeartbeatUs, acquiredUs) <= heartbeatIntervalUs * OVERDUE_HALF_INTERVALS / 2
            }
        holds.grantAll(frame.requests, usable, now) { jobEnds.over(it, now) }.forEach(changes::offer)
    }

    /** Watches over silence: past its lease, counted from the last answer, a worker has killed its tasks. */
    fun tick(now: Long) {
        holds.lapse(now)
        machines.values.forEach { watchSilence(it, now) }
        if (now - sweptUs >= ENDED_JOBS_CHECK_INTERVAL_US) stopWhatIsOver(now)
        fences.unwanted().forEach(::removeDisprovenStarts)
        fences.raise(machines.values, now)
        machines.values.filter { it.lost && now - it.lastAnsweredUs > LOST_MACHINE_RETENTION_US }.forEach(::forget)
    }

    private fun watchSilence(
        machine: Machine,
        now: Long,
    ) {
        val since = maxOf(machine.lastAnsweredUs, machine.agentEpochFirstSeenUs, acquiredUs)
        if (!machine.lost && now - since > withDrift(leaseUs) + SILENCE_MARGIN_US) {
            machine.lost = true
            machine.drop { true }
            machine.changed()
            changes.touch(machine)
        }
        // Counted from the takeover at the earliest: a worker needs time to find its new owner.
        val silent = now - maxOf(machine.lastMessageUs, acquiredUs) > heartbeatIntervalUs * SILENT_HEARTBEATS + SILENCE_MARGIN_US
        if (silent != machine.silent) {
            machine.silent = silent
            changes.touch(machine)
        }
    }

    /**
     * Tasks of jobs that are over stop whether or not the leader says so (invariant 15): it may be out of reach, or not have heard
     * of a cancellation while this partition's answers keep the workers' leases going.
     */
    private fun stopWhatIsOver(now: Long) {
        sweptUs = now
        val stopping = HashMap<String, OrderEvent.JobEnded>()
        for (machine in machines.values) {
            for (attempt in machine.attempts.values) {
                fences.noteOpenJob(attempt)
                if (attempt.stopRequested || attempt.phase == TaskPhase.ENDED || !jobEnds.over(attempt.job, attempt.firstSeenUs)) continue
                attempt.stopRequested = true
                orders.add(machine)
                if (!attempt.isListed) fences.addUnwantedStart(machine)
                stopping.merge(attempt.job, jobOver(attempt), OrderEvent.JobEnded::plus)
            }
        }
        stopping.values.forEach(events)
    }

    private fun jobOver(attempt: WorkerAttempt) =
        if (attempt.isListed) OrderEvent.JobEnded(attempt.job, 1, 0) else OrderEvent.JobEnded(attempt.job, 0, 1)

    private fun forget(machine: Machine) {
        machines -= machine.name
        probes.forget(machine.name)
        changes.forget(machine)
        orders.forget(machine)
        fences.forget(machine)
    }

    /** A newer token is wanted now, and none is left. */
    val lacksTokens get() = fences.lacksTokens

    /** True where newer tokens should be reserved for this owner now. */
    fun tokenReservationDue(now: Long) = fencingTokens.reservationDue(now, lacksTokens)

    /** These tokens are this owner's alone, above all that were ever given out. */
    fun addReservedTokens(range: LongRange) = fencingTokens.add(range)

    /** Starts whose direct order got no answer and may still land. */
    fun indeterminateStarts(): Sequence<WorkerAttempt> =
        machines.values.asSequence().flatMap { machine ->
            machine.attempts.values.filter { it.isStartIndeterminate && it.canExecuteUnder(machine.observedFencingToken) }
        }

    /** The next frame for the leader, or null while there is nothing to say. */
    fun nextFrame(now: Long): PartitionFrame? = changes.next(now)

    private companion object {
        const val SILENCE_MARGIN_US = SECOND
        const val SILENT_HEARTBEATS = 3

        /** Where a report is overdue by so many halves of its period, nothing renews the machine's lease: no room is offered. */
        const val OVERDUE_HALF_INTERVALS = 5
        const val LOST_MACHINE_RETENTION_US = 1200 * SECOND
        const val MAX_ATTEMPTS_PER_MACHINE = 150
        const val ENDED_JOBS_CHECK_INTERVAL_US = SECOND / 2
        const val MAX_CACHED_JOBS = 10_000
    }
}
