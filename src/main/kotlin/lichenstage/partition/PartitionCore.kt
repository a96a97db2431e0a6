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
    private val requirementsByJob = LruMap<String, JobRequirements>(MAX_CACHED_JOBS)
    private val requirementsOf: (String) -> JobRequirements? = { requirementsByJob[it] }
    private val changeLog = ChangeLog(parameters)
    private val fencingTokens = FencingTokens(parameters.term, parameters.acquiredAtUs)
    private val machines = MachineRegistry(parameters, fencingTokens, changeLog, limitsOf)
    private val heartbeatProcessor = HeartbeatProcessor(fencingTokens, changeLog, events, requirementsOf)
    private val orderQueue = OrderQueue()
    private val orderFencing = OrderFencing(fencingTokens, changeLog, jobCompletions, events)
    private val probeSchedule = ProbeSchedule(parameters.term)
    private val holdTable = HoldTable(parameters.zone, limitsOf, requirementsOf, machines::get)
    private val placementOffers = PlacementOffers(parameters, machines, holdTable, requirementsByJob, jobCompletions)
    private val endedJobStops = EndedJobStopper(jobCompletions, machines, orderQueue, orderFencing, events)
    private val leaderFrameHandler =
        LeaderFrameHandler(parameters.term, machines, changeLog, placementOffers, orderQueue, orderFencing, probeSchedule, events)

    /** The partition's name. */
    val id get() = parameters.id

    /** The term of its ownership. */
    val term get() = parameters.term

    /** The number of machines that are known. */
    val machineCount get() = machines.size

    /** A newer fencing token is needed now, and none is left. */
    val lacksTokens get() = orderFencing.lacksTokens

    /** Applies a heartbeat that a worker sent to this controller, and decides on its answer. */
    fun onHeartbeat(
        heartbeat: Heartbeat,
        nowUs: Long,
    ): HeartbeatOutcome {
        if (heartbeat.fencingToken > fencingTokens.highestIssued) return HeartbeatOutcome.Superseded
        val machine = machines.getOrAdd(heartbeat, nowUs)
        if (heartbeatProcessor.apply(machine, heartbeat, nowUs)) {
            probeSchedule.add(heartbeat.machine, heartbeat.address)
            machine.areDirectOrdersBlocked = false
            machine.lastHeartbeatAtUs = nowUs
            if (machine.attempts.isNotEmpty()) orderQueue.add(machine)
        }
        if (!orderFencing.mayRenewLease(machine, nowUs)) return HeartbeatOutcome.Withheld
        val isCurrentEpoch = heartbeat.agentEpoch == machine.agentEpoch
        // Even where it is an old one: the answer to an order may have overtaken it, and the worker counts its lease from it.
        if (isCurrentEpoch) {
            machine.lastReplyAtUs = nowUs
            machine.lastHeartbeatSequence = maxOf(machine.lastHeartbeatSequence, heartbeat.sequence)
            orderFencing.removeUnexecutedStarts(machine)
        }
        val canTakeCommands = machine.isTokenConfirmed && isCurrentEpoch && !machine.isLost
        val commands = if (canTakeCommands) orderQueue.commandsForReply(machine, heartbeat.sequence, nowUs) else emptyList()
        return HeartbeatOutcome.Accepted(machine.fencingToken, commands)
    }

    /** Applies a frame of the leader; one that is older than the newest received is not obeyed (invariant 8). */
    fun onLeaderFrame(
        frame: PlacementFrame,
        nowUs: Long,
    ) = leaderFrameHandler.apply(frame, nowUs)

    /** Applies the result of a probe: the worker's heartbeat, or null where it could not be had. */
    fun onProbeResult(
        probe: StatusProbe,
        heartbeat: Heartbeat?,
        nowUs: Long,
    ) {
        probeSchedule.handleProbeEnd(probe)
        if (heartbeat == null || heartbeat.machine != probe.machine || heartbeat.zone != parameters.zone) return
        if (heartbeat.fencingToken > fencingTokens.highestIssued) return
        val machine = machines.getOrAdd(heartbeat, nowUs)
        markResponsive(machine)
        heartbeatProcessor.apply(machine, heartbeat, nowUs)
    }

    /** Applies the outcome of a direct order. */
    fun onOrderOutcome(
        order: DirectOrder,
        outcome: OrderOutcome,
        nowUs: Long,
    ) {
        val machine = machines[order.machine] ?: return
        val proven = outcome.verifiedFor(order)
        orderQueue.onOrderCompleted(machine, order, proven)
        when (proven) {
            is OrderOutcome.Replied -> {
                markResponsive(machine)
                proven.heartbeat?.let { heartbeatProcessor.apply(machine, it, nowUs) }
                if (!proven.isExecuted) machine.areDirectOrdersBlocked = true
            }

            OrderOutcome.NotSent -> {
                markUnresponsive(machine)
            }

            OrderOutcome.Indeterminate -> {
                events(OrderEvent.OrderUnanswered(order))
                markUnresponsive(machine)
            }
        }
        orderFencing.removeUnexecutedStarts(machine)
    }

    /** The machine has answered an order or a probe, so commands reach it (invariant 12). */
    private fun markResponsive(machine: Machine) {
        machine.areDirectOrdersBlocked = false
        if (machine.attempts.isNotEmpty()) orderQueue.add(machine)
        if (machine.isUnresponsive) {
            machine.isUnresponsive = false
            changeLog.record(machine)
        }
    }

    private fun markUnresponsive(machine: Machine) {
        machine.areDirectOrdersBlocked = true
        if (!machine.isUnresponsive) {
            machine.isUnresponsive = true
            changeLog.record(machine)
        }
    }

    /** Does what depends on time alone; to be called a few times a second. */
    fun tick(nowUs: Long) {
        holdTable.expire(nowUs)
        machines.updateLiveness(nowUs)
        endedJobStops.stopTasksOfEndedJobs(nowUs)
        orderFencing.removeUnexecutedStarts()
        orderFencing.raiseTokens(machines.all, nowUs)
        machines.removeLongLostMachines(nowUs).forEach(::removeMachine)
    }

    private fun removeMachine(machine: Machine) {
        probeSchedule.remove(machine.name)
        changeLog.remove(machine)
        orderQueue.remove(machine)
        orderFencing.remove(machine)
    }

    /** The direct orders to send now, at most [limit]. Each outcome is reported by [onOrderOutcome]. */
    fun nextDirectOrders(
        nowUs: Long,
        limit: Int = Int.MAX_VALUE,
    ): List<DirectOrder> = orderQueue.nextDirectOrders(nowUs, limit)

    /** The probes to send now, at most [limit]. Each result is reported by [onProbeResult]. */
    fun nextProbes(
        nowUs: Long,
        limit: Int = Int.MAX_VALUE,
    ): List<StatusProbe> = probeSchedule.nextProbes(nowUs, limit, machines::get)

    /** The next frame for the leader, or null while none is due. */
    fun nextFrame(nowUs: Long): PartitionFrame? = changeLog.nextFrame(nowUs, machines.size)

    /** Whether fencing tokens should be reserved for this owner now; a true answer counts as an attempt to do so. */
    fun shouldReserveTokens(nowUs: Long) = fencingTokens.beginReservationIfDue(nowUs, lacksTokens)

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
