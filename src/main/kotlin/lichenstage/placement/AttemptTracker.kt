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
    fun taskDone(
        job: Job,
        now: Long,
    )

    /** The attempt has ended, whether or not its task is done. */
    fun attemptEnded(attempt: Attempt)

    /** A newer attempt of the task was found on another machine: this one is to be stopped where it is still listed. */
    fun attemptSuperseded(attempt: Attempt)
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
    val failedJobs = HashMap<String, HashSet<String>>()

    /** As of when what is lost is counted: the progress of tasks that save by themselves depends on it. */
    private var nowUs = 0L

    fun timePassed(now: Long) {
        nowUs = now
    }

    /** A machine lists a task of [job]. */
    fun listed(
        partition: PartitionRef,
        machine: MachineState,
        task: TaskState,
        job: Job,
        now: Long,
    ) {
        val index = task.index
        if (index !in 0 until job.spec.tasks) return
        job.listedOnMachines += machine.name
        val known = job.liveAttempts.get(index)
        val mine = known?.takeIf { it.number == task.attempt && it.machine == machine.name }
        when {
            task.phase == TaskPhase.ENDED -> ended(partition, machine, task, job, mine, now)
            mine != null -> progressed(mine, task.phase, now)
            else -> recover(partition, machine, task, job, known)
        }
    }

    private fun progressed(
        attempt: Attempt,
        phase: TaskPhase,
        now: Long,
    ) {
        if (attempt.phase != phase && phase == TaskPhase.RUNNING) {
            attempt.runningUs = now
            attempt.job.runningUs = now
        }
        attempt.phase = phase
    }

    private fun ended(
        partition: PartitionRef,
        machine: MachineState,
        task: TaskState,
        job: Job,
        attempt: Attempt?,
        now: Long,
    ) {
        if (task.cause == TaskEndCause.DONE) {
            val ranUs = attempt?.takeIf { it.runningUs > 0 }?.progressUs(now)
            if (job.markDone(task.index)) {
                if (ranUs != null) runTimes.recordCompletion(job.spec, ranUs)
                listener.taskDone(job, now)
            }
        } else if (attempt != null) {
            failed(job, machine, task, now)
        }
        if (attempt == null) return
        end(attempt, stoppedProgressUs(attempt))
        if (task.cause == TaskEndCause.BUSY) recoverConflictingAttempt(partition, machine, task, job)
    }

    /**
     * The start was refused since another attempt of the task is on this machine: that one counts, and the task is placed nowhere else
     * while it is listed, although its number is the lower.
     */
    private fun recoverConflictingAttempt(
        partition: PartitionRef,
        machine: MachineState,
        refused: TaskState,
        job: Job,
    ) {
        val other = machine.tasks.firstOrNull { it.task == refused.task && it.phase != TaskPhase.ENDED } ?: return
        recover(partition, machine, other, job, job.liveAttempts.get(other.index))
    }

    /**
     * An attempt that an earlier leader started. Not on a machine without record: that one is terminated, as its partition will find
     * (invariant 4), and its tasks may run elsewhere by now. (Seen on inc-2104: its attempts were tracked, and the ones that ran were
     * stopped.) Of two attempts the newer counts: it was started only once the older was proven to have ended, and what lists the older
     * is a machine that was terminated with no time left to record that.
     */
    private fun recover(
        partition: PartitionRef,
        machine: MachineState,
        task: TaskState,
        job: Job,
        known: Attempt?,
    ) {
        if (machine.isTokenConfirmed && isRegistered(machine.name) && (known == null || task.attempt > known.number)) {
            val attempt = Attempt(job, task.index, task.attempt, machine.name, partition.id)
            attempt.partitionTerm = partition.state.term
            attempt.seq = partition.state.reflectedSeq
            attempt.phase = task.phase
            if (known != null) supersede(known)
            attempts.track(attempt)
        } else if (known != null) {
            log.info(
                "Conflicting attempt ignored task={} attempt={} machine={} currentAttempt={} currentMachine={}",
                task.task,
                task.attempt,
                machine.name,
                known.number,
                known.machine,
            )
        }
    }

    private fun supersede(attempt: Attempt) {
        log.info("Attempt superseded task={} attempt={} machine={}", attempt.task, attempt.number, attempt.machine)
        attempts.remove(attempt)
        checkpointPreemption.attemptEnded(attempt)
        listener.attemptSuperseded(attempt)
    }

    private fun failed(
        job: Job,
        machine: MachineState,
        task: TaskState,
        now: Long,
    ) {
        if (task.cause == TaskEndCause.HALTED) return
        log.info("Attempt failed task={} attempt={} machine={} cause={}", task.task, task.attempt, machine.name, task.cause)
        if (task.cause == TaskEndCause.ERROR) failedJobs.getOrPut(machine.name) { HashSet() }.add(job.spec.id)
        job.failures++
        // A job that fails everywhere must not use the slots of others again and again.
        val backoffUs = (SECOND shl minOf(job.failures, MAX_BACKOFF_DOUBLINGS)).coerceAtMost(MAX_BACKOFF_US)
        job.backoffUntilUs = maxOf(job.backoffUntilUs, now + backoffUs / 2)
    }

    /** Nothing of the attempt is left but [savedUs] of progress. */
    private fun end(
        attempt: Attempt,
        savedUs: Long,
    ) {
        attempts.remove(attempt)
        checkpointPreemption.attemptEnded(attempt)
        attempt.job.recordSavedProgress(attempt.index, savedUs)
        attempt.job.requeue(attempt.index)
        listener.attemptEnded(attempt)
    }

    /** Attempts that were lost with their machine, or never got there. */
    fun attemptsLost(attempts: List<Attempt>) = attempts.forEach { end(it, checkpointedUs(it)) }

    /** Ends those of [among] that are proven to be nowhere any more. */
    fun removeAbsent(
        among: Sequence<Attempt>,
        partition: (String) -> PartitionState?,
    ) {
        val absent = among.filter { attempt -> partition(attempt.partition)?.let { isAbsent(attempt, it) } == true }.toList()
        absent.forEach { log.debug("Attempt no longer on its machine task={} attempt={} machine={}", it.task, it.number, it.machine) }
        attemptsLost(absent)
    }

    /** Its partition has received its start, and its machine does not list it or is lost (see [MachineKnowledge]). */
    private fun isAbsent(
        attempt: Attempt,
        partition: PartitionState,
    ): Boolean {
        if (attempt.partitionTerm >= partition.term && attempt.seq > partition.reflectedSeq) return false
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
    private fun stoppedProgressUs(attempt: Attempt) =
        if (attempt.saveOrderedUs > 0) attempt.progressUs(attempt.saveOrderedUs) else checkpointedUs(attempt)

    /** A task that saves by itself now and then has kept its progress up to the last time. */
    private fun checkpointedUs(attempt: Attempt): Long {
        val everyUs = attempt.job.spec.checkpointIntervalUs
        if (everyUs <= 0 || attempt.phase != TaskPhase.RUNNING) return 0
        return attempt.progressUs(nowUs) / everyUs * everyUs
    }

    private companion object {
        const val MAX_BACKOFF_DOUBLINGS = 4
        const val MAX_BACKOFF_US = 10 * SECOND
    }
}
