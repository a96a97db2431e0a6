package lichenstage.world

import lichenstage.drain.Drain
import lichenstage.drain.DrainState
import lichenstage.drain.DrainedMachine
import lichenstage.jobs.EndStatus
import lichenstage.jobs.JobOutcome
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.LEASE_US
import java.util.BitSet

/** The controller that owns a key, and the term of its ownership. */
internal data class SimulatedOwnership(
    val controller: Int,
    val term: Long,
)

/** A finished job and the revision of its end. */
internal data class JobEnd(
    val job: String,
    val revision: Long,
)

/** A small model of the state service, with leases, owners of keys, and the records of jobs and drains. */
internal class SimulatedStateService(
    private val context: SimulationContext,
) {
    private var revision = 0L
    private val leaseExpiresAtUs = LongArray(CONTROLLERS)
    val owners = HashMap<String, SimulatedOwnership>()
    val jobs = LinkedHashMap<String, SimulatedJob>()
    val openJobs = LinkedHashMap<String, SimulatedJob>()
    val recordedDoneTasks = HashMap<String, BitSet>()
    val doneJobs = HashSet<String>()

    /** Whether each finished job is done (true) or cancelled (false), by its id. */
    val outcomes = HashMap<String, Boolean>()
    val jobEnds = ArrayList<JobEnd>()
    private var outageUntilUs = 0L

    /** The drains and their machines, as operators requested them. */
    val drains = LinkedHashMap<String, Drain>()
    val drainedMachines = ArrayList<DrainedMachine>()

    /** The progress of the drains, as leaders recorded it. */
    var drainState = DrainState()

    /** The number of writes of [drainState]. */
    var drainWrites = 0

    val lastRevision get() = revision
    val isUnavailable get() = context.nowUs < outageUntilUs

    fun nextRevision() = ++revision

    /**
     * Makes the state service unavailable to all controllers. Leases that are valid at the start of the outage are valid again for a full
     * lease duration after its end.
     */
    fun beginOutage(durationUs: Long) {
        outageUntilUs = maxOf(outageUntilUs, context.nowUs + durationUs)
        for (i in leaseExpiresAtUs.indices) if (leaseExpiresAtUs[i] > context.nowUs) leaseExpiresAtUs[i] = outageUntilUs + LEASE_US
    }

    fun expireLeases() {
        for (i in leaseExpiresAtUs.indices) if (leaseExpiresAtUs[i] <= context.nowUs) endLease(i)
    }

    /** Ends a controller's lease: the controller no longer owns any key. */
    fun endLease(controller: Int) {
        owners.values.removeIf { it.controller == controller }
    }

    fun renew(controller: Int) {
        leaseExpiresAtUs[controller] = context.nowUs + LEASE_US
    }

    fun assignOwner(
        key: String,
        controller: Int,
    ) {
        owners[key] = SimulatedOwnership(controller, nextRevision())
    }

    /** Reserves fencing tokens for one owner. They are higher than all terms and tokens given out so far. */
    fun reserveTokens(count: Int): LongRange {
        val first = revision + 1
        revision += count
        return first..revision
    }

    fun accept(job: SimulatedJob) {
        context.checker.onJobAccepted(job)
        jobs[job.id] = job
        openJobs[job.id] = job
        recordedDoneTasks[job.id] = BitSet()
    }

    /** Records the end of a job, as done or cancelled. */
    fun recordEnd(
        id: String,
        isDone: Boolean,
    ) {
        openJobs.remove(id)
        outcomes[id] = isDone
        jobEnds += JobEnd(id, nextRevision())
    }

    fun recordDone(id: String) {
        if (id !in openJobs) return
        recordEnd(id, isDone = true)
        doneJobs += id
        context.checker.onCompletionConfirmed(jobs.getValue(id), context.nowUs)
        context.checker.onJobPolled(jobs.getValue(id), PolledStatus.DONE, context.nowUs)
    }

    /** Returns whether all dependencies of the job are done. */
    fun isReady(job: SimulatedJob) = job.dependencies.all { outcomes[it] == true }

    /** Returns the recorded outcome of a job; null while the job is open. */
    fun outcomeOf(id: String): JobOutcome? = outcomes[id]?.let { JobOutcome(if (it) EndStatus.DONE else EndStatus.CANCELLED, null) }
}
