package lichenstage.world

/** Observes a simulated cluster from outside and records every violation of a rule of the protocol. */
class RuleChecker(
    private val limits: Map<String, Double>,
    private val cancelUs: Long,
) {
    private class Running(
        val machine: String,
        val job: SimulatedJob,
    )

    /** How many jobs of a team may be interrupted at once; null where no drains are simulated. */
    var jobsInterruptible: Int? = null

    /** Tasks of each team that were stopped by command and have not run again, as the workers see it. */
    private val stopped = HashMap<String, HashMap<Pair<String, Int>, Long>>()

    /** The stops of tasks that were wanted, and the largest number of a team's jobs that were interrupted at once. */
    var interruptions = 0
        private set
    var maxJobsInterrupted = 0
        private set

    /** How long tasks had run that were stopped. */
    var lostProgressUs = 0L
        private set

    /** A running task was stopped by command after [ranUs]; a stop does not count where its job was cancelled. */
    fun stopped(
        job: SimulatedJob,
        index: Int,
        ranUs: Long,
        now: Long,
    ) {
        if (job.id in cancelled || final[job.id] != null || completed[job.id]?.contains(index) == true) return
        interruptions++
        lostProgressUs += ranUs
        val team = stopped.getOrPut(job.team) { HashMap() }
        team[job.id to index] = now
        val jobs =
            team.keys
                .map { it.first }
                .filter { it !in cancelled && final[it] == null }
                .distinct()
        maxJobsInterrupted = maxOf(maxJobsInterrupted, jobs.size)
        val most = jobsInterruptible ?: return
        if (jobs.size > most) violations += "over_budget: ${job.team} has $jobs interrupted at $now"
    }

    /** The tasks on machines, by job and index. */
    private val on = HashMap<String, HashMap<Int, MutableList<Running>>>()
    private val completed = HashMap<String, HashSet<Int>>()
    private val cancelled = HashMap<String, Long>()
    private val used = HashMap<String, Double>()
    val violations = ArrayList<String>()
    var starts = 0
        private set

    /** Starts of tasks that had been done already, and starts of jobs whose cancellation had been confirmed. */
    var reruns = 0
    var startsAfterCancellation = 0

    /** Tasks that were killed because their machine's lease ran out. */
    var tasksLost = 0

    fun started(
        machine: String,
        job: SimulatedJob,
        index: Int,
        now: Long,
    ) {
        starts++
        stopped[job.team]?.remove(job.id to index)
        val key = "${job.id}/$index"
        placed(machine, job, now)
        val there = on.getOrPut(job.id) { HashMap() }.getOrPut(index) { ArrayList() }
        if (there.any { it.machine != machine }) violations += "ran_twice: $key on $machine and ${there[0].machine} at $now"
        val missing = job.dependencies.filter { !complete(it) }
        if (missing.isNotEmpty()) violations += "too_early: $key started at $now, before $missing were done"
        there += Running(machine, job)
        if (completed[job.id]?.contains(index) == true) reruns++
        val total = used.merge(job.team, job.cores, Double::plus)!!
        if (total > limits.getValue(job.team) + 1e-6) violations += "quota: ${job.team} uses $total at $now"
        cancelled[job.id]?.let { startsAfterCancellation++ }
        cancelled[job.id]?.let { if (now - it > cancelUs) violations += "ran_cancelled: $key started at $now" }
    }

    /** Given the job's other tasks at this moment, the zone is allowed. A worker's zone is the first letter of its name. */
    private fun placed(
        machine: String,
        job: SimulatedJob,
        now: Long,
    ) {
        if (!job.sameZone && !job.spread) return
        val zones = onMachines(job.id).map { zoneOf(it.machine) }
        val here = zones.count { it == zoneOf(machine) }
        if (job.sameZone && here < zones.size) violations += "wrong_place: ${job.id} in $zones starts on $machine at $now"
        if (job.spread && here >= (job.tasks + 1) / 2) violations += "wrong_place: ${job.id} in $zones starts on $machine at $now"
    }

    private val known = HashMap<String, SimulatedJob>()
    private val final = HashMap<String, PollAnswer>()

    private fun complete(id: String) = known[id]?.let { (completed[id]?.size ?: 0) >= it.tasks } ?: false

    fun doneTasks(id: String) = completed[id]?.size ?: 0

    /** The job is accepted, or about to be. */
    fun accepted(job: SimulatedJob) {
        known[job.id] = job
    }

    /** When the faults are over: from here on every poll is to be answered before long. */
    var calmFromUs = Long.MAX_VALUE
    private val answeredUs = HashMap<String, Long>()

    /** A user has polled the job; [answer] is null where it was told to retry, or got no answer. */
    fun polled(
        job: SimulatedJob,
        answer: PollAnswer?,
        now: Long,
    ) {
        if (answer == null) {
            val sinceUs = maxOf(answeredUs[job.id] ?: 0, calmFromUs)
            if (now - sinceUs > MAX_UNANSWERED_US) violations += "forgotten: no answer about ${job.id} since $sinceUs at $now"
            return
        }
        answeredUs[job.id] = now
        final[job.id]?.let { if (it != answer) violations += "went_back: ${job.id} was $it and is $answer at $now" }
        val cancelledUs = cancelledBefore(job)
        if (answer == PollAnswer.OPEN) {
            if (cancelledUs != null && now - cancelledUs > cancelUs) violations += "orphaned: ${job.id} is open at $now"
            return
        }
        final[job.id] = answer
        if (answer == PollAnswer.CANCELLED && job.id !in cancelled &&
            cancelledUs == null
        ) {
            violations += "went_back: nobody cancelled ${job.id}"
        }
    }

    /** When the cancellation of a dependency of this job, direct or indirect, was first confirmed to a user. */
    private fun cancelledBefore(job: SimulatedJob): Long? {
        val due = ArrayDeque(job.dependencies)
        val seen = HashSet<String>()
        var first: Long? = null
        while (due.isNotEmpty()) {
            val id = due.removeLast()
            if (!seen.add(id)) continue
            cancelled[id]?.let { first = minOf(first ?: it, it) }
            due += known[id]?.dependencies.orEmpty()
        }
        return first
    }

    private fun zoneOf(machine: String) = machine.removePrefix("vm-").take(1)

    fun ended(
        machine: String,
        job: SimulatedJob,
        index: Int,
        done: Boolean,
    ) {
        val there = on[job.id]?.get(index) ?: return
        val over = there.count { it.machine == machine }
        there.removeIf { it.machine == machine }
        used.merge(job.team, -job.cores * over, Double::plus)
        if (done) completed.getOrPut(job.id) { HashSet() } += index
    }

    fun cancellationConfirmed(
        job: SimulatedJob,
        now: Long,
    ) {
        cancelled[job.id] = now
    }

    fun completionConfirmed(
        job: SimulatedJob,
        now: Long,
    ) {
        val count = completed[job.id]?.size ?: 0
        if (count < job.tasks) violations += "not_done: ${job.id} called done with $count of ${job.tasks} at $now"
        if (job.id in cancelled) violations += "went_back: ${job.id} was cancelled"
    }

    private val waitingSinceUs = HashMap<String, Long>()

    /**
     * To be called regularly with the [open] jobs once all faults are over: none waits for long while its team is under its limit. In a
     * simulated cluster the machines always have capacity for what the limits allow.
     */
    fun waiting(
        open: Collection<SimulatedJob>,
        now: Long,
    ) {
        for (job in open) {
            if (running(job.id) > 0 || (used[job.team] ?: 0.0) + job.cores > limits.getValue(job.team)) {
                waitingSinceUs.remove(job.id)
            } else if (now - waitingSinceUs.getOrPut(job.id) { now } > MAX_WAIT_US) {
                violations += "waiting: ${job.id} at $now"
                waitingSinceUs[job.id] = now
            }
        }
    }

    /** Tasks of the job on machines now. */
    fun running(job: String) = onMachines(job).size

    private fun onMachines(job: String): List<Running> = on[job]?.values.orEmpty().flatten()

    /** To be called regularly: nothing of a cancelled job may be left once its time is over. */
    fun sweep(now: Long) {
        for ((job, at) in cancelled) {
            if (now - at <= cancelUs) continue
            for ((index, there) in on[job].orEmpty()) {
                if (there.isNotEmpty()) violations += "ran_cancelled: $job/$index still on ${there[0].machine} at $now"
            }
        }
    }

    private companion object {
        const val MAX_WAIT_US = 90_000_000L
        const val MAX_UNANSWERED_US = 75_000_000L
    }
}

/** The status of a job as its user polls it; pending and running are one. */
enum class PollAnswer { OPEN, DONE, CANCELLED }

data class SimulatedJob(
    val id: String,
    val team: String,
    val tasks: Int,
    val cores: Double,
    val runUs: Long,
    val stamp: Long,
    val sameZone: Boolean = false,
    val spread: Boolean = false,
    /** Its tasks run for very different times. */
    val uneven: Boolean = false,
    /** Jobs that have to be done before any task of this one starts. */
    val dependencies: List<String> = emptyList(),
)
