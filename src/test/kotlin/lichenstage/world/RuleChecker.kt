package lichenstage.world

/** Observes a simulated cluster from outside and records every violation of a rule of the protocol. */
class RuleChecker(
    private val limits: Map<String, Double>,
    private val cancelUs: Long,
) {
    private class TaskOnMachine(
        val machine: String,
        val job: SimulatedJob,
    )

    /** How many jobs of a team may be interrupted at once; null where no drains are simulated. */
    var maxInterruptibleJobs: Int? = null

    /** Tasks of each team that were stopped by command and have not run again, as the workers see it. */
    private val stoppedAtUs = HashMap<String, HashMap<Pair<String, Int>, Long>>()

    /** The stops of tasks that were wanted, and the largest number of a team's jobs that were interrupted at once. */
    var interruptions = 0
        private set
    var maxJobsInterrupted = 0
        private set

    /** How long tasks had run that were stopped. */
    var lostProgressUs = 0L
        private set

    /** A running task was stopped by command after [ranUs]; a stop does not count where its job was cancelled. */
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

    /** The tasks on machines, by job and index. */
    private val tasksOnMachines = HashMap<String, HashMap<Int, MutableList<TaskOnMachine>>>()
    private val completedTasks = HashMap<String, HashSet<Int>>()
    private val cancelledAtUs = HashMap<String, Long>()
    private val usedCores = HashMap<String, Double>()
    val violations = ArrayList<String>()
    var starts = 0
        private set

    /** Starts of tasks that had been done already, and starts of jobs whose cancellation had been confirmed. */
    var reruns = 0
    var startsAfterCancellation = 0

    /** Tasks that were killed because their machine's lease ran out. */
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
        if (total > limits.getValue(job.team) + 1e-6) violations += "quota: ${job.team} uses $total at $nowUs"
        cancelledAtUs[job.id]?.let { startsAfterCancellation++ }
        cancelledAtUs[job.id]?.let { if (nowUs - it > cancelUs) violations += "ran_cancelled: $key started at $nowUs" }
    }

    /** Given the job's other tasks at this moment, the zone is allowed. A worker's zone is the first letter of its name. */
    private fun checkZone(
        machine: String,
        job: SimulatedJob,
        nowUs: Long,
    ) {
        if (!job.sameZone && !job.spread) return
        val zones = onMachines(job.id).map { zoneOf(it.machine) }
        val inSameZone = zones.count { it == zoneOf(machine) }
        if (job.sameZone && inSameZone < zones.size) violations += "wrong_place: ${job.id} in $zones starts on $machine at $nowUs"
        if (job.spread && inSameZone >= (job.tasks + 1) / 2) violations += "wrong_place: ${job.id} in $zones starts on $machine at $nowUs"
    }

    private val jobsById = HashMap<String, SimulatedJob>()
    private val finalStatus = HashMap<String, PolledStatus>()

    private fun isComplete(id: String) = jobsById[id]?.let { (completedTasks[id]?.size ?: 0) >= it.tasks } ?: false

    fun doneTaskCount(id: String) = completedTasks[id]?.size ?: 0

    /** The job is accepted, or about to be. */
    fun onJobAccepted(job: SimulatedJob) {
        jobsById[job.id] = job
    }

    /** When the faults are over: from here on every poll is to be answered before long. */
    var faultsEndUs = Long.MAX_VALUE
    private val lastReplyUs = HashMap<String, Long>()

    /** A user has polled the job; [status] is null where it was told to retry, or got no answer. */
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
            if (cancelledUs != null && nowUs - cancelledUs > cancelUs) violations += "orphaned: ${job.id} is open at $nowUs"
            return
        }
        finalStatus[job.id] = status
        if (status == PolledStatus.CANCELLED && job.id !in cancelledAtUs &&
            cancelledUs == null
        ) {
            violations += "went_back: nobody cancelled ${job.id}"
        }
    }

    /** When the cancellation of a dependency of this job, direct or indirect, was first confirmed to a user. */
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
        done: Boolean,
    ) {
        val attempts = tasksOnMachines[job.id]?.get(index) ?: return
        val removed = attempts.count { it.machine == machine }
        attempts.removeIf { it.machine == machine }
        usedCores.merge(job.team, -job.cores * removed, Double::plus)
        if (done) completedTasks.getOrPut(job.id) { HashSet() } += index
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
     * To be called regularly with the [open] jobs once all faults are over: none waits for long while its team is under its limit. In a
     * simulated cluster the machines always have capacity for what the limits allow.
     */
    fun checkWaiting(
        open: Collection<SimulatedJob>,
        nowUs: Long,
    ) {
        for (job in open) {
            if (runningTaskCount(job.id) > 0 || (usedCores[job.team] ?: 0.0) + job.cores > limits.getValue(job.team)) {
                waitingSinceUs.remove(job.id)
            } else if (nowUs - waitingSinceUs.getOrPut(job.id) { nowUs } > MAX_WAIT_US) {
                violations += "waiting: ${job.id} at $nowUs"
                waitingSinceUs[job.id] = nowUs
            }
        }
    }

    /** Tasks of the job on machines now. */
    fun runningTaskCount(job: String) = onMachines(job).size

    private fun onMachines(job: String): List<TaskOnMachine> = tasksOnMachines[job]?.values.orEmpty().flatten()

    /** To be called regularly: nothing of a cancelled job may be left once its time is over. */
    fun checkCancelledTasks(nowUs: Long) {
        for ((job, at) in cancelledAtUs) {
            if (nowUs - at <= cancelUs) continue
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

/** The status of a job as its user polls it; pending and running are one. */
enum class PolledStatus { OPEN, DONE, CANCELLED }

data class SimulatedJob(
    val id: String,
    val team: String,
    val tasks: Int,
    val cores: Double,
    val runUs: Long,
    val submittedRevision: Long,
    val sameZone: Boolean = false,
    val spread: Boolean = false,
    /** Its tasks run for very different times. */
    val hasUnevenRunTimes: Boolean = false,
    /** Jobs that have to be done before any task of this one starts. */
    val dependencies: List<String> = emptyList(),
)
