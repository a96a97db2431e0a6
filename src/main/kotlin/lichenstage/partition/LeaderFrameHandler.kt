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
    private val changeLog: ChangeLog,
    private val placementOffers: PlacementOffers,
    private val orderQueue: OrderQueue,
    private val orderFencing: OrderFencing,
    private val probeSchedule: ProbeSchedule,
    private val events: (OrderEvent) -> Unit,
) {
    /** Applies [frame]; one that is older than the newest received is not obeyed (invariant 8). */
    fun apply(
        frame: PlacementFrame,
        nowUs: Long,
    ) {
        if (changeLog.isNewLeader(frame.term)) startLeaderTerm(frame.term)
        if (!changeLog.isNewerFrame(frame.term, frame.seq)) return
        changeLog.markReceived(frame.seq)
        placementOffers.updateFrom(frame)
        probeSchedule.addAll(frame.addresses)
        if (frame.ackTerm == term) changeLog.acknowledge(frame.ackVersion)
        placementOffers.expireHolds(nowUs)
        frame.releases.forEach(placementOffers::release)
        for (order in frame.starts) handleStart(order, nowUs)
        // The leader has not chosen what is left of a hold after its starts.
        frame.starts.forEach { placementOffers.release(it.requestNumber) }
        for (order in frame.stops) updateAttempt(order) { it.isStopRequested = true }
        for (order in frame.clears) updateAttempt(order) { it.isClearRequested = true }
        frame.saves.forEach(::requestCheckpointStop)
        placementOffers.grant(frame.requests, nowUs).forEach(changeLog::addOffer)
        if (frame.requests.isNotEmpty() || frame.starts.isNotEmpty() || frame.stops.isNotEmpty()) changeLog.requestFrame()
    }

    private fun startLeaderTerm(leaderTerm: Long) {
        placementOffers.startLeaderTerm()
        changeLog.startLeaderTerm(leaderTerm, machines.all)
    }

    /** A start without a hold is refused: the machine's task list, sent again, shows the leader that the attempt isn't there. */
    private fun handleStart(
        order: StartOrder,
        nowUs: Long,
    ) {
        val machine = machines[order.machine] ?: return
        val request = placementOffers.findHeldRequest(order.requestNumber, machine)
        val refusal = placementOffers.findRefusal(request, machine, nowUs)
        if (refusal != null) {
            val task = request?.let { "${it.job}/${order.index}" }.orEmpty()
            events(OrderEvent.StartRefused(order.machine, task, order.attempt, refusal))
        } else if (request != null) {
            startTask(order, request, machine, nowUs)
        }
        changeLog.record(machine)
    }

    private fun startTask(
        order: StartOrder,
        request: PlacementRequest,
        machine: Machine,
        nowUs: Long,
    ) {
        placementOffers.consume(order.requestNumber, machine)
        machine.recordImageUse(request.requirements)
        if (!machine.attempts.containsKey(order.attempt)) {
            val attempt = WorkerAttempt("${request.job}/${order.index}", order.attempt, nowUs)
            attempt.version = changeLog.nextVersion
            orderFencing.updateJobConfirmedOpenTime(attempt)
            machine.attempts.put(order.attempt, attempt)
            machine.invalidateUsedResources()
        }
        orderQueue.add(machine)
    }

    private fun updateAttempt(
        order: AttemptOrder,
        update: (WorkerAttempt) -> Unit,
    ) {
        val machine = machines[order.machine] ?: return
        val attempt = machine.attempts.get(order.attempt) ?: return
        update(attempt)
        orderQueue.add(machine)
        if (attempt.isUnwantedStart) orderFencing.addUnwantedStart(machine)
        orderFencing.removeUnexecutedStarts(machine)
        changeLog.requestFrame()
    }

    /** The task is to save a checkpoint and stop; where it has ended or is saving already, the request has no effect. */
    private fun requestCheckpointStop(order: SaveOrder) {
        val machine = machines[order.machine] ?: return
        val attempt = machine.attempts.get(order.attempt) ?: return
        attempt.checkpointLeewayUs = order.leewayUs
        orderQueue.add(machine)
    }
}
