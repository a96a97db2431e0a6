package lichenstage.world

/**
 * An observer of a simulated cluster that records every violation of a rule of the protocol. It sees the tasks on the workers, the replies
 * to users and the records in the state service, but not the state of the controllers.
 */
class RuleChecker(
    private val maxCoresByTeam: Map<String, Double>,
    private val cancellationLimitUs: Long,
) {
    private class TaskOnMachine(
        val machine: String,
        val job: SimulatedJob,
    )

    /** The maximum number of jobs of a team that may be interrupted at the same time; null if this is not checked. */
    var maxInterruptibleJobs: Int? = null

    /** When each interrupted task was stopped, by team, job and index of the task. A task that runs again is removed. */
    private val stoppedAtUs = HashMap<String, HashMap<Pair<String, Int>, Long>>()

    /** The number of running tasks that were stopped by command although they were still wanted. */
    var interruptions = 0
        private set

    /** The largest number of jobs of one team that were interrupted at the same time. */
    var maxJobsInterrupted = 0
        private set

    /** The total run time that was lost by these interruptions, in microseconds. */
    var lostProgressUs = 0L
        private set

    /**
     * Handles the stop by command of a task that had run for [ranUs]. The stop counts as an interruption only if the task is not done and
     * its job has neither ended nor been cancelled.
     */
    fun onTaskStopped(
        job: SimulatedJob,
        index: Int,
        ranUs: Long,
        nowUs: Long,
    ) {
        if (job.id in cancelledAtUs || finalStatus[job.id] != null || completedTasks[job.id]?.contains(index) == true) return
        interruptions++
        lostProgressUs += ranUs
        val team = stoppedAtUs.getOrPut(job.team) { HashMap() }
        team[job.id to index] = nowUs
        val jobs =
            team.keys
                .map { it.first }
                .filter { it !in cancelledAtUs && finalStatus[it] == null }
                .distinct()
        maxJobsInterrupted = maxOf(maxJobsInterrupted, jobs.size)
        val limit = maxInterruptibleJobs ?: return
        if (jobs.size > limit) violations += "over_budget: ${job.team} has $jobs interrupted at $nowUs"
    }

    /** The attempts that have not ended, by job and index of the task. */
    private val tasksOnMachines = HashMap<String, HashMap<Int, MutableList<TaskOnMachine>>>()
    private val completedTasks = HashMap<String, HashSet<Int>>()
    private val cancelledAtUs = HashMap<String, Long>()
    private val usedCores = HashMap<String, Double>()
    val violations = ArrayList<String>()
    var starts = 0
        private set

    /** Attempts that have failed. */
    var failedAttempts = 0

    /** Starts of tasks that were already done. */
    var reruns = 0

    /** Starts of tasks of jobs whose cancellation was already confirmed. */
    var startsAfterCancellation = 0

    /** Those of [startsAfterCancellation] whose task was done on the same machine before. */
    var doneTaskStartsAfterCancellation = 0
        private set

    /** Tasks that were lost because the lease of their worker expired or their machine was terminated. */
    var tasksLost = 0

    fun onTaskStarted(
        machine: String,
        job: SimulatedJob,
        index: Int,
        nowUs: Long,
    ) {
        starts++
        stoppedAtUs[job.team]?.remove(job.id to index)
        val key = "${job.id}/$index"
        checkZone(machine, job, nowUs)
        val attempts = tasksOnMachines.getOrPut(job.id) { HashMap() }.getOrPut(index) { ArrayList() }
        if (attempts.any { it.machine != machine }) violations += "ran_twice: $key on $machine and ${attempts[0].machine} at $nowUs"
        val missing = job.dependencies.filter { !isComplete(it) }
        if (missing.isNotEmpty()) violations += "too_early: $key started at $nowUs, before $missing were done"
        attempts += TaskOnMachine(machine, job)
        if (completedTasks[job.id]?.contains(index) == true) reruns++
        val total = usedCores.merge(job.team, job.cores, Double::plus)!!
        if (total > maxCoresByTeam.getValue(job.team) + 1e-6) violations += "quota: ${job.team} uses $total at $nowUs"
        cancelledAtUs[job.id]?.let { startsAfterCancellation++ }
        cancelledAtUs[job.id]?.let { if (nowUs - it > cancellationLimitUs) violations += "ran_cancelled: $key started at $nowUs" }
    }

    /**
     * Handles a task that was started once more on a machine that has kept its result, and exited as soon as it had its image. Such a task
     * starts, but is on its machine for no time, since that time begins when the task has its image. So it uses nothing of the team's limit.
     */
    fun onTaskExitedAtStart(
        machine: String,
        job: SimulatedJob,
        index: Int,
        nowUs: Long,
    ) {
        starts++
        reruns++
        val key = "${job.id}/$index"
        val others = tasksOnMachines[job.id]?.get(index).orEmpty().filter { it.machine != machine }
        if (others.isNotEmpty()) violations += "ran_twice: $key on $machine and ${others[0].machine} at $nowUs"
        val cancelledUs = cancelledAtUs[job.id] ?: return
        startsAfterCancellation++
        doneTaskStartsAfterCancellation++
        if (nowUs - cancelledUs > cancellationLimitUs) violations += "ran_cancelled: $key started at $nowUs"
    }

    /** Checks the zone constraint of the job against its other tasks that are on machines now. The name of a machine contains its zone. */
    private fun checkZone(
        machine: String,
        job: SimulatedJob,
        nowUs: Long,
    ) {
        if (!job.requiresSameZone && !job.requiresSpread) return
        val zones = findTasksOnMachines(job.id).map { zoneOf(it.machine) }
        val inSameZone = zones.count { it == zoneOf(machine) }
        if (job.requiresSameZone && inSameZone < zones.size) violations += "wrong_place: ${job.id} in $zones starts on $machine at $nowUs"
        if (job.requiresSpread &&
            inSameZone >= (job.tasks + 1) / 2
        ) {
            violations += "wrong_place: ${job.id} in $zones starts on $machine at $nowUs"
        }
    }

    private val jobsById = HashMap<String, SimulatedJob>()
    private val finalStatus = HashMap<String, PolledStatus>()

    private fun isComplete(id: String) = jobsById[id]?.let { (completedTasks[id]?.size ?: 0) >= it.tasks } ?: false

    fun doneTaskCount(id: String) = completedTasks[id]?.size ?: 0

    /** Handles the acceptance of a job; called when its record is written. */
    fun onJobAccepted(job: SimulatedJob) {
        jobsById[job.id] = job
    }

    /** The time at which all faults are over. From then on, no job may be polled without a reply for longer than [MAX_UNANSWERED_US]. */
    var faultsEndUs = Long.MAX_VALUE
    private val lastReplyUs = HashMap<String, Long>()

    /** Handles a user's poll of the job; [status] is null if the user was asked to retry or got no reply. */
    fun onJobPolled(
        job: SimulatedJob,
        status: PolledStatus?,
        nowUs: Long,
    ) {
        if (status == null) {
            val sinceUs = maxOf(lastReplyUs[job.id] ?: 0, faultsEndUs)
            if (nowUs - sinceUs > MAX_UNANSWERED_US) violations += "forgotten: no answer about ${job.id} since $sinceUs at $nowUs"
            return
        }
        lastReplyUs[job.id] = nowUs
        finalStatus[job.id]?.let { if (it != status) violations += "went_back: ${job.id} was $it and is $status at $nowUs" }
        val cancelledUs = dependencyCancelledAtUs(job)
        if (status == PolledStatus.OPEN) {
            if (cancelledUs != null && nowUs - cancelledUs > cancellationLimitUs) violations += "orphaned: ${job.id} is open at $nowUs"
            return
        }
        finalStatus[job.id] = status
        if (status == PolledStatus.CANCELLED && job.id !in cancelledAtUs &&
            cancelledUs == null
        ) {
            violations += "went_back: nobody cancelled ${job.id}"
        }
    }

    /** Returns when the cancellation of a direct or indirect dependency was first confirmed to a user; null if there was none. */
    private fun dependencyCancelledAtUs(job: SimulatedJob): Long? {
        val pending = ArrayDeque(job.dependencies)
        val visited = HashSet<String>()
        var earliestUs: Long? = null
        while (pending.isNotEmpty()) {
            val id = pending.removeLast()
            if (!visited.add(id)) continue
            cancelledAtUs[id]?.let { earliestUs = minOf(earliestUs ?: it, it) }
            pending += jobsById[id]?.dependencies.orEmpty()
        }
        return earliestUs
    }

    private fun zoneOf(machine: String) = machine.removePrefix("vm-").take(1)

    fun onTaskEnded(
        machine: String,
        job: SimulatedJob,
        index: Int,
        isDone: Boolean,
    ) {
        val attempts = tasksOnMachines[job.id]?.get(index) ?: return
        val removed = attempts.count { it.machine == machine }
        attempts.removeIf { it.machine == machine }
        usedCores.merge(job.team, -job.cores * removed, Double::plus)
        if (isDone) completedTasks.getOrPut(job.id) { HashSet() } += index
    }

    fun onCancellationConfirmed(
        job: SimulatedJob,
        nowUs: Long,
    ) {
        cancelledAtUs[job.id] = nowUs
    }

    fun onCompletionConfirmed(
        job: SimulatedJob,
        nowUs: Long,
    ) {
        val count = completedTasks[job.id]?.size ?: 0
        if (count < job.tasks) violations += "not_done: ${job.id} called done with $count of ${job.tasks} at $nowUs"
        if (job.id in cancelledAtUs) violations += "went_back: ${job.id} was cancelled"
    }

    private val waitingSinceUs = HashMap<String, Long>()

    /**
     * Checks that none of the [open] jobs waits longer than [MAX_WAIT_US] while its team is under its limit. Must be called regularly once
     * all faults are over. The simulated machines always have enough capacity for the limits of the teams.
     */
    fun checkWaiting(
        open: Collection<SimulatedJob>,
        nowUs: Long,
    ) {
        for (job in open) {
            if (runningTaskCount(job.id) > 0 || (usedCores[job.team] ?: 0.0) + job.cores > maxCoresByTeam.getValue(job.team)) {
                waitingSinceUs.remove(job.id)
            } else if (nowUs - waitingSinceUs.getOrPut(job.id) { nowUs } > MAX_WAIT_US) {
                violations += "waiting: ${job.id} at $nowUs"
                waitingSinceUs[job.id] = nowUs
            }
        }
    }

    /** Returns how many attempts of tasks of the job are on machines now. */
    fun runningTaskCount(job: String) = findTasksOnMachines(job).size

    private fun findTasksOnMachines(job: String): List<TaskOnMachine> = tasksOnMachines[job]?.values.orEmpty().flatten()

    /** Checks that no task of a cancelled job is on a machine after the time limit of the cancellation. Must be called regularly. */
    fun checkCancelledTasks(nowUs: Long) {
        for ((job, cancelledUs) in cancelledAtUs) {
            if (nowUs - cancelledUs <= cancellationLimitUs) continue
            for ((index, attempts) in tasksOnMachines[job].orEmpty()) {
                if (attempts.isNotEmpty()) violations += "ran_cancelled: $job/$index still on ${attempts[0].machine} at $nowUs"
            }
        }
    }

    private companion object {
        const val MAX_WAIT_US = 90_000_000L
        const val MAX_UNANSWERED_US = 75_000_000L
    }
}

/** The status of a job in the reply to a poll; [OPEN] stands for both pending and running. */
enum class PolledStatus { OPEN, DONE, CANCELLED }

/**
 * A job of a simulated cluster.
 *
 * @property cores the cores of each task
 * @property runUs the average run time of a task, in microseconds; longer for most tasks if [hasUnevenRunTimes] is set
 * @property submittedRevision the revision of the state service at which the job was submitted
 */
data class SimulatedJob(
    val id: String,
    val team: String,
    val tasks: Int,
    val cores: Double,
    val runUs: Long,
    val submittedRevision: Long,
    val requiresSameZone: Boolean = false,
    val requiresSpread: Boolean = false,
    /** Whether the run times of its tasks differ greatly. */
    val hasUnevenRunTimes: Boolean = false,
    /** The ids of the jobs that must be done before any task of this job starts. */
    val dependencies: List<String> = emptyList(),
)
