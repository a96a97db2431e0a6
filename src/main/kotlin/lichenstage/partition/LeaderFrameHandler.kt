package lichenstage.partition

import lichenstage.cluster.AttemptOrder
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.StartOrder

/** Applies the frames of the leader to a partition: starts, stops, clears, cordons, requests and releases of holds. */
internal class LeaderFrameHandler(
    private val term: Long,
    private val machines: MachineRegistry,
    private val changes: ChangeLog,
    private val placement: PlacementOffers,
    private val orders: OrderQueue,
    private val fencing: OrderFencing,
    private val probes: ProbeSchedule,
    private val events: (OrderEvent) -> Unit,
) {
    /** Applies [frame]; one that is older than the newest received is not obeyed (invariant 8). */
    fun apply(
        frame: PlacementFrame,
        now: Long,
    ) {
        if (changes.isNewLeader(frame.term)) startLeaderTerm(frame.term)
        if (!changes.isNewer(frame.term, frame.seq)) return
        changes.markReceived(frame.seq)
        placement.update(frame)
        probes.addAll(frame.addresses)
        if (frame.ackTerm == term) changes.acknowledge(frame.ackVersion)
        placement.expireHolds(now)
        frame.releases.forEach(placement::release)
        for (order in frame.starts) start(order, now)
        // The leader has not chosen what is left of a hold after its starts.
        frame.starts.forEach { placement.release(it.requestNumber) }
        for (order in frame.stops) updateAttempt(order) { it.stopRequested = true }
        for (order in frame.clears) updateAttempt(order) { it.clearRequested = true }
        frame.saves.forEach(::requestCheckpointStop)
        placement.grant(frame.requests, now).forEach(changes::add)
        if (frame.requests.isNotEmpty() || frame.starts.isNotEmpty() || frame.stops.isNotEmpty()) changes.requestFrame()
    }

    private fun startLeaderTerm(leaderTerm: Long) {
        placement.startLeaderTerm()
        changes.startLeaderTerm(leaderTerm, machines.all)
    }

    /** A start without a hold is refused: the machine's task list, sent again, shows the leader that the attempt isn't there. */
    private fun start(
        order: StartOrder,
        now: Long,
    ) {
        val machine = machines[order.machine] ?: return
        val request = placement.heldFor(order.requestNumber, machine)
        val refusal = placement.refusal(request, machine, now)
        if (refusal != null) {
            val task = request?.let { "${it.job}/${order.index}" }.orEmpty()
            events(OrderEvent.StartRefused(order.machine, task, order.attempt, refusal))
        } else if (request != null) {
            start(order, request, machine, now)
        }
        changes.record(machine)
    }

    private fun start(
        order: StartOrder,
        request: PlacementRequest,
        machine: Machine,
        now: Long,
    ) {
        placement.consume(order.requestNumber, machine)
        machine.recordImageUse(request.requirements)
        if (!machine.attempts.containsKey(order.attempt)) {
            val attempt = WorkerAttempt("${request.job}/${order.index}", order.attempt, now)
            attempt.version = changes.nextVersion
            fencing.noteOpenJob(attempt)
            machine.attempts.put(order.attempt, attempt)
            machine.invalidateUsage()
        }
        orders.add(machine)
    }

    private fun updateAttempt(
        order: AttemptOrder,
        update: (WorkerAttempt) -> Unit,
    ) {
        val machine = machines[order.machine] ?: return
        val attempt = machine.attempts.get(order.attempt) ?: return
        update(attempt)
        orders.add(machine)
        if (attempt.isUnwantedStart) fencing.addUnwantedStart(machine)
        fencing.removeDisprovenStarts(machine)
        changes.requestFrame()
    }

    /** The task is to save a checkpoint and stop; where it has ended or is saving already, the request has no effect. */
    private fun requestCheckpointStop(order: SaveOrder) {
        val machine = machines[order.machine] ?: return
        val attempt = machine.attempts.get(order.attempt) ?: return
        attempt.checkpointLeewayUs = order.leewayUs
        orders.add(machine)
    }
}
