package lichenstage.world

import lichenstage.cluster.TaskEndCause
import lichenstage.cluster.TaskPhase
import lichenstage.common.SECOND
import lichenstage.partition.Command
import lichenstage.partition.Heartbeat
import lichenstage.partition.OrderOutcome
import lichenstage.partition.TaskReport
import java.util.Random

/** A worker as the protocol describes it: fencing tokens, agent epochs, leases, tasks. */
class SimulatedWorker(
    val name: String,
    val zone: String,
    private val cores: Double,
    private val leaseUs: Long,
    private val random: Random,
    private val jobOf: (String) -> SimulatedJob?,
    private val checker: RuleChecker,
    private val fetches: Boolean = false,
    startedUs: Long = 0,
) {
    private class Task(
        val job: SimulatedJob,
        val index: Int,
        val attempt: Long,
        var phase: TaskPhase,
        var cause: String?,
        var endsUs: Long,
        /** When its image is there. */
        val runsFromUs: Long = 0,
    )

    /** The cloud has terminated it, with everything on it. */
    var gone = false
        private set

    var agentEpoch = 1L
        private set
    private var sequence = 0L
    var fencingToken = 0L
        private set
    private var leaseFromUs = startedUs
    private val tasks = LinkedHashMap<Pair<String, Long>, Task>()
    private val results = HashSet<String>()
    var hungUntilUs = 0L

    fun isHung(now: Long) = now < hungUntilUs

    fun heartbeat(): Heartbeat {
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

    /** Receives the answer to a heartbeat, with 200; [sentUs] is when the heartbeat was sent. */
    fun receiveAnswer(
        answerToken: Long,
        commands: List<Command>,
        forEpoch: Long,
        sentUs: Long,
        now: Long,
    ) {
        if (forEpoch != agentEpoch || answerToken < fencingToken || now - sentUs > 4 * SECOND) return
        fencingToken = answerToken
        leaseFromUs = maxOf(leaseFromUs, sentUs)
        commands.forEach { execute(it, now) }
    }

    fun execute(
        orderToken: Long,
        forEpoch: Long,
        commands: List<Command>,
        now: Long,
    ): OrderOutcome.Replied {
        val valid = orderToken >= fencingToken && forEpoch == agentEpoch
        if (valid) {
            fencingToken = orderToken
            commands.forEach { execute(it, now) }
        }
        return OrderOutcome.Replied(valid, heartbeat())
    }

    private fun execute(
        command: Command,
        now: Long,
    ) {
        val key = command.task to command.attempt
        when (command) {
            is Command.Start -> start(command, now)
            is Command.Stop -> tasks[key]?.let { if (it.phase != TaskPhase.ENDED) stop(it, now) }
            is Command.Clear -> if (tasks[key]?.phase == TaskPhase.ENDED) tasks.remove(key)
        }
    }

    private fun start(
        command: Command.Start,
        now: Long,
    ) {
        val key = command.task to command.attempt
        if (key in tasks) return
        val job = jobOf(command.task.substringBefore('/')) ?: return
        val index = command.task.substringAfter('/').toInt()
        val active = tasks.values.filter { it.phase != TaskPhase.ENDED }
        val refusal =
            when {
                active.any { it.job.id == job.id && it.index == index } -> TaskEndCause.BUSY
                active.sumOf { it.job.cores } + job.cores > cores + 1e-9 -> "no_room"
                else -> null
            }
        if (refusal != null) {
            tasks[key] = Task(job, index, command.attempt, TaskPhase.ENDED, refusal, 0)
            return
        }
        if (command.task in results) {
            // The result is kept: it exits with `done` as soon as it has its image, without running.
            tasks[key] = Task(job, index, command.attempt, TaskPhase.ENDED, TaskEndCause.DONE, 0)
            return
        }
        val factor = if (job.uneven) 1 + 6 * index else 1
        val run = job.runUs * factor / 2 + (random.nextDouble() * job.runUs).toLong()
        if (fetches) {
            val fetchUs = random.nextInt(LONGEST_FETCH_US).toLong()
            tasks[key] = Task(job, index, command.attempt, TaskPhase.FETCHING, null, now + fetchUs + run, now + fetchUs)
        } else {
            tasks[key] = Task(job, index, command.attempt, TaskPhase.RUNNING, null, now + run, now)
            checker.started(name, job, index, now)
        }
    }

    /** The cloud terminates the machine, and with it everything on it. */
    fun terminate() {
        gone = true
        dropTasks()
    }

    private fun dropTasks() {
        for (task in tasks.values) {
            if (task.phase == TaskPhase.ENDED) continue
            checker.tasksLost++
            checker.ended(name, task.job, task.index, false)
        }
        tasks.clear()
    }

    private fun stop(
        task: Task,
        now: Long,
    ) {
        val ran = task.phase == TaskPhase.RUNNING
        end(task, TaskEndCause.HALTED)
        if (ran) checker.stopped(task.job, task.index, now - task.runsFromUs, now)
    }

    private fun end(
        task: Task,
        cause: String,
    ) {
        task.phase = TaskPhase.ENDED
        task.cause = cause
        if (cause == TaskEndCause.DONE) results += "${task.job.id}/${task.index}"
        checker.ended(name, task.job, task.index, cause == TaskEndCause.DONE)
    }

    /** Runs the machine on to [now]; true where something changed, so that a heartbeat is sent soon. */
    fun step(now: Long): Boolean {
        var changed = false
        if (now - leaseFromUs > leaseUs) {
            dropTasks()
            agentEpoch++
            sequence = 0
            leaseFromUs = now
            changed = true
        }
        if (isHung(now)) return false
        for (task in tasks.values) {
            if (task.phase == TaskPhase.FETCHING && now >= task.runsFromUs) {
                task.phase = TaskPhase.RUNNING
                task.endsUs = maxOf(task.endsUs, now)
                checker.started(name, task.job, task.index, now)
                changed = true
            }
            if (task.phase != TaskPhase.RUNNING || now < task.endsUs) continue
            end(task, if (random.nextInt(15) == 0) TaskEndCause.ERROR else TaskEndCause.DONE)
            changed = true
        }
        return changed
    }

    private companion object {
        const val LONGEST_FETCH_US = 3_000_000
    }
}
