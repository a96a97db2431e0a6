package lichenstage.drain

import kotlin.math.floor

/** Hours of the day (UTC) from [startHour] until [endHour], exclusive. The range spans midnight if [startHour] is after [endHour]. */
data class HourRange(
    val startHour: Int,
    val endHour: Int,
) {
    /** Returns whether [hour] lies in the range. */
    operator fun contains(hour: Int) = if (startHour <= endHour) hour in startHour until endHour else hour >= startHour || hour < endHour
}

/** The limits on how much of a team's work drains may interrupt at once. A limit that is null or empty does not apply. */
data class DisruptionBudget(
    /** Maximum number of jobs that have interrupted tasks. */
    val maxJobs: Int? = null,
    /** Maximum number of interrupted tasks, as a fraction of the team's running and interrupted tasks. */
    val maxTaskShare: Double? = null,
    /** Hours in which drains may interrupt tasks; null allows all hours. */
    val allowedHours: HourRange? = null,
    /** Job classes whose tasks drains never interrupt. */
    val uninterruptibleClasses: Set<String> = emptySet(),
)

/** The operators' limits for drains. */
data class DrainPolicy(
    val defaultBudget: DisruptionBudget = DisruptionBudget(maxJobs = 1),
    val budgetByTeam: Map<String, DisruptionBudget> = emptyMap(),
    /** Number of failed replacements of one machine after which its drain pauses. */
    val maxReplacementFailures: Int = 4,
) {
    /** Returns the budget of [team], or the default budget if the team has none of its own. */
    fun budgetOf(team: String) = budgetByTeam[team] ?: defaultBudget
}

/** The interrupted jobs and tasks that count against a team's budget. */
private class BudgetUsage {
    val jobs = HashSet<String>()
    var taskCount = 0
}

/**
 * Decides whether drains may interrupt one more task, given all tasks that are interrupted already for any cause.
 *
 * The constructor parameter `runningTasksByTeam` is the number of running tasks of each team, excluding tasks that are about to be stopped.
 * A task share applies to the running and interrupted tasks together. The resulting number of tasks is rounded down, so drains may be
 * unable to interrupt any task of a small team.
 */
class BudgetTracker(
    private val policy: DrainPolicy,
    runningTasksByTeam: Map<String, Int>,
    private val hour: Int,
    interruptions: Collection<Interruption>,
) {
    private val usageByTeam = HashMap<String, BudgetUsage>()

    /** Running plus interrupted tasks. Interrupting a task does not change the sum. */
    private val totalTasksByTeam: Map<String, Int>

    init {
        interruptions.forEach { addInterruption(it.team, it.taskId) }
        totalTasksByTeam =
            (runningTasksByTeam.keys + usageByTeam.keys).associateWith { (runningTasksByTeam[it] ?: 0) + (usageByTeam[it]?.taskCount ?: 0) }
    }

    private fun addInterruption(
        team: String,
        taskId: TaskId,
    ) {
        val usage = usageByTeam.getOrPut(team) { BudgetUsage() }
        usage.jobs += taskId.job
        usage.taskCount++
    }

    /** Returns whether the budget of the team of [task] allows drains to interrupt it. If so, counts the task as interrupted. */
    fun tryInterrupt(task: PlacedTask): Boolean {
        val budget = policy.budgetOf(task.team)
        val isForbidden = task.jobClass in budget.uninterruptibleClasses || budget.allowedHours?.contains(hour) == false
        if (isForbidden || !allowsJob(budget, task) || !allowsTask(budget, task)) return false
        addInterruption(task.team, task.taskId)
        return true
    }

    private fun allowsJob(
        budget: DisruptionBudget,
        task: PlacedTask,
    ): Boolean {
        val jobs = usageByTeam[task.team]?.jobs.orEmpty()
        return budget.maxJobs == null || jobs.size < budget.maxJobs || (task.taskId.job in jobs && jobs.size <= budget.maxJobs)
    }

    private fun allowsTask(
        budget: DisruptionBudget,
        task: PlacedTask,
    ): Boolean {
        if (budget.maxTaskShare == null) return true
        val interrupted = usageByTeam[task.team]?.taskCount ?: 0
        return interrupted + 1 <= floor(budget.maxTaskShare * (totalTasksByTeam[task.team] ?: 0) + ROUNDING_TOLERANCE)
    }

    private companion object {
        /** Keeps floating point errors from rounding an exact share down. */
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
