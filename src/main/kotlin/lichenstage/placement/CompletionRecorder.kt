package lichenstage.placement

import lichenstage.jobs.DoneRanges
import java.util.BitSet

/** What the leader has recorded of the tasks that are done, in batches of at most [batch] changes, each after [flushUs] at the earliest. */
class CompletionRecorder(
    private val batch: Int,
    private val flushUs: Long,
    private val valueBytes: Int,
    private val emit: (LeaderEffect) -> Unit,
) {
    /** Jobs with tasks that are done but not recorded, with when that began, the oldest first. */
    private val unrecorded = LinkedHashMap<Job, Long>()
    private var rangesUnderWay = false

    /** Something of the job is done that is not recorded, since [sinceUs] unless it was known already. */
    fun note(
        job: Job,
        sinceUs: Long,
    ) {
        unrecorded.putIfAbsent(job, sinceUs)
    }

    /** The job's end is recorded. */
    fun over(job: Job) {
        unrecorded.remove(job)
    }

    /**
     * Has recorded what is done: the end of a job at once, ranges in one batch after the other, the oldest first. Ranges take
     * what writes the rest leaves, so that the more jobs there are, the longer each waits.
     */
    fun record(now: Long) {
        if (unrecorded.isEmpty()) return
        for (job in unrecorded.keys.filter { it.complete && !it.finishUnderWay }) {
            job.finishUnderWay = true
            emit(LeaderEffect.Finish(job))
        }
        if (rangesUnderWay) return
        val deltas = nextBatch(now)
        if (deltas.isEmpty()) return
        rangesUnderWay = true
        deltas.forEach {
            unrecorded.remove(it.job)
            it.job.rangesUnderWay = true
        }
        emit(LeaderEffect.WriteRanges(deltas))
    }

    /** What one transaction holds of the jobs that have waited long enough. */
    private fun nextBatch(now: Long): List<CompletionDelta> {
        val deltas = ArrayList<CompletionDelta>()
        var writes = 0
        // The oldest come first, and this is asked after every message: what is not due yet is not looked at.
        val due = unrecorded.entries.takeWhile { now - it.value >= flushUs }.map { it.key }
        for (job in due.filter { !it.complete }) {
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
        val covers = job.durable.clone() as BitSet
        val chunks = changedChunks(job).filter { cover(job, it, covers) }
        return CompletionDelta(job, covers, chunks)
    }

    /**
     * Adds to [covers] what a record of the chunk can hold; false where that is nothing new. What is durable stays so: workers have
     * forgotten it.
     */
    private fun cover(
        job: Job,
        chunk: Int,
        covers: BitSet,
    ): Boolean {
        val fitting = DoneRanges.fitting(job.done, chunk, valueBytes)
        val durable = job.durable.get(chunk * DoneRanges.CHUNK, (chunk + 1) * DoneRanges.CHUNK)
        val lost = (durable.clone() as BitSet).apply { andNot(fitting) }
        if (!lost.isEmpty || fitting == durable) return false
        var next = fitting.nextSetBit(0)
        while (next >= 0) {
            covers.set(chunk * DoneRanges.CHUNK + next)
            next = fitting.nextSetBit(next + 1)
        }
        return true
    }

    private fun changedChunks(job: Job): List<Int> {
        val unrecordedTasks = (job.done.clone() as BitSet).apply { andNot(job.durable) }
        return (0 until DoneRanges.chunks(job.spec.tasks)).filter {
            val next = unrecordedTasks.nextSetBit(it * DoneRanges.CHUNK)
            next >= 0 && next < (it + 1) * DoneRanges.CHUNK
        }
    }

    /** What became of a transaction with done ranges. */
    fun written(
        deltas: List<CompletionDelta>,
        ok: Boolean,
        now: Long,
    ) {
        rangesUnderWay = false
        for ((job, covers) in deltas) {
            job.rangesUnderWay = false
            if (ok) job.durable.or(covers)
            if (job.phase == JobPhase.OPEN && job.done.cardinality() != job.durable.cardinality()) note(job, now)
        }
    }
}
