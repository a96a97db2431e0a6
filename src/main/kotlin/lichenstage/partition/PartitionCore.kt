package lichenstage.partition

import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.PartitionFrame
import lichenstage.common.LruMap
import lichenstage.jobs.JobCompletions
import lichenstage.model.JobRequirements
import lichenstage.model.MachineLimits

/**
 * The decision logic of one partition. A partition is a set of machines in one zone that one controller owns for one term.
 *
 * The class does no I/O and reads no clock. Its inputs are heartbeats, leader frames and the outcomes of direct orders and probes, each
 * with the current time. Its outputs are replies to heartbeats, direct orders, probes and frames for the leader.
 *
 * The cost of a heartbeat or a frame depends on what it changes, not on the number of machines: changed machines and machines with due
 * commands are tracked separately. Only [tick] visits all machines.
 *
 * All times are in microseconds of the controller's clock.
 *
 * @param jobCompletions tells which jobs are known to have ended
 * @param reportEvent receives the events of orders that operators need to see
 * @param limitsOf returns the limits of a machine type; null if the type is unknown
 */
class PartitionCore(
    private val parameters: PartitionParameters,
    jobCompletions: JobCompletions = JobCompletions.NONE,
    private val reportEvent: (OrderEvent) -> Unit = {},
    limitsOf: (String) -> MachineLimits?,
) {
    private val requirementsByJob = LruMap<String, JobRequirements>(MAX_CACHED_JOBS)
    private val requirementsOf: (String) -> JobRequirements? = { requirementsByJob[it] }
    private val changeLog = ChangeLog(parameters)
    private val fencingTokens = FencingTokens(parameters.term, parameters.acquiredAtUs)
    private val machines = MachineRegistry(parameters, fencingTokens, changeLog, limitsOf)
    private val heartbeatProcessor = HeartbeatProcessor(fencingTokens, changeLog, reportEvent, requirementsOf)
    private val orderQueue = OrderQueue()
    private val orderFencing = OrderFencing(fencingTokens, changeLog, jobCompletions, reportEvent)
    private val probeSchedule = ProbeSchedule(parameters.term)
    private val holdTable = HoldTable(parameters.zone, limitsOf, requirementsOf, machines::get)
    private val placementOffers = PlacementOffers(parameters, machines, holdTable, requirementsByJob, jobCompletions)
    private val endedJobStopper = EndedJobStopper(jobCompletions, machines, orderQueue, orderFencing, reportEvent)
    private val leaderFrameHandler =
        LeaderFrameHandler(parameters.term, machines, changeLog, placementOffers, orderQueue, orderFencing, probeSchedule, reportEvent)

    /** The partition's name. */
    val id get() = parameters.id

    /** The term under which this controller owns the partition. */
    val term get() = parameters.term

    /** The number of machines that the partition tracks, including lost ones that are not removed yet. */
    val machineCount get() = machines.size

    /** Whether a machine needs a newer fencing token now and no reserved token is left. */
    val lacksTokens get() = orderFencing.lacksTokens

    /** Applies a heartbeat that a worker sent to this controller, and decides on the reply. */
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
        // This also applies to a heartbeat that is older than the last applied message: the reply to an order may have overtaken the
        // heartbeat, and the worker counts its lease from every heartbeat that is accepted.
        if (isCurrentEpoch) {
            machine.lastReplyAtUs = nowUs
            machine.lastHeartbeatSequence = maxOf(machine.lastHeartbeatSequence, heartbeat.sequence)
            orderFencing.removeUnexecutedStarts(machine)
        }
        val canTakeCommands = machine.isTokenConfirmed && isCurrentEpoch && !machine.isLost
        val commands = if (canTakeCommands) orderQueue.commandsForReply(machine, heartbeat.sequence, nowUs) else emptyList()
        return HeartbeatOutcome.Accepted(machine.fencingToken, commands)
    }

    /** Applies a frame of the leader. A frame that is older than the newest received one is ignored (invariant 8). */
    fun onLeaderFrame(
        frame: LeaderFrame,
        nowUs: Long,
    ) = leaderFrameHandler.apply(frame, nowUs)

    /** Applies the result of a probe: the worker's heartbeat, or null if the probe got no valid reply. */
    fun onProbeResult(
        probe: StatusProbe,
        heartbeat: Heartbeat?,
        nowUs: Long,
    ) {
        probeSchedule.onProbeCompleted(probe)
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
        val verifiedOutcome = outcome.verifiedFor(order)
        orderQueue.onOrderCompleted(machine, order, verifiedOutcome)
        when (verifiedOutcome) {
            is OrderOutcome.Replied -> {
                markResponsive(machine)
                verifiedOutcome.heartbeat?.let { heartbeatProcessor.apply(machine, it, nowUs) }
                if (!verifiedOutcome.isExecuted) machine.areDirectOrdersBlocked = true
            }

            OrderOutcome.NotSent -> {
                markUnresponsive(machine)
            }

            OrderOutcome.Indeterminate -> {
                reportEvent(OrderEvent.OrderUnanswered(order))
                markUnresponsive(machine)
            }
        }
        orderFencing.removeUnexecutedStarts(machine)
    }

    /** Records that the machine has replied to an order or a probe, which proves that commands reach it (invariant 12). */
    private fun markResponsive(machine: Machine) {
        machine.areDirectOrdersBlocked = false
        if (machine.attempts.isNotEmpty()) orderQueue.add(machine)
        if (machine.isUnresponsive) {
            machine.isUnresponsive = false
            changeLog.record(machine)
        }
    }

    /** Records that a direct order could not be sent or got no reply. Direct orders pause until a heartbeat or another reply arrives. */
    private fun markUnresponsive(machine: Machine) {
        machine.areDirectOrdersBlocked = true
        if (!machine.isUnresponsive) {
            machine.isUnresponsive = true
            changeLog.record(machine)
        }
    }

    /** Handles expired holds and leases and everything else that depends on time alone. The caller invokes it a few times a second. */
    fun tick(nowUs: Long) {
        holdTable.expire(nowUs)
        machines.updateLiveness(nowUs)
        endedJobStopper.stopTasksOfEndedJobs(nowUs)
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

    /** Returns the direct orders to send now, at most [limit]. The caller reports each outcome to [onOrderOutcome]. */
    fun nextDirectOrders(
        nowUs: Long,
        limit: Int = Int.MAX_VALUE,
    ): List<DirectOrder> = orderQueue.nextDirectOrders(nowUs, limit)

    /** Returns the probes to send now, at most [limit]. The caller reports each result to [onProbeResult]. */
    fun nextProbes(
        nowUs: Long,
        limit: Int = Int.MAX_VALUE,
    ): List<StatusProbe> = probeSchedule.nextProbes(nowUs, limit, machines::get)

    /** Returns the next frame for the leader, or null if none is due. */
    fun nextFrame(nowUs: Long): PartitionFrame? = changeLog.nextFrame(nowUs, machines.size)

    /** Returns whether to reserve fencing tokens for this owner now. A result of true counts as a reservation attempt. */
    fun shouldReserveTokens(nowUs: Long) = fencingTokens.beginReservationIfDue(nowUs, lacksTokens)

    /** Adds fencing tokens that are reserved for this owner. They are higher than all tokens that were reserved before. */
    fun addReservedTokens(range: LongRange) = fencingTokens.addReserved(range)

    /** Returns the starts whose direct order got no reply and which a worker may still execute. */
    internal fun indeterminateStarts(): Sequence<WorkerAttempt> =
        machines.all.asSequence().flatMap { machine ->
            machine.attempts.values.filter { it.isStartIndeterminate && it.isStartExecutableUnder(machine.observedFencingToken) }
        }

    private companion object {
        /** The maximum number of jobs whose requirements are cached. */
        const val MAX_CACHED_JOBS = 10_000
    }
}
