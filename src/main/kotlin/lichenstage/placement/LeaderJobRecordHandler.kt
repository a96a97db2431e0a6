package lichenstage.placement

import lichenstage.common.JsonDecodingException
import lichenstage.jobs.CompletedTaskCodec
import lichenstage.jobs.JobRecordCodec
import lichenstage.state.Entry
import lichenstage.state.TransactionResult
import org.slf4j.LoggerFactory
import java.util.BitSet

/** Applies job records to the leader's state: the records at the start of the term, their later changes, and the outcomes of writes. */
internal class LeaderJobRecordHandler(
    private val services: LeaderServices,
    private val core: LeaderCore,
    private val fleetDriver: FleetDriver,
    private val recordWriter: LeaderRecordWriter,
    maxCancellationsPerTransaction: Int,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val blockedJobs = BlockedJobs(services.dependencyGraph, core, maxCancellationsPerTransaction)

    /** Whether the records at the start of the term have been loaded. */
    var isLoaded = false
        private set

    /** Adds the jobs and the done tasks that were recorded before the term. */
    fun load(
        jobs: List<Entry>,
        completionChunks: List<Entry>,
    ) {
        // Jobs are added in the order of their submission, because the forecast gives less weight to older arrivals.
        jobs.sortedBy { JobRecordCodec.decodeSubmittedAtUs(it.value) }.forEach(::addJob)
        val obsoleteKeys = ArrayList<String>()
        for (entry in completionChunks) {
            val (id, chunk) = entry.key.removePrefix(JobRecordCodec.DONE_TASKS_PREFIX).split('/')
            val job = core.jobs[id]
            if (job == null) {
                obsoleteKeys += entry.key
            } else {
                job.restoreDoneTasks(BitSet().also { CompletedTaskCodec.decode(entry.value, chunk.toInt(), it) })
            }
        }
        isLoaded = true
        releaseReadyJobs()
        recordWriter.deleteKeys(obsoleteKeys)
    }

    /** Handles a message about jobs and their records. */
    fun handle(
        message: LeaderMessage.JobMessage,
        nowUs: Long,
    ) {
        when (message) {
            is LeaderMessage.OpenJobsReloaded -> {
                reloadOpenJobs(message.jobs)
            }

            is LeaderMessage.OpenJobsChanged -> {
                message.addedRecords.forEach(::addJob)
                message.removedKeys.forEach { closeJob(it.removePrefix(JobRecordCodec.OPEN_PREFIX)) }
            }

            is LeaderMessage.JobsFinished -> {
                if (isLoaded) message.jobs.forEach(::closeJob)
            }

            LeaderMessage.DependenciesResolved -> {
                if (isLoaded) releaseReadyJobs()
            }

            is LeaderMessage.UnrunnableJobsCancelled -> {
                blockedJobs.onCancellationsWritten()
                message.jobs.forEach { closeJob(it.spec.id) }
            }

            is LeaderMessage.CompletionChunksWritten -> {
                core.onCompletionChunksWritten(message.deltas, message.outcome, nowUs)
                message.deltas.filter { it.job.phase == JobPhase.CLOSED }.forEach { recordWriter.deleteCompletionChunks(it.job) }
            }

            is LeaderMessage.JobCompletionWritten -> {
                onJobCompletionWritten(message, nowUs)
            }
        }
    }

    /** Cancels jobs that can never run because one of their dependencies is cancelled. */
    fun cancelUnrunnableJobs() {
        blockedJobs.takeJobsToCancel().takeIf { it.isNotEmpty() }?.let(recordWriter::cancelUnrunnableJobs)
    }

    private fun addJob(entry: Entry) {
        val spec =
            try {
                JobRecordCodec.decode(entry.value)
            } catch (e: JsonDecodingException) {
                log.error("Job record unreadable key={} reason={}", entry.key, e.message)
                return
            }
        if (spec.id in core.jobs) return
        val job = Job(spec, entry.modRevision, services.toSteadyClockUs(spec.submittedAtUs))
        core.addJob(job)
        if (job.isReady) {
            fleetDriver.onJobReady(job)
        } else {
            blockedJobs.add(job)
            if (isLoaded) releaseReadyJobs()
        }
    }

    /**
     * Releases the jobs whose dependencies are all recorded as done. The last of these records sets the time at which a job became ready.
     */
    private fun releaseReadyJobs() =
        blockedJobs.releaseReady { job, recordedAtUs ->
            core.onJobReady(job, if (recordedAtUs == 0L) services.clock.now() else services.toSteadyClockUs(recordedAtUs))
            fleetDriver.onJobReady(job)
        }

    private fun closeJob(id: String) {
        val job = core.jobs[id] ?: return
        core.onJobClosed(id)
        recordWriter.deleteCompletionChunks(job)
    }

    private fun reloadOpenJobs(entries: List<Entry>) {
        val openIds = entries.mapTo(HashSet()) { it.key.removePrefix(JobRecordCodec.OPEN_PREFIX) }
        core.jobs.keys
            .filter { it !in openIds }
            .forEach(::closeJob)
        entries.forEach(::addJob)
    }

    private fun onJobCompletionWritten(
        message: LeaderMessage.JobCompletionWritten,
        nowUs: Long,
    ) {
        val job = message.job
        if (message.outcome is TransactionResult.Committed) {
            core.onCompletionRecorded(job, nowUs)
            recordWriter.deleteCompletionChunks(job)
        } else {
            core.onCompletionWriteFailed(job)
            if (!message.isStillOpen) closeJob(job.spec.id)
        }
    }
}
