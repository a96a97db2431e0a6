package lichenstage.placement

import lichenstage.common.JsonDecodingException
import lichenstage.jobs.CompletedTaskRanges
import lichenstage.jobs.JobRecordCodec
import lichenstage.state.Entry
import lichenstage.state.TransactionResult
import org.slf4j.LoggerFactory
import java.util.BitSet

/** Brings the records of jobs into the leader's decisions: those with which the term begins, their changes, and what was written. */
internal class LeaderJobRecords(
    private val services: LeaderServices,
    private val core: LeaderCore,
    private val fleet: FleetDriver,
    private val writer: LeaderRecordWriter,
    cancelledAtOnce: Int,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val blockedJobs = BlockedJobs(services.dependencyGraph, core, cancelledAtOnce)

    /** The records with which the term begins are loaded. */
    var isLoaded = false
        private set

    /** Adds the jobs and done tasks that were recorded before the term. */
    fun load(
        jobs: List<Entry>,
        doneRanges: List<Entry>,
    ) {
        // In the order of their submission: the forecast gives less weight to what lies back.
        jobs.sortedBy { JobRecordCodec.submittedAtUs(it.value) }.forEach(::add)
        val orphanedRanges = ArrayList<String>()
        for (entry in doneRanges) {
            val (id, chunk) = entry.key.removePrefix(JobRecordCodec.DONE).split('/')
            val job = core.jobs[id]
            if (job == null) {
                orphanedRanges += entry.key
            } else {
                job.restoreDoneTasks(BitSet().also { CompletedTaskRanges.decode(entry.value, chunk.toInt(), it) })
            }
        }
        isLoaded = true
        releaseReadyJobs()
        writer.delete(orphanedRanges)
    }

    /** Handles a message about jobs and their records. */
    fun handle(
        message: LeaderMessage.JobMessage,
        now: Long,
    ) {
        when (message) {
            is LeaderMessage.OpenJobsReloaded -> {
                reload(message.jobs)
            }

            is LeaderMessage.OpenJobsChanged -> {
                message.added.forEach(::add)
                message.removed.forEach { close(it.removePrefix(JobRecordCodec.OPEN)) }
            }

            is LeaderMessage.JobsEnded -> {
                if (isLoaded) message.jobs.forEach(::close)
            }

            LeaderMessage.DependenciesResolved -> {
                if (isLoaded) releaseReadyJobs()
            }

            is LeaderMessage.OrphansCancelled -> {
                blockedJobs.onCancellationsWritten()
                message.jobs.forEach { close(it.spec.id) }
            }

            is LeaderMessage.DoneRangesWritten -> {
                core.onRangesWritten(message.deltas, message.ok, now)
                message.deltas.filter { it.job.phase == JobPhase.CLOSED }.forEach { writer.deleteRanges(it.job) }
            }

            is LeaderMessage.CompletionWritten -> {
                completionWritten(message, now)
            }
        }
    }

    /** Has jobs recorded as cancelled of which a dependency is cancelled. */
    fun cancelOrphans() {
        blockedJobs.takeJobsToCancel().takeIf { it.isNotEmpty() }?.let(writer::cancelOrphans)
    }

    private fun add(entry: Entry) {
        val spec =
            try {
                JobRecordCodec.decode(entry.value)
            } catch (e: JsonDecodingException) {
                log.error("Record unreadable key={} error={}", entry.key, e.message)
                return
            }
        if (spec.id in core.jobs) return
        val job = Job(spec, entry.modRevision, services.steadyUs(spec.submittedUs))
        core.addJob(job)
        if (job.isReady) {
            fleet.jobReady(job)
        } else {
            blockedJobs.add(job)
            if (isLoaded) releaseReadyJobs()
        }
    }

    /** Releases jobs of which all dependencies are recorded as done; their times count from the last of these records. */
    private fun releaseReadyJobs() =
        blockedJobs.releaseReady { job, recordedAtUs ->
            core.onJobReady(job, if (recordedAtUs == 0L) services.clock.now() else services.steadyUs(recordedAtUs))
            fleet.jobReady(job)
        }

    private fun close(id: String) {
        val job = core.jobs[id] ?: return
        core.onJobClosed(id)
        writer.deleteRanges(job)
    }

    private fun reload(entries: List<Entry>) {
        val open = entries.mapTo(HashSet()) { it.key.removePrefix(JobRecordCodec.OPEN) }
        core.jobs.keys
            .filter { it !in open }
            .forEach(::close)
        entries.forEach(::add)
    }

    private fun completionWritten(
        message: LeaderMessage.CompletionWritten,
        now: Long,
    ) {
        val job = message.job
        if (message.outcome is TransactionResult.Committed) {
            core.onCompletionRecorded(job, now)
            writer.deleteRanges(job)
        } else {
            core.onCompletionFailed(job)
            if (!message.stillOpen) close(job.spec.id)
        }
    }
}
