package lichenstage.placement

import lichenstage.jobs.CompletedTaskCodec
import java.util.BitSet

/**
 * The scheduler of the records of done tasks. One transaction holds at most [maxWritesPerTransaction] changes. The done tasks of a job
 * wait for at least [recordDelayUs] before they are recorded.
 */
class CompletionRecorder(
    private val maxWritesPerTransaction: Int,
    private val recordDelayUs: Long,
    private val valueBytes: Int,
    private val emit: (LeaderEffect) -> Unit,
) {
    /** Jobs with done tasks that are not recorded, each with the time at which its wait began, the oldest first. */
    private val unrecordedSinceUs = LinkedHashMap<Job, Long>()
    private var isRangesWriteInFlight = false

    /** Notes that the job has done tasks that are not recorded, since [sinceUs]. A time that was noted before stays. */
    fun markUnrecorded(
        job: Job,
        sinceUs: Long,
    ) {
        unrecordedSinceUs.putIfAbsent(job, sinceUs)
    }

    /** Removes a closed job, which needs no further records. */
    fun onJobClosed(job: Job) {
        unrecordedSinceUs.remove(job)
    }

    /**
     * Requests the records that are due. The completion of a job is recorded at once. Ranges of done tasks are recorded in one batch
     * after the other, the oldest first. They use the write rate that other records leave unused, so each job waits longer if there are
     * more jobs.
     */
    fun writeDueCompletions(nowUs: Long) {
        if (unrecordedSinceUs.isEmpty()) return
        for (job in unrecordedSinceUs.keys.filter { it.allTasksDone && !it.isCompletionWriteInFlight }) {
            job.isCompletionWriteInFlight = true
            emit(LeaderEffect.RecordJobCompletion(job))
        }
        if (isRangesWriteInFlight) return
        val deltas = nextBatch(nowUs)
        if (deltas.isEmpty()) return
        isRangesWriteInFlight = true
        deltas.forEach {
            unrecordedSinceUs.remove(it.job)
            it.job.isRangesWriteInFlight = true
        }
        emit(LeaderEffect.WriteCompletionChunks(deltas))
    }

    /** Returns the changes of one transaction, from the jobs that have waited long enough. */
    private fun nextBatch(nowUs: Long): List<CompletionDelta> {
        val deltas = ArrayList<CompletionDelta>()
        var writes = 0
        // This runs after every message, so it visits only the jobs that are due. The oldest come first.
        val dueJobs = unrecordedSinceUs.entries.takeWhile { nowUs - it.value >= recordDelayUs }.map { it.key }
        for (job in dueJobs.filter { !it.allTasksDone }) {
            if (writes >= maxWritesPerTransaction) break
            val delta = createDelta(job)
            if (delta.chunks.isEmpty()) {
                // The ranges are too large for a record. The job is tried again when another of its tasks is done.
                unrecordedSinceUs.remove(job)
            } else {
                if (writes + delta.chunks.size > maxWritesPerTransaction && deltas.isNotEmpty()) break
                writes += delta.chunks.size
                deltas += delta
            }
        }
        return deltas
    }

    private fun createDelta(job: Job): CompletionDelta {
        val recordedTasks = job.recordedTasks.clone() as BitSet
        val chunks = changedChunks(job).filter { addRecordableTasks(job, it, recordedTasks) }
        return CompletionDelta(job, recordedTasks, chunks)
    }

    /**
     * Adds the done tasks that a record of the chunk can hold to [recordedTasks]. Returns false and adds nothing if this would add no
     * task, or if the record would lose a recorded task. A recorded task must stay recorded, because the workers have forgotten it.
     */
    private fun addRecordableTasks(
        job: Job,
        chunk: Int,
        recordedTasks: BitSet,
    ): Boolean {
        val recordableTasks = CompletedTaskCodec.truncateToFit(job.doneTasks, chunk, valueBytes)
        val recorded = job.recordedTasks.get(chunk * CompletedTaskCodec.TASKS_PER_CHUNK, (chunk + 1) * CompletedTaskCodec.TASKS_PER_CHUNK)
        val droppedTasks = (recorded.clone() as BitSet).apply { andNot(recordableTasks) }
        if (!droppedTasks.isEmpty || recordableTasks == recorded) return false
        var next = recordableTasks.nextSetBit(0)
        while (next >= 0) {
            recordedTasks.set(chunk * CompletedTaskCodec.TASKS_PER_CHUNK + next)
            next = recordableTasks.nextSetBit(next + 1)
        }
        return true
    }

    private fun changedChunks(job: Job): List<Int> {
        val unrecordedTasks = (job.doneTasks.clone() as BitSet).apply { andNot(job.recordedTasks) }
        return (0 until CompletedTaskCodec.chunkCount(job.spec.taskCount)).filter {
            val next = unrecordedTasks.nextSetBit(it * CompletedTaskCodec.TASKS_PER_CHUNK)
            next >= 0 && next < (it + 1) * CompletedTaskCodec.TASKS_PER_CHUNK
        }
    }

    /** Handles the result of a transaction that records ranges of done tasks. */
    fun onRangesWritten(
        deltas: List<CompletionDelta>,
        isCommitted: Boolean,
        nowUs: Long,
    ) {
        isRangesWriteInFlight = false
        for ((job, recordedTasks) in deltas) {
            job.isRangesWriteInFlight = false
            if (isCommitted) job.recordedTasks.or(recordedTasks)
            if (job.phase == JobPhase.OPEN && job.doneTasks.cardinality() != job.recordedTasks.cardinality()) markUnrecorded(job, nowUs)
        }
    }
}
