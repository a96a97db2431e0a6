package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND
import org.slf4j.LoggerFactory

/** Events of attempts that an [AttemptTracker] follows. */
internal interface AttemptListener {
    /** The task is done; called once for each task. */
    fun onTaskDone(
        job: Job,
        nowUs: Long,
    )

    /** The attempt has ended, whether or not its task is done. */
    fun onAttemptEnded(attempt: Attempt)

    /** A newer attempt of the task was found on another machine: this one is to be stopped where it is still listed. */
    fun onAttemptSuperseded(attempt: Attempt)
}

/** Follows attempts by the task lists of their machines, as the frames of partitions bring them. */
internal class AttemptTracker(
    private val leaseUs: Long,
    private val attempts: RunningAttempts,
    private val runTimes: RunTimeEstimates,
    private val checkpointPreemption: CheckpointPreemption,
    private val isRegistered: (String) -> Boolean,
    private val listener: AttemptListener,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")

    /** Jobs whose tasks failed on a machine: several point at the machine. */
    val failedJobsByMachine = HashMap<String, HashSet<String>>()

    /** As of when what is lost is counted: the progress of tasks that save by themselves depends on it. */
    private var currentTimeUs = 0L

    fun updateTime(nowUs: Long) {
        currentTimeUs = nowUs
    }

    /** A machine lists a task of [job]. */
    fun onTaskListed(
        partition: PartitionRef,
        machine: MachineState,
        task: TaskState,
        job: Job,
        nowUs: Long,
    ) {
        val index = task.index
        if (index !in 0 until job.spec.tasks) return
        job.listedOnMachines += machine.name
        val currentAttempt = job.liveAttempts.get(index)
        val matchingAttempt = currentAttempt?.takeIf { it.number == task.attempt && it.machine == machine.name }
        when {
            task.phase == TaskPhase.ENDED -> handleTaskEnd(partition, machine, task, job, matchingAttempt, nowUs)
            matchingAttempt != null -> updatePhase(matchingAttempt, task.phase, nowUs)
            else -> recoverAttempt(partition, machine, task, job, currentAttempt)
        }
    }

    private fun updatePhase(
        attempt: Attempt,
        phase: TaskPhase,
        nowUs: Long,
    ) {
        if (attempt.phase != phase && phase == TaskPhase.RUNNING) {
            attempt.firstRunningAtUs = nowUs
            attempt.job.lastRunningAtUs = nowUs
        }
        attempt.phase = phase
    }

    private fun handleTaskEnd(
        partition: PartitionRef,
        machine: MachineState,
        task: TaskState,
        job: Job,
        attempt: Attempt?,
        nowUs: Long,
    ) {
        if (task.cause == TaskEndCause.DONE) {
            val ranUs = attempt?.takeIf { it.firstRunningAtUs > 0 }?.progressUs(nowUs)
            if (job.markTaskDone(task.index)) {
                if (ranUs != null) runTimes.recordCompletion(job.spec, ranUs)
                listener.onTaskDone(job, nowUs)
            }
        } else if (attempt != null) {
            recordFailure(job, machine, task, nowUs)
        }
        if (attempt == null) return
        endAttempt(attempt, progressAtStopUs(attempt))
        if (task.cause == TaskEndCause.BUSY) recoverConflictingAttempt(partition, machine, task, job)
    }

    /**
     * The start was refused since another attempt of the task is on this machine: that one counts, and the task is placed nowhere else
     * while it is listed, although its number is the lower.
     */
    private fun recoverConflictingAttempt(
        partition: PartitionRef,
        machine: MachineState,
        refusedTask: TaskState,
        job: Job,
    ) {
        val conflictingTask = machine.tasks.firstOrNull { it.task == refusedTask.task && it.phase != TaskPhase.ENDED } ?: return
        recoverAttempt(partition, machine, conflictingTask, job, job.liveAttempts.get(conflictingTask.index))
    }

    /**
     * An attempt that an earlier leader started. Not on a machine without record: that one is terminated, as its partition will find
     * (invariant 4), and its tasks may run elsewhere by now. (Seen on inc-2104: its attempts were tracked, and the ones that ran were
     * stopped.) Of two attempts the newer counts: it was started only once the older was proven to have ended, and what lists the older
     * is a machine that was terminated with no time left to record that.
     */
    private fun recoverAttempt(
        partition: PartitionRef,
        machine: MachineState,
        task: TaskState,
        job: Job,
        currentAttempt: Attempt?,
    ) {
        if (machine.isTokenConfirmed && isRegistered(machine.name) && (currentAttempt == null || task.attempt > currentAttempt.number)) {
            val attempt = Attempt(job, task.index, task.attempt, machine.name, partition.id)
            attempt.partitionTerm = partition.state.term
            attempt.startSeq = partition.state.reflectedSeq
            attempt.phase = task.phase
            if (currentAttempt != null) supersedeAttempt(currentAttempt)
            attempts.track(attempt)
        } else if (currentAttempt != null) {
            log.info(
                "Conflicting attempt ignored task={} attempt={} machine={} currentAttempt={} currentMachine={}",
                task.task,
                task.attempt,
                machine.name,
                currentAttempt.number,
                currentAttempt.machine,
            )
        }
    }

    private fun supersedeAttempt(attempt: Attempt) {
        log.info("Attempt superseded task={} attempt={} machine={}", attempt.task, attempt.number, attempt.machine)
        attempts.remove(attempt)
        checkpointPreemption.onAttemptEnded(attempt)
        listener.onAttemptSuperseded(attempt)
    }

    private fun recordFailure(
        job: Job,
        machine: MachineState,
        task: TaskState,
        nowUs: Long,
    ) {
        if (task.cause == TaskEndCause.HALTED) return
        log.info("Attempt failed task={} attempt={} machine={} cause={}", task.task, task.attempt, machine.name, task.cause)
        if (task.cause == TaskEndCause.ERROR) failedJobsByMachine.getOrPut(machine.name) { HashSet() }.add(job.spec.id)
        job.failureCount++
        // A job that fails everywhere must not use the slots of others again and again.
        val backoffUs = (SECOND shl minOf(job.failureCount, MAX_BACKOFF_DOUBLINGS)).coerceAtMost(MAX_BACKOFF_US)
        job.backoffUntilUs = maxOf(job.backoffUntilUs, nowUs + backoffUs / 2)
    }

    /** Nothing of the attempt is left but [savedProgressUs] of progress. */
    private fun endAttempt(
        attempt: Attempt,
        savedProgressUs: Long,
    ) {
        attempts.remove(attempt)
        checkpointPreemption.onAttemptEnded(attempt)
        attempt.job.recordSavedProgress(attempt.index, savedProgressUs)
        attempt.job.requeueTask(attempt.index)
        listener.onAttemptEnded(attempt)
    }

    /** Attempts that were lost with their machine, or never got there. */
    fun endLostAttempts(attempts: List<Attempt>) = attempts.forEach { endAttempt(it, checkpointedProgressUs(it)) }

    /** Ends those of [candidates] that are proven to be nowhere any more. */
    fun endAbsentAttempts(
        candidates: Sequence<Attempt>,
        partition: (String) -> PartitionState?,
    ) {
        val absent = candidates.filter { attempt -> partition(attempt.partition)?.let { isAbsent(attempt, it) } == true }.toList()
        absent.forEach { log.debug("Attempt no longer on its machine task={} attempt={} machine={}", it.task, it.number, it.machine) }
        endLostAttempts(absent)
    }

    /** Its partition has received its start, and its machine does not list it or is lost (see [MachineKnowledge]). */
    private fun isAbsent(
        attempt: Attempt,
        partition: PartitionState,
    ): Boolean {
        if (attempt.partitionTerm >= partition.term && attempt.startSeq > partition.reflectedSeq) return false
        return when (MachineKnowledge.of(attempt.machine, partition, leaseUs)) {
            MachineKnowledge.UNKNOWN -> false
            MachineKnowledge.LEASE_EXPIRED -> true
            MachineKnowledge.LISTED -> !isListed(attempt, partition)
        }
    }

    private fun isListed(
        attempt: Attempt,
        partition: PartitionState,
    ) = partition.machines[attempt.machine]
        ?.tasks
        .orEmpty()
        .any { it.attempt == attempt.number && it.task == attempt.task }

    /** Progress of a task that was stopped by command. */
    private fun progressAtStopUs(attempt: Attempt) =
        if (attempt.saveCommandedAtUs > 0) attempt.progressUs(attempt.saveCommandedAtUs) else checkpointedProgressUs(attempt)

    /** A task that saves by itself now and then has kept its progress up to the last time. */
    private fun checkpointedProgressUs(attempt: Attempt): Long {
        val intervalUs = attempt.job.spec.checkpointIntervalUs
        if (intervalUs <= 0 || attempt.phase != TaskPhase.RUNNING) return 0
        return attempt.progressUs(currentTimeUs) / intervalUs * intervalUs
    }

    private companion object {
        const val MAX_BACKOFF_DOUBLINGS = 4
        const val MAX_BACKOFF_US = 10 * SECOND
    }
}
