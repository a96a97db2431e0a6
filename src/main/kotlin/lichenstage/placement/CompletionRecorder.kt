package lichenstage.placement

import lichenstage.jobs.CompletedTaskCodec
import lichenstage.state.BatchSize
import lichenstage.state.WriteOutcome
import java.util.BitSet

/**
 * The scheduler of the writes that record tasks as done. One batch holds at most as many changes as a transaction may have, unless a
 * single job needs more. The done tasks of an open job wait for at least [recordDelayUs] before they are recorded; the completion of a job
 * does not wait.
 */
class CompletionRecorder(
    maxChangesPerTransaction: Int,
    private val recordDelayUs: Long,
    private val maxValueBytes: Int,
    private val emit: (LeaderEffect) -> Unit,
) {
    /** Jobs with done tasks that are not recorded, each with the time at which its wait began, the oldest first. */
    private val unrecordedSinceUs = LinkedHashMap<Job, Long>()
    private val batchSize = BatchSize(maxChangesPerTransaction)
    private var isChunkWriteInFlight = false

    /** Marks the job as having unrecorded done tasks since [sinceUs]. If the job is marked already, the earlier time stays. */
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
     * Starts the writes that are due. The completion of a job is recorded at once. Ranges of done tasks are recorded in one batch after
     * the other, the longest-waiting jobs first. These batches use the write rate that other records leave unused, so each job waits
     * longer if there are more jobs.
     */
    fun writeDueCompletions(nowUs: Long) {
        if (unrecordedSinceUs.isEmpty()) return
        for (job in unrecordedSinceUs.keys.filter { it.allTasksDone && !it.isCompletionWriteInFlight }) {
            job.isCompletionWriteInFlight = true
            emit(LeaderEffect.RecordJobCompletion(job))
        }
        if (isChunkWriteInFlight) return
        val deltas = nextBatch(nowUs)
        if (deltas.isEmpty()) return
        isChunkWriteInFlight = true
        deltas.forEach {
            unrecordedSinceUs.remove(it.job)
            it.job.isChunkWriteInFlight = true
        }
        emit(LeaderEffect.WriteCompletionChunks(deltas))
    }

    /** Returns the changes of the next batch, from the jobs that have waited long enough. */
    private fun nextBatch(nowUs: Long): List<CompletionDelta> {
        val deltas = ArrayList<CompletionDelta>()
        var changeCount = 0
        // This runs after every message, so it visits only the jobs that are due. The oldest come first.
        val dueJobs = unrecordedSinceUs.entries.takeWhile { nowUs - it.value >= recordDelayUs }.map { it.key }
        for (job in dueJobs.filter { !it.allTasksDone }) {
            if (changeCount >= batchSize.current) break
            val delta = createDelta(job)
            if (delta.chunks.isEmpty()) {
                // The new ranges do not fit into their chunks. The job is tried again when another of its tasks is done.
                unrecordedSinceUs.remove(job)
            } else {
                if (changeCount + delta.chunks.size > batchSize.current && deltas.isNotEmpty()) break
                changeCount += delta.chunks.size
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
     * Adds the done tasks that fit into the record of [chunk] to [recordedTasks]. Returns false and adds nothing if the record would not
     * change, or if a recorded task would no longer fit. A recorded task must stay recorded, because the workers have forgotten it.
     */
    private fun addRecordableTasks(
        job: Job,
        chunk: Int,
        recordedTasks: BitSet,
    ): Boolean {
        val recordableTasks = CompletedTaskCodec.truncateToFit(job.doneTasks, chunk, maxValueBytes)
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

    /** Handles the outcome of the write of a batch. Jobs that still have unrecorded done tasks wait again from [nowUs]. */
    fun onCompletionChunksWritten(
        deltas: List<CompletionDelta>,
        outcome: WriteOutcome,
        nowUs: Long,
    ) {
        isChunkWriteInFlight = false
        batchSize.onWritten(outcome)
        for ((job, recordedTasks) in deltas) {
            job.isChunkWriteInFlight = false
            if (outcome == WriteOutcome.COMMITTED) job.recordedTasks.or(recordedTasks)
            if (job.phase == JobPhase.OPEN && job.doneTasks.cardinality() != job.recordedTasks.cardinality()) markUnrecorded(job, nowUs)
        }
    }
}
