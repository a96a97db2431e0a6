package lichenstage.partition

import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
import lichenstage.common.LruMap
import lichenstage.jobs.JobCompletions
import lichenstage.model.JobRequirements
import lichenstage.model.MachineLimits

/**
 * The decisions of a partition: the machines of one zone that one controller owns for one term.
 *
 * Plain code without I/O: heartbeats, leader frames and outcomes of orders come in with the time; answers, orders and frames come out.
 * A heartbeat or a frame costs by what it changes, not by the number of machines: what has changed and what has orders due is kept
 * apart, and everything is looked at only in [tick].
 *
 * All times are in microseconds of the controller's clock.
 *
 * @param jobCompletions which jobs are known to have ended
 * @param events receives what operators need to know of orders
 * @param limitsOf the limits of a machine type; null where the type is not known
 */
class PartitionCore(
    private val parameters: PartitionParameters,
    jobCompletions: JobCompletions = JobCompletions.NONE,
    private val events: (OrderEvent) -> Unit = {},
    limitsOf: (String) -> MachineLimits?,
) {
    private val requirements = LruMap<String, JobRequirements>(MAX_CACHED_JOBS)
    private val requirementsOf: (String) -> JobRequirements? = { requirements[it] }
    private val changes = ChangeLog(parameters)
    private val fencingTokens = FencingTokens(parameters.term, parameters.acquiredUs)
    private val machines = MachineRegistry(parameters, fencingTokens, changes, limitsOf)
    private val heartbeats = HeartbeatProcessor(fencingTokens, changes, events, requirementsOf)
    private val orders = OrderQueue()
    private val fencing = OrderFencing(fencingTokens, changes, jobCompletions, events)
    private val probes = ProbeSchedule(parameters.term)
    private val holds = HoldTable(parameters.zone, limitsOf, requirementsOf, machines::get)
    private val placement = PlacementOffers(parameters, machines, holds, requirements, jobCompletions)
    private val endedJobStops = EndedJobStopper(jobCompletions, machines, orders, fencing, events)
    private val leaderFrames = LeaderFrameHandler(parameters.term, machines, changes, placement, orders, fencing, probes, events)

    /** The partition's name. */
    val id get() = parameters.id

    /** The term of its ownership. */
    val term get() = parameters.term

    /** The number of machines that are known. */
    val machineCount get() = machines.size

    /** A newer fencing token is needed now, and none is left. */
    val lacksTokens get() = fencing.lacksTokens

    /** Applies a heartbeat that a worker sent to this controller, and decides on its answer. */
    fun onHeartbeat(
        heartbeat: Heartbeat,
        now: Long,
    ): HeartbeatOutcome {
        if (heartbeat.fencingToken > fencingTokens.highestIssued) return HeartbeatOutcome.Superseded
        val machine = machines.getOrAdd(heartbeat, now)
        if (heartbeats.apply(machine, heartbeat, now)) {
            probes.add(heartbeat.machine, heartbeat.address)
            machine.ordersBlocked = false
            machine.lastHeartbeatUs = now
            if (machine.attempts.isNotEmpty()) orders.add(machine)
        }
        if (!fencing.mayRenewLease(machine, now)) return HeartbeatOutcome.Withheld
        val isCurrentEpoch = heartbeat.agentEpoch == machine.agentEpoch
        // Even where it is an old one: the answer to an order may have overtaken it, and the worker counts its lease from it.
        if (isCurrentEpoch) {
            machine.lastAnsweredUs = now
            machine.heartbeatSequence = maxOf(machine.heartbeatSequence, heartbeat.sequence)
            fencing.removeUnexecutedStarts(machine)
        }
        val takesCommands = machine.tokenConfirmed && isCurrentEpoch && !machine.lost
        val commands = if (takesCommands) orders.commandsForReply(machine, heartbeat.sequence, now) else emptyList()
        return HeartbeatOutcome.Accepted(machine.fencingToken, commands)
    }

    /** Applies a frame of the leader; one that is older than the newest received is not obeyed (invariant 8). */
    fun onLeaderFrame(
        frame: PlacementFrame,
        now: Long,
    ) = leaderFrames.apply(frame, now)

    /** Applies the result of a probe: the worker's heartbeat, or null where it could not be had. */
    fun onProbeResult(
        probe: StatusProbe,
        heartbeat: Heartbeat?,
        now: Long,
    ) {
        probes.complete(probe)
        if (heartbeat == null || heartbeat.machine != probe.machine || heartbeat.zone != parameters.zone) return
        if (heartbeat.fencingToken > fencingTokens.highestIssued) return
        val machine = machines.getOrAdd(heartbeat, now)
        markResponsive(machine)
        heartbeats.apply(machine, heartbeat, now)
    }

    /** Applies the outcome of a direct order. */
    fun onOrderOutcome(
        order: DirectOrder,
        outcome: OrderOutcome,
        now: Long,
    ) {
        val machine = machines[order.machine] ?: return
        val proven = outcome.verifiedFor(order)
        orders.onOrderCompleted(machine, order, proven)
        when (proven) {
            is OrderOutcome.Replied -> {
                markResponsive(machine)
                proven.heartbeat?.let { heartbeats.apply(machine, it, now) }
                if (!proven.isExecuted) machine.ordersBlocked = true
            }

            OrderOutcome.NotSent -> {
                markUnresponsive(machine)
            }

            OrderOutcome.Indeterminate -> {
                events(OrderEvent.OrderUnanswered(order))
                markUnresponsive(machine)
            }
        }
        fencing.removeUnexecutedStarts(machine)
    }

    /** The machine has answered an order or a probe, so commands reach it (invariant 12). */
    private fun markResponsive(machine: Machine) {
        machine.ordersBlocked = false
        if (machine.attempts.isNotEmpty()) orders.add(machine)
        if (machine.unresponsive) {
            machine.unresponsive = false
            changes.record(machine)
        }
    }

    private fun markUnresponsive(machine: Machine) {
        machine.ordersBlocked = true
        if (!machine.unresponsive) {
            machine.unresponsive = true
            changes.record(machine)
        }
    }

    /** Does what depends on time alone; to be called a few times a second. */
    fun tick(now: Long) {
        holds.expire(now)
        machines.expire(now)
        endedJobStops.stopTasksOfEndedJobs(now)
        fencing.removeUnexecutedStarts()
        fencing.raiseTokens(machines.all, now)
        machines.removeLongLost(now).forEach(::remove)
    }

    private fun remove(machine: Machine) {
        probes.remove(machine.name)
        changes.remove(machine)
        orders.remove(machine)
        fencing.remove(machine)
    }

    /** The direct orders to send now, at most [limit]. Each outcome is reported by [onOrderOutcome]. */
    fun nextDirectOrders(
        now: Long,
        limit: Int = Int.MAX_VALUE,
    ): List<DirectOrder> = orders.nextDirectOrders(now, limit)

    /** The probes to send now, at most [limit]. Each result is reported by [onProbeResult]. */
    fun nextProbes(
        now: Long,
        limit: Int = Int.MAX_VALUE,
    ): List<StatusProbe> = probes.next(now, limit, machines::get)

    /** The next frame for the leader, or null while none is due. */
    fun nextFrame(now: Long): PartitionFrame? = changes.nextFrame(now, machines.size)

    /** Whether fencing tokens should be reserved for this owner now; a true answer counts as an attempt to do so. */
    fun tokenReservationDue(now: Long) = fencingTokens.beginReservationIfDue(now, lacksTokens)

    /** Adds fencing tokens that are reserved for this owner alone, above all that were ever handed out. */
    fun addReservedTokens(range: LongRange) = fencingTokens.addReserved(range)

    /** The starts whose direct order got no answer and may still be executed. */
    internal fun indeterminateStarts(): Sequence<WorkerAttempt> =
        machines.all.asSequence().flatMap { machine ->
            machine.attempts.values.filter { it.isStartIndeterminate && it.isStartExecutableUnder(machine.observedFencingToken) }
        }

    private companion object {
        /** The jobs whose requirements are kept. */
        const val MAX_CACHED_JOBS = 10_000
    }
}
