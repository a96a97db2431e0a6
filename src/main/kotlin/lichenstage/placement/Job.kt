package lichenstage.placement

import it.unimi.dsi.fastutil.ints.Int2LongOpenHashMap
import it.unimi.dsi.fastutil.ints.Int2ObjectLinkedOpenHashMap
import it.unimi.dsi.fastutil.ints.IntArrayList
import lichenstage.common.MILLI
import lichenstage.model.JobSpec
import java.util.BitSet

/** The phase of a job: OPEN while it has an open record in the key-value store, then CLOSED. */
enum class JobPhase { OPEN, CLOSED }

/** The leader's state of one accepted job and its tasks. */
class Job(
    val spec: JobSpec,
    /** The create revision of the job's open record. */
    val createRevision: Long,
    /** The time of submission in microseconds, on this process's steady clock. */
    val submittedAtUs: Long,
) {
    /** Whether all dependencies are recorded as done. Until then the job has no tasks to place and counts for no limit. */
    var isReady = spec.dependencies.isEmpty()
        private set

    /** The time in microseconds when the job became ready. All times of its objectives except the deadline count from here. */
    var readyAtUs = submittedAtUs
        private set

    /** Marks the job as ready. Its last dependency was recorded as done at [recordedAtUs]. */
    fun markReady(recordedAtUs: Long) {
        isReady = true
        readyAtUs = maxOf(recordedAtUs, submittedAtUs)
    }

    private val sharedRequestKind = RequestKind.of(spec)

    /** Whether the job avoids some machines for now, because its tasks have failed there. */
    var isAvoidingMachines = false

    /** The kind of the requests for its tasks. */
    val requestKind get() = if (isAvoidingMachines) sharedRequestKind.ofOneJob(spec.id) else sharedRequestKind

    var phase = JobPhase.OPEN

    /** Indices of the tasks that are done, recorded or not. */
    val doneTasks = BitSet()

    /** Indices of the done tasks that are recorded as done in the key-value store. */
    val recordedTasks = BitSet()

    /** Whether completion chunks of the job are being written. */
    var isChunkWriteInFlight = false

    /** Whether the record of the job's completion is being written. */
    var isCompletionWriteInFlight = false

    /** Names of the machines whose task lists have ever contained a task of this job. */
    val listedOnMachines = HashSet<String>()

    /** The attempts that may be running, by task index. */
    val liveAttempts = Int2ObjectLinkedOpenHashMap<Attempt>()

    /** Indices of the tasks that wait to be placed. Empty until the job is placeable. [nextPendingTask] skips outdated entries. */
    val pendingTasks = IntArrayList()

    /** Whether the tasks were queued: the job is ready, and this leader knows all attempts that earlier leaders have started. */
    var isPlaceable = false

    /** The time in microseconds when a task was last placed; 0 before that. */
    var lastPlacedAtUs = 0L

    /** The time in microseconds when a task last began to run; 0 before that. */
    var lastRunningAtUs = 0L

    /** The time in microseconds until which no task of the job is placed, because tasks failed. */
    var backoffUntilUs = Long.MIN_VALUE

    /** The number of attempts that failed under this leader. */
    var failureCount = 0

    /** Saved progress by task index in microseconds of run time, from the attempts that this leader has tracked. */
    private val savedProgressByTask = Int2LongOpenHashMap()

    /** The total saved progress of all tasks that are not done, in microseconds of run time. */
    var totalSavedProgressUs = 0L
        private set

    /** Returns the saved progress of a task in microseconds of run time. */
    fun savedProgressUs(index: Int) = savedProgressByTask.get(index)

    /** Records that a task has saved [progressUs] of progress. Ignored if the task is done or has already saved as much. */
    fun recordSavedProgress(
        index: Int,
        progressUs: Long,
    ) {
        if (doneTasks.get(index) || progressUs <= savedProgressByTask.get(index)) return
        totalSavedProgressUs += progressUs - savedProgressByTask.put(index, progressUs)
    }

    private var doneCount = 0

    /** Whether every task is done, recorded or not. */
    val allTasksDone get() = doneCount >= spec.taskCount

    /** The number of tasks that are not done. */
    val remainingTasks get() = spec.taskCount - doneCount

    /** Marks a task as done. Returns false if it was done before. */
    fun markTaskDone(index: Int): Boolean {
        if (doneTasks.get(index)) return false
        doneTasks.set(index)
        totalSavedProgressUs -= savedProgressByTask.remove(index)
        doneCount++
        return true
    }

    /** Adds [tasks], the indices of tasks that an earlier leader has recorded as done. */
    fun restoreDoneTasks(tasks: BitSet) {
        doneTasks.or(tasks)
        recordedTasks.or(tasks)
        doneCount = doneTasks.cardinality()
    }

    /** Fills the queue with all tasks that are not done and have no attempt that may be running. */
    fun enqueueTasks() {
        isPlaceable = true
        pendingTasks.clear()
        for (i in spec.taskCount - 1 downTo 0) if (!doneTasks.get(i) && !liveAttempts.containsKey(i)) pendingTasks.add(i)
    }

    /** Queues the task again, unless it is done. */
    fun requeueTask(index: Int) {
        if (isPlaceable && phase == JobPhase.OPEN && !doneTasks.get(index)) pendingTasks.add(index)
    }

    /** Returns a text for the log: the times from the job's readiness until [completedAtUs], when its completion was recorded. */
    fun describeTimes(completedAtUs: Long): String =
        "job=${spec.id} class=${spec.jobClass} tasks=${spec.taskCount} " +
            "allPlacedAfterMs=${(lastPlacedAtUs - readyAtUs).coerceAtLeast(0) / MILLI} " +
            "runningAfterMs=${(lastRunningAtUs - readyAtUs).coerceAtLeast(0) / MILLI} " +
            "completedAfterMs=${(completedAtUs - readyAtUs) / MILLI}"

    /** Removes and returns the index of the next queued task that is not done and has no attempt; -1 if there is none. */
    fun nextPendingTask(): Int {
        while (!pendingTasks.isEmpty) {
            val index = pendingTasks.removeInt(pendingTasks.size - 1)
            if (!doneTasks.get(index) && !liveAttempts.containsKey(index)) return index
        }
        return -1
    }
}
