package lichenstage.partition

import lichenstage.cluster.AttemptCommand
import lichenstage.cluster.CheckpointStopCommand
import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.StartCommand

/** The handler for frames of the leader: starts, stops, clears, checkpoint stops, cordons, placement requests and releases of holds. */
internal class LeaderFrameHandler(
    private val term: Long,
    private val machines: MachineRegistry,
    private val changeLog: ChangeLog,
    private val placementOffers: PlacementOffers,
    private val orderQueue: OrderQueue,
    private val orderFencing: OrderFencing,
    private val probeSchedule: ProbeSchedule,
    private val reportEvent: (OrderEvent) -> Unit,
) {
    /** Applies [frame]. A frame that is older than the newest received one is ignored (invariant 8). */
    fun apply(
        frame: LeaderFrame,
        nowUs: Long,
    ) {
        if (changeLog.isNewLeader(frame.term)) startLeaderTerm(frame.term)
        if (!changeLog.isNewerFrame(frame.term, frame.seq)) return
        changeLog.markReceived(frame.seq)
        placementOffers.updateFrom(frame)
        probeSchedule.addAll(frame.addresses)
        if (frame.acknowledgedTerm == term) changeLog.acknowledge(frame.acknowledgedVersion)
        placementOffers.expireHolds(nowUs)
        frame.releases.forEach(placementOffers::release)
        for (command in frame.starts) handleStart(command, nowUs)
        // The leader does not need the capacity that remains in a hold after the starts of this frame.
        frame.starts.forEach { placementOffers.release(it.requestNumber) }
        for (command in frame.stops) updateAttempt(command) { it.isStopRequested = true }
        for (command in frame.clears) {
            updateAttempt(command) {
                it.isClearRequested = true
                if (it.job in frame.completeJobs) it.isJobComplete = true
            }
        }
        frame.checkpointStops.forEach(::requestCheckpointStop)
        placementOffers.grant(frame.requests, frame.avoidedMachines, nowUs).forEach(changeLog::addOffer)
        if (frame.requests.isNotEmpty() || frame.starts.isNotEmpty() || frame.stops.isNotEmpty()) changeLog.requestFrame()
    }

    private fun startLeaderTerm(leaderTerm: Long) {
        placementOffers.startLeaderTerm()
        changeLog.startLeaderTerm(leaderTerm, machines.all)
    }

    /**
     * Starts the task of [command], or refuses the command, for example if no hold exists for it. In both cases the machine is reported to
     * the leader again. After a refusal, the machine's task list shows the leader that the attempt does not exist.
     */
    private fun handleStart(
        command: StartCommand,
        nowUs: Long,
    ) {
        val machine = machines[command.machine] ?: return
        val request = placementOffers.findHeldRequest(command.requestNumber, machine)
        val refusal = placementOffers.findRefusal(request, machine, nowUs)
        if (refusal != null) {
            val taskId = request?.let { "${it.job}/${command.index}" }.orEmpty()
            reportEvent(OrderEvent.StartRefused(command.machine, taskId, command.attemptNumber, refusal))
        } else if (request != null) {
            startTask(command, request, machine, nowUs)
        }
        changeLog.record(machine)
    }

    private fun startTask(
        command: StartCommand,
        request: PlacementRequest,
        machine: Machine,
        nowUs: Long,
    ) {
        placementOffers.consume(command.requestNumber, machine)
        machine.recordImageUse(request.requirements)
        if (!machine.attempts.containsKey(command.attemptNumber)) {
            val attempt = WorkerAttempt("${request.job}/${command.index}", command.attemptNumber, nowUs)
            attempt.version = changeLog.nextVersion
            orderFencing.updateJobConfirmedOpenTime(attempt)
            machine.attempts.put(command.attemptNumber, attempt)
            machine.invalidateUsedResources()
        }
        orderQueue.add(machine)
    }

    private fun updateAttempt(
        command: AttemptCommand,
        update: (WorkerAttempt) -> Unit,
    ) {
        val machine = machines[command.machine] ?: return
        val attempt = machine.attempts.get(command.attemptNumber) ?: return
        update(attempt)
        orderQueue.add(machine)
        if (attempt.isUnwantedStart) orderFencing.addUnwantedStart(machine)
        orderFencing.removeUnexecutedStarts(machine)
        changeLog.requestFrame()
    }

    /** Requests that the task saves a checkpoint and stops. The stop is sent only while the task is running, not while it is saving. */
    private fun requestCheckpointStop(command: CheckpointStopCommand) {
        val machine = machines[command.machine] ?: return
        val attempt = machine.attempts.get(command.attemptNumber) ?: return
        attempt.checkpointLeewayUs = command.leewayUs
        orderQueue.add(machine)
    }
}
