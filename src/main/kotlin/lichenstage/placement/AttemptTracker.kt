package lichenstage.placement

import lichenstage.cluster.MachineState
import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.common.SECOND
import org.slf4j.LoggerFactory

/** Receives the changes of attempts that an [AttemptTracker] detects. */
internal interface AttemptListener {
    /** Called once per task, when an attempt of the task has ended as done for the first time. */
    fun onTaskDone(
        job: Job,
        nowUs: Long,
    )

    /** Called when the attempt has ended, whether or not its task is done. Not called for a superseded attempt. */
    fun onAttemptEnded(attempt: Attempt)

    /** Called when a newer attempt of the same task was found. The superseded attempt must be stopped if a machine still lists it. */
    fun onAttemptSuperseded(attempt: Attempt)
}

/** Updates attempts from the task lists of their machines, which arrive in the frames of partitions. */
internal class AttemptTracker(
    private val leaseUs: Long,
    private val runningAttempts: RunningAttempts,
    private val runTimes: RunTimeEstimates,
    private val checkpointPreemption: CheckpointPreemption,
    private val failureHistory: FailureHistory,
    private val isRegistered: (String) -> Boolean,
    private val listener: AttemptListener,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")

    /** The current time in microseconds. The checkpoints of an attempt that is found to be lost count up to this time. */
    private var currentTimeUs = 0L

    /** Sets the current time, which is needed to determine the last checkpoint of an attempt that is found to be lost. */
    fun updateTime(nowUs: Long) {
        currentTimeUs = nowUs
    }

    /** Handles an entry in the task list of a machine. [task] is a task of [job]. */
    fun onTaskListed(
        partition: PartitionRef,
        machine: MachineState,
        task: TaskState,
        job: Job,
        nowUs: Long,
    ) {
        val index = task.index
        if (index !in 0 until job.spec.taskCount) return
        job.listedOnMachines += machine.name
        val currentAttempt = job.liveAttempts.get(index)
        val matchingAttempt = currentAttempt?.takeIf { it.number == task.attemptNumber && it.machine == machine.name }
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
            attempt.startedRunningAtUs = nowUs
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
            val ranUs = attempt?.takeIf { it.startedRunningAtUs > 0 }?.progressUs(nowUs)
            if (attempt != null) failureHistory.recordSuccess(job, machine.name, nowUs)
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
     * Recovers the attempt that caused the refusal of a start: the machine still lists another attempt of the same task. The leader
     * tracks that attempt, although its number is lower, and places the task nowhere else while the machine lists it.
     */
    private fun recoverConflictingAttempt(
        partition: PartitionRef,
        machine: MachineState,
        refusedTask: TaskState,
        job: Job,
    ) {
        val conflictingTask = machine.tasks.firstOrNull { it.taskId == refusedTask.taskId && it.phase != TaskPhase.ENDED } ?: return
        recoverAttempt(partition, machine, conflictingTask, job, job.liveAttempts.get(conflictingTask.index))
    }

    /**
     * Tracks an attempt that an earlier leader started.
     *
     * An attempt on a machine without a record is not tracked (invariant 4). Such a machine may be terminated without its partition
     * knowing this yet, and its tasks may run elsewhere by now. In inc-2104 such attempts were tracked, and the attempts that really ran
     * were stopped. If the machine is recorded later, [AttemptRecovery] tracks its attempts then.
     *
     * If two attempts of a task are listed, the newer one is tracked. It was started only after the older one was proven to have ended.
     * In this case the machine that lists the older attempt is terminated, but the earlier leader lost its term before recording this.
     */
    private fun recoverAttempt(
        partition: PartitionRef,
        machine: MachineState,
        task: TaskState,
        job: Job,
        currentAttempt: Attempt?,
    ) {
        if (machine.isTokenConfirmed && isRegistered(machine.name) &&
            (currentAttempt == null || task.attemptNumber > currentAttempt.number)
        ) {
            val attempt = Attempt(job, task.index, task.attemptNumber, machine.name, partition.id)
            attempt.partitionTerm = partition.state.term
            attempt.startSeq = partition.state.reflectedSeq
            attempt.phase = task.phase
            if (currentAttempt != null) supersedeAttempt(currentAttempt)
            runningAttempts.track(attempt)
        } else if (currentAttempt != null) {
            log.info(
                "Conflicting attempt ignored task={} attempt={} machine={} currentAttempt={} currentMachine={}",
                task.taskId,
                task.attemptNumber,
                machine.name,
                currentAttempt.number,
                currentAttempt.machine,
            )
        }
    }

    private fun supersedeAttempt(attempt: Attempt) {
        log.info("Attempt superseded task={} attempt={} machine={}", attempt.taskId, attempt.number, attempt.machine)
        runningAttempts.remove(attempt)
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
        log.info("Attempt failed task={} attempt={} machine={} cause={}", task.taskId, task.attemptNumber, machine.name, task.cause)
        if (task.cause == TaskEndCause.ERROR) failureHistory.recordFailure(job, machine.name, nowUs)
        job.failureCount++
        // Without the backoff, a job that fails on every machine would keep taking capacity from other jobs.
        val backoffUs = (SECOND shl minOf(job.failureCount, MAX_BACKOFF_DOUBLINGS)).coerceAtMost(MAX_BACKOFF_US)
        job.backoffUntilUs = maxOf(job.backoffUntilUs, nowUs + maxOf(backoffUs / 2, failureHistory.jobPauseUs(job, nowUs)))
    }

    /** Ends the attempt, records [savedProgressUs] of saved progress, and queues the task again unless it is done. */
    private fun endAttempt(
        attempt: Attempt,
        savedProgressUs: Long,
    ) {
        runningAttempts.remove(attempt)
        checkpointPreemption.onAttemptEnded(attempt)
        attempt.job.recordSavedProgress(attempt.index, savedProgressUs)
        attempt.job.requeueTask(attempt.index)
        listener.onAttemptEnded(attempt)
    }

    /** Ends attempts that were lost with their machine or never reached it. */
    fun endLostAttempts(attempts: List<Attempt>) = attempts.forEach { endAttempt(it, checkpointedProgressUs(it)) }

    /** Ends the attempts among [candidates] that are proven to run on no machine. [partition] returns a partition's state by name. */
    fun endAbsentAttempts(
        candidates: Sequence<Attempt>,
        partition: (String) -> PartitionState?,
    ) {
        val absentAttempts = candidates.filter { attempt -> partition(attempt.partition)?.let { isAbsent(attempt, it) } == true }.toList()
        absentAttempts.forEach {
            log.debug(
                "Attempt absent from its machine task={} attempt={} machine={}",
                it.taskId,
                it.number,
                it.machine,
            )
        }
        endLostAttempts(absentAttempts)
    }

    /**
     * Whether the attempt is proven not to run: the partition has received its start, and the machine's lease has expired or its reliable
     * task list does not contain the attempt (see [MachineKnowledge]).
     */
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
        .any { it.attemptNumber == attempt.number && it.taskId == attempt.taskId }

    /** Returns the progress that is kept when the attempt ends: all progress up to a stop with a checkpoint, if one was sent. */
    private fun progressAtStopUs(attempt: Attempt) =
        if (attempt.checkpointStopAtUs > 0) attempt.progressUs(attempt.checkpointStopAtUs) else checkpointedProgressUs(attempt)

    /** Returns the progress at the last periodic checkpoint; 0 if the task saves none. */
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
