package lichenstage.placement

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap
import it.unimi.dsi.fastutil.ints.IntArrayList
import lichenstage.cluster.TaskPhase
import lichenstage.model.JobSpec
import java.util.BitSet

/** One try of a task, from the sending of its start until it is known that nothing of it is left (invariant 6). */
class Attempt(
    val job: Job,
    val index: Int,
    val number: Long,
    val machine: String,
    val partition: String,
) {
    /** The partition's ownership term and the frame in which the start went out: what is older than these tells nothing of it. */
    var partitionTerm = 0L
    var seq = 0L
    var phase = TaskPhase.PENDING
    val task get() = taskName(job.spec.id, index)

    /** When it was seen to begin to run; 0 before that. */
    var runningUs = 0L

    /** When it was first ordered to save its progress and stop; 0 where it was not. */
    var saveOrderedUs = 0L

    /** Progress of the task at [now], with what earlier attempts have saved. */
    fun progressUs(now: Long) = job.savedUs(index) + if (runningUs > 0) now - runningUs else 0
}

/** Whether the job has an open record. */
enum class JobPhase { OPEN, CLOSED }

/** An accepted job as the leader works on it. */
class Job(
    val spec: JobSpec,
    val createRevision: Long,
    /** When it was submitted, on this process's steady clock. */
    val submittedAtUs: Long,
) {
    /** All jobs that it needs are recorded as done. Until then it has nothing to place and counts for nothing. */
    var ready = spec.dependencies.isEmpty()
        private set

    /** When that was: all its times but the deadline count from here. */
    var readyUs = submittedAtUs
        private set

    /** All that it needs is recorded as done, since [atUs]. */
    fun markReady(atUs: Long) {
        ready = true
        readyUs = maxOf(atUs, submittedAtUs)
    }

    var phase = JobPhase.OPEN
    val done = BitSet()

    /** What the state service holds of [done]. */
    val durable = BitSet()

    /** A record of its done ranges, or of its end, is being written. */
    var rangesWriteInFlight = false
    var completionWriteInFlight = false

    /** Machines whose lists have named a task of it. */
    val listedOnMachines = HashSet<String>()
    val liveAttempts = Int2ObjectLinkedOpenHashMap<Attempt>()

    /** Tasks that wait for a place; empty until the job may be placed. */
    val pending = IntArrayList()
    var placeable = false

    /** When its tasks were last given a place and when one last began to run, for the log. */
    var placedUs = 0L
    var runningUs = 0L
    var backoffUntilUs = Long.MIN_VALUE
    var failures = 0

    /** Progress that tasks have saved, as far as this leader knows. */
    private val saved = Int2LongOpenHashMap()

    /** All progress that is saved of tasks that are not done. */
    var totalSavedUs = 0L
        private set

    /** Progress that the task has saved. */
    fun savedUs(index: Int) = saved.get(index)

    /** The task has saved so much progress. */
    fun recordSavedProgress(
        index: Int,
        progressUs: Long,
    ) {
        if (done.get(index) || progressUs <= saved.get(index)) return
        totalSavedUs += progressUs - saved.put(index, progressUs)
    }

    private var doneCount = 0

    val allTasksDone get() = doneCount >= spec.tasks

    val remainingTasks get() = spec.tasks - doneCount

    /** False where that was known. */
    fun markDone(index: Int): Boolean {
        if (done.get(index)) return false
        done.set(index)
        totalSavedUs -= saved.remove(index)
        doneCount++
        return true
    }

    /** What the record of an earlier leader says. */
    fun restoreDone(tasks: BitSet) {
        done.or(tasks)
        durable.or(tasks)
        doneCount = done.cardinality()
    }

    /** Fills the queue with every task that is neither done nor possibly on a machine. */
    fun enqueueTasks() {
        placeable = true
        pending.clear()
        for (i in spec.tasks - 1 downTo 0) if (!done.get(i) && !liveAttempts.containsKey(i)) pending.add(i)
    }

    /** The task needs a place again, unless it is done. */
    fun requeue(index: Int) {
        if (placeable && phase == JobPhase.OPEN && !done.get(index)) pending.add(index)
    }

    /** The next task that waits; tasks that were done meanwhile are passed over. */
    fun nextPendingTask(): Int {
        while (!pending.isEmpty) {
            val index = pending.removeInt(pending.size - 1)
            if (!done.get(index) && !liveAttempts.containsKey(index)) return index
        }
        return -1
    }
}

/** The name of a task in the worker protocol. */
fun taskName(
    job: String,
    index: Int,
) = "$job/$index"
