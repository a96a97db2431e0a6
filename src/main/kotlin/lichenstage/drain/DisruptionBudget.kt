package lichenstage.drain

import kotlin.math.floor

/** Hours of the day (UTC) from [from] up to, not including, [to]; over midnight where [from] is the later. */
data class Hours(
    val from: Int,
    val to: Int,
) {
    /** The hour is one of them. */
    operator fun contains(hour: Int) = if (from <= to) hour in from until to else hour >= from || hour < to
}

/** How much of a team's work drains may hold up at once. What is left out does not limit. */
data class DisruptionBudget(
    /** Jobs with interrupted tasks. */
    val jobs: Int? = null,
    /** Interrupted tasks, as a share of those that run or are interrupted. */
    val share: Double? = null,
    /** Outside of these nothing is interrupted. */
    val hours: Hours? = null,
    /** Classes of jobs whose tasks are never interrupted. */
    val neverClasses: Set<String> = emptySet(),
)

/** What the operators allow drains to do. */
data class DrainPolicy(
    val default: DisruptionBudget = DisruptionBudget(jobs = 1),
    val byTeam: Map<String, DisruptionBudget> = emptyMap(),
    /** After so many replacements of one machine that came to nothing its drain pauses. */
    val replacementFailures: Int = 4,
) {
    /** The budget of a team. */
    fun of(team: String) = byTeam[team] ?: default
}

/** What counts against a team's budget. */
private class BudgetUse {
    val jobs = HashSet<String>()
    var tasks = 0
}

/**
 * Whether one more task may be interrupted, beside all that is, whatever the cause. [running]: how many tasks of each team run, those left
 * out that are about to be stopped. A share is of these and of what is interrupted, and is rounded down, so that a small team may not be
 * interrupted at all.
 */
class BudgetCheck(
    private val policy: DrainPolicy,
    running: Map<String, Int>,
    private val hour: Int,
    interruptions: Collection<Interruption>,
) {
    private val uses = HashMap<String, BudgetUse>()

    /** Interrupting a task moves it from the one to the other, so this stays. */
    private val tasksOfTeam: Map<String, Int>

    init {
        interruptions.forEach { count(it.team, it.task) }
        tasksOfTeam = (running.keys + uses.keys).associateWith { (running[it] ?: 0) + (uses[it]?.tasks ?: 0) }
    }

    private fun count(
        team: String,
        task: TaskId,
    ) {
        val use = uses.getOrPut(team) { BudgetUse() }
        use.jobs += task.job
        use.tasks++
    }

    /** Counts the task as interrupted where its team's budget allows it; false where it does not. */
    fun take(task: RunningTask): Boolean {
        val budget = policy.of(task.team)
        val isClosed = task.jobClass in budget.neverClasses || budget.hours?.contains(hour) == false
        if (isClosed || !allowsJob(budget, task) || !allowsTask(budget, task)) return false
        count(task.team, task.task)
        return true
    }

    private fun allowsJob(
        budget: DisruptionBudget,
        task: RunningTask,
    ): Boolean {
        val jobs = uses[task.team]?.jobs.orEmpty()
        return budget.jobs == null || jobs.size < budget.jobs || (task.task.job in jobs && jobs.size <= budget.jobs)
    }

    private fun allowsTask(
        budget: DisruptionBudget,
        task: RunningTask,
    ): Boolean {
        if (budget.share == null) return true
        val interrupted = uses[task.team]?.tasks ?: 0
        return interrupted + 1 <= floor(budget.share * (tasksOfTeam[task.team] ?: 0) + ROUNDING)
    }

    private companion object {
        const val ROUNDING = 1e-9
    }
}
