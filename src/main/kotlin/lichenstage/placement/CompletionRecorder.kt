package lichenstage.placement

import lichenstage.jobs.CompletedTaskRanges
import java.util.BitSet

/** Decides which done tasks are recorded next, in batches of at most [batch] changes, those of a job after [flushUs] at the earliest. */
class CompletionRecorder(
    private val batch: Int,
    private val flushUs: Long,
    private val valueBytes: Int,
    private val emit: (LeaderEffect) -> Unit,
) {
    /** Jobs with tasks that are done but not recorded, with when that began, the oldest first. */
    private val unrecorded = LinkedHashMap<Job, Long>()
    private var rangesWriteInFlight = false

    /** Something of the job is done that is not recorded, since [sinceUs] unless it was known already. */
    fun markUnrecorded(
        job: Job,
        sinceUs: Long,
    ) {
        unrecorded.putIfAbsent(job, sinceUs)
    }

    /** The job's completion is recorded. */
    fun completionRecorded(job: Job) {
        unrecorded.remove(job)
    }

    /**
     * Has recorded what is done: the end of a job at once, ranges in one batch after the other, the oldest first. Ranges take
     * what writes the rest leaves, so that the more jobs there are, the longer each waits.
     */
    fun writeDue(now: Long) {
        if (unrecorded.isEmpty()) return
        for (job in unrecorded.keys.filter { it.allTasksDone && !it.isCompletionWriteInFlight }) {
            job.isCompletionWriteInFlight = true
            emit(LeaderEffect.RecordCompletion(job))
        }
        if (rangesWriteInFlight) return
        val deltas = nextBatch(now)
        if (deltas.isEmpty()) return
        rangesWriteInFlight = true
        deltas.forEach {
            unrecorded.remove(it.job)
            it.job.isRangesWriteInFlight = true
        }
        emit(LeaderEffect.WriteDoneRanges(deltas))
    }

    /** What one transaction holds of the jobs that have waited long enough. */
    private fun nextBatch(now: Long): List<CompletionDelta> {
        val deltas = ArrayList<CompletionDelta>()
        var writes = 0
        // The oldest come first, and this runs after every message: what is not due yet is not looked at.
        val due = unrecorded.entries.takeWhile { now - it.value >= flushUs }.map { it.key }
        for (job in due.filter { !it.allTasksDone }) {
            if (writes >= batch) break
            val delta = delta(job)
            if (delta.chunks.isEmpty()) {
                // Too large for a record: it comes again with the next of its tasks that is done.
                unrecorded.remove(job)
            } else {
                if (writes + delta.chunks.size > batch && deltas.isNotEmpty()) break
                writes += delta.chunks.size
                deltas += delta
            }
        }
        return deltas
    }

    private fun delta(job: Job): CompletionDelta {
        val recordedTasks = job.recordedTasks.clone() as BitSet
        val chunks = changedChunks(job).filter { addWritable(job, it, recordedTasks) }
        return CompletionDelta(job, recordedTasks, chunks)
    }

    /**
     * Adds to [recordedTasks] what a record of the chunk can hold; false where that is nothing new. What is durable stays so: workers have
     * forgotten it.
     */
    private fun addWritable(
        job: Job,
        chunk: Int,
        recordedTasks: BitSet,
    ): Boolean {
        val fitting = CompletedTaskRanges.truncateToFit(job.doneTasks, chunk, valueBytes)
        val durable = job.recordedTasks.get(chunk * CompletedTaskRanges.TASKS_PER_CHUNK, (chunk + 1) * CompletedTaskRanges.TASKS_PER_CHUNK)
        val lost = (durable.clone() as BitSet).apply { andNot(fitting) }
        if (!lost.isEmpty || fitting == durable) return false
        var next = fitting.nextSetBit(0)
        while (next >= 0) {
            recordedTasks.set(chunk * CompletedTaskRanges.TASKS_PER_CHUNK + next)
            next = fitting.nextSetBit(next + 1)
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
    fun rangesWritten(
        deltas: List<CompletionDelta>,
        ok: Boolean,
        now: Long,
    ) {
        rangesWriteInFlight = false
        for ((job, recordedTasks) in deltas) {
            job.isRangesWriteInFlight = false
            if (ok) job.recordedTasks.or(recordedTasks)
            if (job.phase == JobPhase.OPEN && job.doneTasks.cardinality() != job.recordedTasks.cardinality()) markUnrecorded(job, now)
        }
    }
}
