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
    private val expiresUs = LongArray(CONTROLLERS)
    val owners = HashMap<String, Ownership>()
    val jobs = LinkedHashMap<String, SimulatedJob>()
    val open = LinkedHashMap<String, SimulatedJob>()
    val durable = HashMap<String, BitSet>()
    val done = HashSet<String>()

    /** Of jobs that are over, whether they are done. */
    val outcomes = HashMap<String, Boolean>()
    val ends = ArrayList<JobEnd>()
    private var outageUntilUs = 0L

    /** Drains as operators have asked for them, and what leaders have recorded of them. */
    val drains = LinkedHashMap<String, Drain>()
    val drainedMachines = ArrayList<DrainedMachine>()
    var drainState = DrainState()

    /** How often that was written. */
    var drainWrites = 0

    val lastRevision get() = revision
    val isOut get() = context.now < outageUntilUs

    fun nextRevision() = ++revision

    /** It answers nobody; after that all leases have their full time again. */
    fun outage(forUs: Long) {
        outageUntilUs = maxOf(outageUntilUs, context.now + forUs)
        for (i in expiresUs.indices) if (expiresUs[i] > context.now) expiresUs[i] = outageUntilUs + LEASE_US
    }

    fun endLeases() {
        for (i in expiresUs.indices) if (expiresUs[i] <= context.now) endLease(i)
    }

    /** Ends what hangs on a controller's lease. */
    fun endLease(controller: Int) {
        owners.values.removeIf { it.controller == controller }
    }

    fun renew(controller: Int) {
        expiresUs[controller] = context.now + LEASE_US
    }

    fun take(
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
        context.checker.accepted(job)
        jobs[job.id] = job
        open[job.id] = job
        durable[job.id] = BitSet()
    }

    /** The job's record says that it is over. */
    fun end(
        id: String,
        isDone: Boolean,
    ) {
        open.remove(id)
        outcomes[id] = isDone
        ends += JobEnd(id, nextRevision())
    }

    fun finish(id: String) {
        if (id !in open) return
        end(id, isDone = true)
        done += id
        context.checker.completionConfirmed(jobs.getValue(id), context.now)
        context.checker.polled(jobs.getValue(id), PollAnswer.DONE, context.now)
    }

    fun isReady(job: SimulatedJob) = job.dependencies.all { outcomes[it] == true }

    /** How a job ended, as its record says; null while it is open. */
    fun outcome(id: String): JobOutcome? = outcomes[id]?.let { JobOutcome(if (it) EndStatus.DONE else EndStatus.CANCELLED, null) }
}
