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
    var isReady = spec.dependencies.isEmpty()
        private set

    /** When it became ready: all its times but the deadline count from here. */
    var readyAtUs = submittedAtUs
        private set

    /** All of its dependencies are recorded as done, since [atUs]. */
    fun markReady(atUs: Long) {
        isReady = true
        readyAtUs = maxOf(atUs, submittedAtUs)
    }

    var phase = JobPhase.OPEN
    val doneTasks = BitSet()

    /** The tasks of [doneTasks] that are recorded in the key-value store. */
    val recordedTasks = BitSet()

    /** A record of its done ranges is being written. */
    var isRangesWriteInFlight = false

    /** The record of its completion is being written. */
    var isCompletionWriteInFlight = false

    /** Machines whose task lists have named a task of it. */
    val listedOnMachines = HashSet<String>()

    /** Attempts that may be running, by task index. */
    val liveAttempts = Int2ObjectLinkedOpenHashMap<Attempt>()

    /** Indices of tasks that wait to be placed; empty until the job may be placed. */
    val pendingTasks = IntArrayList()

    /** Its tasks have been queued: it is ready, and no earlier leader's attempts can be unknown any more. */
    var isPlaceable = false

    /** When one of its tasks was last placed and when one last began to run; 0 before that. */
    var lastPlacedAtUs = 0L
    var lastRunningAtUs = 0L
    var backoffUntilUs = Long.MIN_VALUE
    var failureCount = 0

    /** Progress that tasks have saved, as far as this leader knows. */
    private val savedProgressByTask = Int2LongOpenHashMap()

    /** All progress that is saved of tasks that are not done. */
    var totalSavedProgressUs = 0L
        private set

    /** Progress that the task has saved. */
    fun savedProgressUs(index: Int) = savedProgressByTask.get(index)

    /** The task has saved so much progress. */
    fun recordSavedProgress(
        index: Int,
        progressUs: Long,
    ) {
        if (doneTasks.get(index) || progressUs <= savedProgressByTask.get(index)) return
        totalSavedProgressUs += progressUs - savedProgressByTask.put(index, progressUs)
    }

    private var doneCount = 0

    /** Every task is done, recorded or not. */
    val allTasksDone get() = doneCount >= spec.tasks

    /** How many tasks are not done. */
    val remainingTasks get() = spec.tasks - doneCount

    /** The task is done; false where that was known already. */
    fun markTaskDone(index: Int): Boolean {
        if (doneTasks.get(index)) return false
        doneTasks.set(index)
        totalSavedProgressUs -= savedProgressByTask.remove(index)
        doneCount++
        return true
    }

    /** Adds tasks that an earlier leader has recorded as done. */
    fun restoreDoneTasks(tasks: BitSet) {
        doneTasks.or(tasks)
        recordedTasks.or(tasks)
        doneCount = doneTasks.cardinality()
    }

    /** Fills the queue with every task that is neither done nor possibly on a machine. */
    fun enqueueTasks() {
        isPlaceable = true
        pendingTasks.clear()
        for (i in spec.tasks - 1 downTo 0) if (!doneTasks.get(i) && !liveAttempts.containsKey(i)) pendingTasks.add(i)
    }

    /** Queues the task again, unless it is done. */
    fun requeueTask(index: Int) {
        if (isPlaceable && phase == JobPhase.OPEN && !doneTasks.get(index)) pendingTasks.add(index)
    }

    /** Removes and returns the next queued task that is not done and has no attempt, or -1 where there is none. */
    fun nextPendingTask(): Int {
        while (!pendingTasks.isEmpty) {
            val index = pendingTasks.removeInt(pendingTasks.size - 1)
            if (!doneTasks.get(index) && !liveAttempts.containsKey(index)) return index
        }
        return -1
    }
}
