package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.MachineState
import lichenstage.cluster.Offer
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND
import lichenstage.config.Team
import lichenstage.model.JobSpec
import lichenstage.model.PartitionAssignment
import lichenstage.model.Priority
import lichenstage.model.Resources
import org.junit.jupiter.api.Assertions.assertEquals

/** Base class of tests that run a [LeaderCore]: builds its inputs and collects its effects. */
abstract class LeaderFixture {
    protected val effects = ArrayList<LeaderEffect>()
    protected val teams = mapOf("red" to Team("red", 0.0, 8.0, 0.0, Double.POSITIVE_INFINITY))
    protected var version = 0L
    protected val assignment = PartitionAssignment(listOf("y", "z"), emptyMap())

    protected fun leader(
        teams: Map<String, Team> = this.teams,
        objectives: ServiceObjectives = ServiceObjectives(emptyList()),
        lookups: LeaderLookups = LeaderLookups({ Resources(16.0, 0.0, 64.0) }),
    ): LeaderCore {
        val settings = LeaderSettings(assignment, teams, 20 * SECOND, PlacementSettings(), objectives, maxChangesPerTransaction = 10)
        return LeaderCore(LeaderTerm(7, 100), settings, lookups) { effects += it }
    }

    protected fun spec(
        id: String,
        tasks: Int = 2,
        requiresSameZone: Boolean = false,
        requiresSpread: Boolean = false,
    ) = JobSpec(
        id,
        "c",
        "red",
        Priority.HIGH,
        tasks,
        Resources(4.0, 0.0, 1.0),
        null,
        null,
        requiresSameZone,
        requiresSpread,
        true,
        "i",
        1.0,
        SECOND,
        0,
        0,
        null,
        0,
    )

    protected fun job(
        id: String,
        createRevision: Long = 1,
        tasks: Int = 2,
        requiresSameZone: Boolean = false,
        requiresSpread: Boolean = false,
    ) = Job(spec(id, tasks, requiresSameZone, requiresSpread), createRevision, 0)

    protected fun machineState(
        name: String,
        vararg tasks: TaskState,
        isTokenConfirmed: Boolean = true,
        isLost: Boolean = false,
    ) = MachineState(name, "1.2.3.4:5", "t", false, isTokenConfirmed, false, false, isLost, null, tasks.toList())

    protected fun partitionFrame(
        zone: String,
        seq: Long,
        vararg machines: MachineState,
        offers: List<Offer> = emptyList(),
        term: Long = 3,
        ageUs: Long = SECOND,
        isFinal: Boolean = true,
    ) = PartitionFrame("$zone/0", term, ageUs, 7, seq, seq, 0, ++version, isFinal, machines.toList(), offers)

    protected fun framesTo(zone: String) =
        effects.filterIsInstance<LeaderEffect.SendFrame>().filter { it.partition == "$zone/0" }.map { it.frame }

    protected fun lastRequestFrame(): LeaderFrame = framesTo("z").last { it.requests.isNotEmpty() }

    protected fun sentStarts() = effects.filterIsInstance<LeaderEffect.SendFrame>().flatMap { it.frame.starts }

    protected fun offersFor(
        frame: LeaderFrame,
        machine: String,
        count: Int,
    ) = frame.requests.map {
        Offer(it.requestNumber, listOf(HeldSlots(machine, count, count, false)))
    }

    protected fun recoveredMachines(vararg names: String) = names.map { RecoveredMachine(it, "z/0", "t", null) }

    /** Returns a leader that has sent starts for all tasks of [job] (by default a job of two tasks) to machine m1 in partition z/0. */
    protected fun leaderWithPlacedJob(job: Job = job("j-1")): LeaderCore {
        val leader = leader()
        leader.onMachinesRegistered(mapOf("m1" to "z/0"))
        leader.addJob(job)
        leader.onPartitionFrame(partitionFrame("y", 0), SECOND)
        leader.onPartitionFrame(partitionFrame("z", 0, machineState("m1")), SECOND)
        leader.tick(SECOND)
        val requestFrame = lastRequestFrame()
        leader.onPartitionFrame(
            partitionFrame("y", framesTo("y").last().seq, offers = requestFrame.requests.map { Offer(it.requestNumber, emptyList()) }),
            SECOND,
        )
        leader.onPartitionFrame(partitionFrame("z", requestFrame.seq, offers = offersFor(requestFrame, "m1", job.spec.taskCount)), SECOND)
        leader.tick(SECOND)
        assertEquals((0 until job.spec.taskCount).toSet(), sentStarts().map { it.index }.toSet()) { "${sentStarts()}" }
        return leader
    }
}
