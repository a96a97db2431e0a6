package lichenstage.placement

import lichenstage.jobs.CompletedTaskRanges
import java.util.BitSet

/**
 * Decides which done tasks are recorded next. One transaction holds at most [maxWritesPerTransaction] changes, and the done tasks of a job
 * are recorded [recordDelayUs] microseconds after the first of them at the earliest.
 */
class CompletionRecorder(
    private val maxWritesPerTransaction: Int,
    private val recordDelayUs: Long,
    private val valueBytes: Int,
    private val emit: (LeaderEffect) -> Unit,
) {
    /** Jobs with tasks that are done but not recorded, with when that began, the oldest first. */
    private val unrecordedSinceUs = LinkedHashMap<Job, Long>()
    private var rangesWriteInFlight = false

    /** Something of the job is done that is not recorded, since [sinceUs] unless it was known already. */
    fun markUnrecorded(
        job: Job,
        sinceUs: Long,
    ) {
        unrecordedSinceUs.putIfAbsent(job, sinceUs)
    }

    /** The job's completion is recorded. */
    fun onCompletionRecorded(job: Job) {
        unrecordedSinceUs.remove(job)
    }

    /**
     * Has recorded what is done: the end of a job at once, ranges in one batch after the other, the oldest first. Ranges take
     * what writes the rest leaves, so that the more jobs there are, the longer each waits.
     */
    fun writeDueCompletions(nowUs: Long) {
        if (unrecordedSinceUs.isEmpty()) return
        for (job in unrecordedSinceUs.keys.filter { it.allTasksDone && !it.isCompletionWriteInFlight }) {
            job.isCompletionWriteInFlight = true
            emit(LeaderEffect.RecordCompletion(job))
        }
        if (rangesWriteInFlight) return
        val deltas = nextBatch(nowUs)
        if (deltas.isEmpty()) return
        rangesWriteInFlight = true
        deltas.forEach {
            unrecordedSinceUs.remove(it.job)
            it.job.isRangesWriteInFlight = true
        }
        emit(LeaderEffect.WriteDoneRanges(deltas))
    }

    /** What one transaction holds of the jobs that have waited long enough. */
    private fun nextBatch(nowUs: Long): List<CompletionDelta> {
        val deltas = ArrayList<CompletionDelta>()
        var writes = 0
        // The oldest come first, and this runs after every message: what is not due yet is not looked at.
        val dueJobs = unrecordedSinceUs.entries.takeWhile { nowUs - it.value >= recordDelayUs }.map { it.key }
        for (job in dueJobs.filter { !it.allTasksDone }) {
            if (writes >= maxWritesPerTransaction) break
            val delta = createDelta(job)
            if (delta.chunks.isEmpty()) {
                // Too large for a record: it comes again with the next of its tasks that is done.
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
     * Adds the done tasks that a record of the chunk can hold to [recordedTasks]. Returns false, and adds nothing, where the record would
     * add no task or would lose a durable one: the workers have forgotten durable tasks, so they must stay recorded.
     */
    private fun addRecordableTasks(
        job: Job,
        chunk: Int,
        recordedTasks: BitSet,
    ): Boolean {
        val recordableTasks = CompletedTaskRanges.truncateToFit(job.doneTasks, chunk, valueBytes)
        val durableTasks =
            job.recordedTasks.get(
                chunk * CompletedTaskRanges.TASKS_PER_CHUNK,
                (chunk + 1) * CompletedTaskRanges.TASKS_PER_CHUNK,
            )
        val droppedTasks = (durableTasks.clone() as BitSet).apply { andNot(recordableTasks) }
        if (!droppedTasks.isEmpty || recordableTasks == durableTasks) return false
        var next = recordableTasks.nextSetBit(0)
        while (next >= 0) {
            recordedTasks.set(chunk * CompletedTaskRanges.TASKS_PER_CHUNK + next)
            next = recordableTasks.nextSetBit(next + 1)
        }
        return true
    }

    private fun changedChunks(job: Job): List<Int> {
        val unrecordedTasks = (job.doneTasks.clone() as BitSet).apply { andNot(job.recordedTasks) }
        return (0 until CompletedTaskRanges.chunks(job.spec.tasks)).filter {
            val next = unrecordedTasks.nextSetBit(it * CompletedTaskRanges.TASKS_PER_CHUNK)
            next >= 0 && next < (it + 1) * CompletedTaskRanges.TASKS_PER_CHUNK
        }
    }

    /** The outcome of a transaction with done ranges. */
    fun onRangesWritten(
        deltas: List<CompletionDelta>,
        isCommitted: Boolean,
        nowUs: Long,
    ) {
        rangesWriteInFlight = false
        for ((job, recordedTasks) in deltas) {
            job.isRangesWriteInFlight = false
            if (isCommitted) job.recordedTasks.or(recordedTasks)
            if (job.phase == JobPhase.OPEN && job.doneTasks.cardinality() != job.recordedTasks.cardinality()) markUnrecorded(job, nowUs)
        }
    }
}
