package lichenstage.world

import lichenstage.drain.Drain
import lichenstage.drain.DrainState
import lichenstage.drain.DrainedMachine
import lichenstage.jobs.EndStatus
import lichenstage.jobs.JobOutcome
import lichenstage.world.SimulationContext.Companion.CONTROLLERS
import lichenstage.world.SimulationContext.Companion.LEASE_US
import java.util.BitSet

/** Who owns a key, and under which term. */
internal data class Ownership(
    val controller: Int,
    val term: Long,
)

/** A job that is over, and the revision of its end. */
internal data class JobEnd(
    val job: String,
    val revision: Long,
)

/** A small model of the state service: leases, ownership, and the records of jobs. */
internal class SimulatedStateService(
    private val context: SimulationContext,
) {
    private var revision = 0L
    private val leaseExpiresAtUs = LongArray(CONTROLLERS)
    val owners = HashMap<String, Ownership>()
    val jobs = LinkedHashMap<String, SimulatedJob>()
    val openJobs = LinkedHashMap<String, SimulatedJob>()
    val recordedDoneTasks = HashMap<String, BitSet>()
    val doneJobs = HashSet<String>()

    /** Of jobs that are over, whether they are done. */
    val outcomes = HashMap<String, Boolean>()
    val jobEnds = ArrayList<JobEnd>()
    private var outageUntilUs = 0L

    /** Drains as operators have asked for them, and what leaders have recorded of them. */
    val drains = LinkedHashMap<String, Drain>()
    val drainedMachines = ArrayList<DrainedMachine>()
    var drainState = DrainState()

    /** How often that was written. */
    var drainWrites = 0

    val lastRevision get() = revision
    val isUnavailable get() = context.nowUs < outageUntilUs

    fun nextRevision() = ++revision

    /** It answers nobody; after that all leases have their full time again. */
    fun beginOutage(durationUs: Long) {
        outageUntilUs = maxOf(outageUntilUs, context.nowUs + durationUs)
        for (i in leaseExpiresAtUs.indices) if (leaseExpiresAtUs[i] > context.nowUs) leaseExpiresAtUs[i] = outageUntilUs + LEASE_US
    }

    fun expireLeases() {
        for (i in leaseExpiresAtUs.indices) if (leaseExpiresAtUs[i] <= context.nowUs) endLease(i)
    }

    /** Ends what hangs on a controller's lease. */
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
        owners[key] = Ownership(controller, nextRevision())
    }

    /** Numbers above all terms that were given out, for one owner alone. */
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

    /** The job's record says that it is over. */
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

    fun isReady(job: SimulatedJob) = job.dependencies.all { outcomes[it] == true }

    /** How a job ended, as its record says; null while it is open. */
    fun outcomeOf(id: String): JobOutcome? = outcomes[id]?.let { JobOutcome(if (it) EndStatus.DONE else EndStatus.CANCELLED, null) }
}
