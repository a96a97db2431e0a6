package lichenstage.placement

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap
import it.unimi.dsi.fastutil.ints.IntArrayList
import lichenstage.model.JobSpec
import java.util.BitSet

/** Whether the job has an open record. */
enum class JobPhase { OPEN, CLOSED }

/** An accepted job as the leader works on it. */
class Job(
    val spec: JobSpec,
    /** The create revision of its open record. */
    val createRevision: Long,
    /** When it was submitted, on this process's steady clock. */
    val submittedAtUs: Long,
) {
    /** All of its dependencies are recorded as done. Until then it has nothing to place and counts for no limit. */
    var ready = spec.dependencies.isEmpty()
        private set

    /** When it became ready: all its times but the deadline count from here. */
    var readyUs = submittedAtUs
        private set

    /** All of its dependencies are recorded as done, since [atUs]. */
    fun markReady(atUs: Long) {
        ready = true
        readyUs = maxOf(atUs, submittedAtUs)
    }

    var phase = JobPhase.OPEN
    val done = BitSet()

    /** The tasks of [done] that are recorded in the key-value store. */
    val durable = BitSet()

    /** A record of its done ranges is being written. */
    var rangesWriteInFlight = false

    /** The record of its completion is being written. */
    var completionWriteInFlight = false

    /** Machines whose task lists have named a task of it. */
    val listedOnMachines = HashSet<String>()

    /** Attempts that may be running, by task index. */
    val liveAttempts = Int2ObjectLinkedOpenHashMap<Attempt>()

    /** Indices of tasks that wait to be placed; empty until the job may be placed. */
    val pending = IntArrayList()

    /** Its tasks have been queued: it is ready, and no earlier leader's attempts can be unknown any more. */
    var placeable = false

    /** When one of its tasks was last placed and when one last began to run; 0 before that. */
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

    /** Every task is done, recorded or not. */
    val allTasksDone get() = doneCount >= spec.tasks

    /** How many tasks are not done. */
    val remainingTasks get() = spec.tasks - doneCount

    /** The task is done; false where that was known already. */
    fun markDone(index: Int): Boolean {
        if (done.get(index)) return false
        done.set(index)
        totalSavedUs -= saved.remove(index)
        doneCount++
        return true
    }

    /** Adds tasks that an earlier leader has recorded as done. */
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

    /** Queues the task again, unless it is done. */
    fun requeue(index: Int) {
        if (placeable && phase == JobPhase.OPEN && !done.get(index)) pending.add(index)
    }

    /** Removes and returns the next queued task that is not done and has no attempt, or -1 where there is none. */
    fun nextPendingTask(): Int {
        while (!pending.isEmpty) {
            val index = pending.removeInt(pending.size - 1)
            if (!done.get(index) && !liveAttempts.containsKey(index)) return index
        }
        return -1
    }
}
