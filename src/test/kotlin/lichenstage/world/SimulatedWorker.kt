package lichenstage.world

import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import lichenstage.partition.Command
import lichenstage.partition.Heartbeat
import lichenstage.partition.OrderOutcome
import lichenstage.partition.TaskReport
import java.util.Random

/** A machine with its worker, which follows the protocol: fencing tokens, agent epochs, leases and tasks. */
class SimulatedWorker(
    val name: String,
    val zone: String,
    private val cores: Double,
    private val leaseUs: Long,
    private val random: Random,
    private val jobOf: (String) -> SimulatedJob?,
    private val checker: RuleChecker,
    private val fetchesImages: Boolean = false,
    startedUs: Long = 0,
) {
    private class Task(
        val job: SimulatedJob,
        val index: Int,
        val attempt: Long,
        var phase: TaskPhase,
        var cause: String?,
        var endsUs: Long,
        /** The time at which the image is fetched and the task starts to run. */
        val runsFromUs: Long = 0,
        /** Whether the machine has kept the result of the task, so that it ends with `done` as soon as it has its image. */
        val hasResult: Boolean = false,
    )

    /** Whether the cloud has terminated the machine. */
    var isTerminated = false
        private set

    var agentEpoch = 1L
        private set
    private var sequence = 0L
    var fencingToken = 0L
        private set
    private var leaseFromUs = startedUs
    private val tasks = LinkedHashMap<Pair<String, Long>, Task>()
    private val keptResults = HashSet<String>()
    var hungUntilUs = 0L

    /** Whether every task fails on the machine. */
    var isFaulty = false

    fun isHung(nowUs: Long) = nowUs < hungUntilUs

    fun createHeartbeat(): Heartbeat {
        sequence++
        return Heartbeat(
            name,
            "10.0.0.1:9000",
            "type",
            zone,
            false,
            agentEpoch,
            sequence,
            fencingToken,
            null,
            tasks.values.map { TaskReport("${it.job.id}/${it.index}", it.attempt, it.phase, it.cause) },
        )
    }

    /** Handles the reply with status 200 to a heartbeat that was sent at [sentUs]. */
    fun onHeartbeatReply(
        replyToken: Long,
        commands: List<Command>,
        expectedAgentEpoch: Long,
        sentUs: Long,
        nowUs: Long,
    ) {
        if (expectedAgentEpoch != agentEpoch || replyToken < fencingToken || nowUs - sentUs > 4 * SECOND) return
        fencingToken = replyToken
        leaseFromUs = maxOf(leaseFromUs, sentUs)
        commands.forEach { execute(it, nowUs) }
    }

    fun execute(
        orderToken: Long,
        expectedAgentEpoch: Long,
        commands: List<Command>,
        nowUs: Long,
    ): OrderOutcome.Replied {
        val isValid = orderToken >= fencingToken && expectedAgentEpoch == agentEpoch
        if (isValid) {
            fencingToken = orderToken
            commands.forEach { execute(it, nowUs) }
        }
        return OrderOutcome.Replied(isValid, createHeartbeat())
    }

    private fun execute(
        command: Command,
        nowUs: Long,
    ) {
        val key = command.taskId to command.attemptNumber
        when (command) {
            is Command.Start -> start(command, nowUs)
            is Command.Stop -> tasks[key]?.let { if (it.phase != TaskPhase.ENDED) stop(it, nowUs) }
            is Command.Clear -> if (tasks[key]?.phase == TaskPhase.ENDED) tasks.remove(key)
        }
    }

    private fun start(
        command: Command.Start,
        nowUs: Long,
    ) {
        val key = command.taskId to command.attemptNumber
        if (key in tasks) return
        val job = jobOf(command.taskId.substringBefore('/')) ?: return
        val index = command.taskId.substringAfter('/').toInt()
        val active = tasks.values.filter { it.phase != TaskPhase.ENDED }
        val refusal =
            when {
                active.any { it.job.id == job.id && it.index == index } -> TaskEndCause.BUSY
                active.sumOf { it.job.cores } + job.cores > cores + 1e-9 -> "no_room"
                else -> null
            }
        if (refusal != null) {
            tasks[key] = Task(job, index, command.attemptNumber, TaskPhase.ENDED, refusal, 0)
            return
        }
        if (command.taskId in keptResults) {
            startWithResult(
                Task(job, index, command.attemptNumber, TaskPhase.FETCHING, null, 0, nowUs + fetchUs(), hasResult = true),
                nowUs,
            )
            return
        }
        val runTimeFactor = if (job.hasUnevenRunTimes) 1 + 6 * index else 1
        val runTimeUs = job.runUs * runTimeFactor / 2 + (random.nextDouble() * job.runUs).toLong()
        if (fetchesImages) {
            val fetchUs = fetchUs()
            tasks[key] = Task(job, index, command.attemptNumber, TaskPhase.FETCHING, null, nowUs + fetchUs + runTimeUs, nowUs + fetchUs)
        } else {
            tasks[key] = Task(job, index, command.attemptNumber, TaskPhase.RUNNING, null, nowUs + runTimeUs, nowUs)
            checker.onTaskStarted(name, job, index, nowUs)
        }
    }

    private fun fetchUs() = if (fetchesImages) random.nextInt(MAX_FETCH_US).toLong() else 0L

    /** Starts an attempt of a task whose result the machine has kept. It exits at the moment at which it has its image. */
    private fun startWithResult(
        task: Task,
        nowUs: Long,
    ) {
        tasks["${task.job.id}/${task.index}" to task.attempt] = task
        if (nowUs >= task.runsFromUs) exitWithResult(task, nowUs)
    }

    private fun exitWithResult(
        task: Task,
        nowUs: Long,
    ) {
        task.phase = TaskPhase.ENDED
        task.cause = TaskEndCause.DONE
        checker.onTaskExitedAtStart(name, task.job, task.index, nowUs)
    }

    /** Terminates the machine and all tasks on it. */
    fun terminate() {
        isTerminated = true
        dropTasks()
    }

    private fun dropTasks() {
        for (task in tasks.values) {
            if (task.phase == TaskPhase.ENDED) continue
            checker.tasksLost++
            checker.onTaskEnded(name, task.job, task.index, false)
        }
        tasks.clear()
    }

    private fun stop(
        task: Task,
        nowUs: Long,
    ) {
        val wasRunning = task.phase == TaskPhase.RUNNING
        endTask(task, TaskEndCause.HALTED)
        if (wasRunning) checker.onTaskStopped(task.job, task.index, nowUs - task.runsFromUs, nowUs)
    }

    private fun endTask(
        task: Task,
        cause: String,
    ) {
        task.phase = TaskPhase.ENDED
        task.cause = cause
        if (cause == TaskEndCause.DONE) keptResults += "${task.job.id}/${task.index}"
        checker.onTaskEnded(name, task.job, task.index, cause == TaskEndCause.DONE)
    }

    /** Advances the machine to [nowUs]. Returns whether its tasks or agent epoch changed, so that it sends a heartbeat early. */
    fun step(nowUs: Long): Boolean {
        var hasChanged = false
        if (nowUs - leaseFromUs > leaseUs) {
            dropTasks()
            agentEpoch++
            sequence = 0
            leaseFromUs = nowUs
            hasChanged = true
        }
        if (isHung(nowUs)) return false
        for (task in tasks.values) {
            if (task.hasResult && task.phase == TaskPhase.FETCHING && nowUs >= task.runsFromUs) {
                exitWithResult(task, nowUs)
                hasChanged = true
            }
            if (task.phase == TaskPhase.FETCHING && nowUs >= task.runsFromUs) {
                task.phase = TaskPhase.RUNNING
                task.endsUs = maxOf(task.endsUs, nowUs)
                checker.onTaskStarted(name, task.job, task.index, nowUs)
                hasChanged = true
            }
            if (task.phase != TaskPhase.RUNNING || nowUs < task.endsUs) continue
            val hasFailed = random.nextInt(15) == 0 || isFaulty
            if (hasFailed) checker.failedAttempts++
            endTask(task, if (hasFailed) TaskEndCause.ERROR else TaskEndCause.DONE)
            hasChanged = true
        }
        return hasChanged
    }

    private companion object {
        const val MAX_FETCH_US = 3_000_000
    }
}
