package lichenstage.drain

import kotlin.math.floor

/** Hours of the day (UTC) from [startHour] up to, not including, [endHour]; over midnight where [startHour] is the later. */
data class HourRange(
    val startHour: Int,
    val endHour: Int,
) {
    /** The hour is one of them. */
    operator fun contains(hour: Int) = if (startHour <= endHour) hour in startHour until endHour else hour >= startHour || hour < endHour
}

/** How much of a team's work drains may hold up at once. What is left out does not limit. */
data class DisruptionBudget(
    /** Jobs with interrupted tasks. */
    val maxJobs: Int? = null,
    /** Interrupted tasks, as a share of those that run or are interrupted. */
    val maxTaskShare: Double? = null,
    /** Outside of these nothing is interrupted. */
    val allowedHours: HourRange? = null,
    /** Classes of jobs whose tasks are never interrupted. */
    val uninterruptibleClasses: Set<String> = emptySet(),
)

/** What the operators allow drains to do. */
data class DrainPolicy(
    val defaultBudget: DisruptionBudget = DisruptionBudget(maxJobs = 1),
    val budgetByTeam: Map<String, DisruptionBudget> = emptyMap(),
    /** After so many replacements of one machine that came to nothing its drain pauses. */
    val maxReplacementFailures: Int = 4,
) {
    /** The budget of a team. */
    fun budgetOf(team: String) = budgetByTeam[team] ?: defaultBudget
}

/** What counts against a team's budget. */
private class BudgetUsage {
    val jobs = HashSet<String>()
    var taskCount = 0
}

/**
 * Tracks how many tasks of each team are interrupted, whatever the cause, and decides whether one more may be.
 *
 * [runningTasksByTeam] is the number of running tasks of each team, without the tasks that are about to be stopped. A share refers to
 * running and interrupted tasks together and is rounded down, so a small team may have no task that may be interrupted.
 */
class BudgetTracker(
    private val policy: DrainPolicy,
    runningTasksByTeam: Map<String, Int>,
    private val hour: Int,
    interruptions: Collection<Interruption>,
) {
    private val usageByTeam = HashMap<String, BudgetUsage>()

    /** Interrupting a task moves it from the one to the other, so this stays. */
    private val totalTasksByTeam: Map<String, Int>

    init {
        interruptions.forEach { addInterruption(it.team, it.task) }
        totalTasksByTeam =
            (runningTasksByTeam.keys + usageByTeam.keys).associateWith { (runningTasksByTeam[it] ?: 0) + (usageByTeam[it]?.taskCount ?: 0) }
    }

    private fun addInterruption(
        team: String,
        task: TaskId,
    ) {
        val usage = usageByTeam.getOrPut(team) { BudgetUsage() }
        usage.jobs += task.job
        usage.taskCount++
    }

    /** Counts the task as interrupted where its team's budget allows it; false where it does not. */
    fun tryInterrupt(task: PlacedTask): Boolean {
        val budget = policy.budgetOf(task.team)
        val isForbidden = task.jobClass in budget.uninterruptibleClasses || budget.allowedHours?.contains(hour) == false
        if (isForbidden || !allowsJob(budget, task) || !allowsTask(budget, task)) return false
        addInterruption(task.team, task.task)
        return true
    }

    private fun allowsJob(
        budget: DisruptionBudget,
        task: PlacedTask,
    ): Boolean {
        val jobs = usageByTeam[task.team]?.jobs.orEmpty()
        return budget.maxJobs == null || jobs.size < budget.maxJobs || (task.task.job in jobs && jobs.size <= budget.maxJobs)
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
        const val ROUNDING_TOLERANCE = 1e-9
    }
}
