package lichenstage.partition

import lichenstage.cluster.AttemptCommand
import lichenstage.cluster.CheckpointStopCommand
import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.StartCommand
import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import lichenstage.jobs.JobCompletions
import lichenstage.model.JobRequirements
import lichenstage.model.MachineLimits
import lichenstage.model.Resources

/** Helpers for tests that run one [PartitionCore] and play its workers and its leader. */
internal abstract class PartitionFixture {
    protected val requirements = JobRequirements(Resources(4.0, 0.0, 1.0), "img")
    protected var seq = 0L
    private var sequence = 0L

    /** Creates a partition with term 5, acquired at time 0. Its machines have 8 cores by default. */
    protected fun newPartition(
        jobCompletions: JobCompletions = JobCompletions.NONE,
        limitsOf: (String) -> MachineLimits? = { MACHINE_LIMITS },
    ) = PartitionCore(PartitionParameters("z/0", "z", TERM, LEASE_US, 3 * SECOND, 0), jobCompletions, limitsOf = limitsOf)

    protected fun heartbeat(
        fencingToken: Long,
        vararg tasks: TaskReport,
        agentEpoch: Long = 1,
        machine: String = "m",
    ) = Heartbeat(machine, "1.2.3.4:5", "t", "z", false, agentEpoch, ++sequence, fencingToken, null, tasks.toList())

    protected fun frame(
        term: Long = 1,
        requests: List<PlacementRequest> = emptyList(),
        starts: List<StartCommand> = emptyList(),
        stops: List<AttemptCommand> = emptyList(),
        clears: List<AttemptCommand> = emptyList(),
    ) = LeaderFrame("z/0", term, ++seq, 0, 0, requests = requests, starts = starts, stops = stops, clears = clears)

    protected fun request(
        requestNumber: Long,
        count: Int,
    ) = PlacementRequest(requestNumber, "j-1", requirements, count, null, null, true)

    protected fun PartitionCore.commands(
        heartbeat: Heartbeat,
        nowUs: Long,
    ) = (onHeartbeat(heartbeat, nowUs) as HeartbeatOutcome.Accepted).commands

    /** Makes the partition start j-1/0 as attempt 1 on machine m, which has shown its token, and returns the direct order. */
    protected fun startTask(
        partition: PartitionCore,
        nowUs: Long = 1,
    ): DirectOrder {
        partition.onHeartbeat(heartbeat(0), nowUs)
        partition.onHeartbeat(heartbeat(5), nowUs)
        partition.onLeaderFrame(frame(requests = listOf(request(1, 1))), nowUs)
        partition.onLeaderFrame(frame(starts = listOf(StartCommand(1, "m", 0, 1))), nowUs)
        return partition.nextDirectOrders(nowUs).single()
    }

    protected fun checkpointStopFrame(leewayS: Long = 5) =
        LeaderFrame("z/0", 1, ++seq, 0, 0, checkpointStops = listOf(CheckpointStopCommand("m", "j-1/0", 1, leewayS * SECOND)))

    protected fun taskReport(phase: TaskPhase) = TaskReport("j-1/0", 1, phase, if (phase == TaskPhase.ENDED) TaskEndCause.HALTED else null)

    /** Creates a partition with j-1/0 running as attempt 1 on machine m. */
    protected fun partitionWithRunningTask(): PartitionCore {
        val partition = newPartition()
        partition.onOrderOutcome(startTask(partition), OrderOutcome.Replied(true, heartbeat(5, taskReport(TaskPhase.RUNNING))), 2)
        return partition
    }

    /** Returns the last offer of the partition's next frame. */
    protected fun lastOfferOfNextFrame(
        partition: PartitionCore,
        nowUs: Long,
    ) = partition.nextFrame(nowUs)!!.offers.last()

    /** Returns the offer of the partition's next frame, which must contain exactly one. */
    protected fun onlyOfferOfNextFrame(
        partition: PartitionCore,
        nowUs: Long,
    ) = partition.nextFrame(nowUs)!!.offers.single()

    /** Returns the machine of the partition's next frame, which must contain exactly one. */
    protected fun onlyMachineOfNextFrame(
        partition: PartitionCore,
        nowUs: Long,
    ) = partition.nextFrame(nowUs)!!.machines.single()

    /** Returns the names of the machines in the last offer of the partition's next frame. */
    protected fun machinesOfferedInNextFrame(
        partition: PartitionCore,
        nowUs: Long,
    ) = lastOfferOfNextFrame(partition, nowUs).slots.map { it.machine }

    companion object {
        const val TERM = 5L
        val MACHINE_LIMITS = MachineLimits("t", Resources(8.0, 0.0, 64.0))
        const val LEASE_US = 20 * SECOND
    }
}
