package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.drain.DisruptionBudget
import lichenstage.drain.DrainPolicy
import lichenstage.drain.DrainStatus
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * Measures the cost of a drain of half of the machines on the simulated cluster and prints it as a table. Run by hand:
 * `DrainMeasureKt [SEED]`. The machines are about two thirds full of tasks of ten minutes. The drain is measured with budgets from tight
 * to loose, without a budget in steps of a fixed number of machines, and without a budget for all machines at once.
 */
fun main(args: Array<String>) {
    val seed = args.firstOrNull()?.toLong() ?: 1
    val executor = Executors.newFixedThreadPool(3)
    val rows =
        SIZES.flatMap { machines -> VARIANTS.map { variant -> machines to variant } }.map { (machines, variant) ->
            executor.submit<String> { measure(seed, machines, variant(machines)) }
        }
    println("| machines | variant | drained after, s | stops | max interrupted jobs of a team | lost run time, h | records written |")
    println("| --- | --- | --- | --- | --- | --- | --- |")
    rows.forEach { println(it.get()) }
    executor.shutdown()
    executor.awaitTermination(1, TimeUnit.MINUTES)
}

private class DrainVariant(
    val name: String,
    val budget: DisruptionBudget,
    val maxConcurrent: Int,
)

private val SIZES = listOf(100, 400, 1_600)
private val VARIANTS: List<(Int) -> DrainVariant> =
    listOf(
        { n -> DrainVariant("1 job per team", DisruptionBudget(maxJobs = 1), n / 10) },
        { n -> DrainVariant("4 jobs per team", DisruptionBudget(maxJobs = 4), n / 10) },
        { n -> DrainVariant("16 jobs per team", DisruptionBudget(maxJobs = 16), n / 10) },
        { n -> DrainVariant("2% of tasks", DisruptionBudget(maxTaskShare = 0.02), n / 10) },
        { n -> DrainVariant("steps of ${n / 20}, no budget", DisruptionBudget(), n / 20) },
        { n -> DrainVariant("all at once, no budget", DisruptionBudget(), n) },
    )

private const val TASK_RUN_US = 600 * SECOND
private const val BEGIN_US = 200 * SECOND
private const val END_US = 3_600 * SECOND

private fun measure(
    seed: Long,
    machines: Int,
    variant: DrainVariant,
): String {
    val profile =
        ClusterProfile(
            machinesPerZone = machines / 3,
            teamCores = machines * 8.0,
            hasMachineChurn = true,
            hasOnlyOperatorDrains = true,
            fetchesImages = true,
            drainPolicy = DrainPolicy(variant.budget),
        )
    val cluster = SimulatedCluster(seed, profile = profile)
    var finishedUs = 0L
    // Each job has two tasks of two cores, so the first jobs fill two thirds of the cores. The same number of jobs follows later.
    val jobs = machines * 4 / 3
    repeat(jobs) { n -> cluster.script(SECOND + n * 60 * SECOND / jobs) { submitLongRunning(n, TASK_RUN_US) } }
    repeat(jobs) { n -> cluster.script(BEGIN_US + n * TASK_RUN_US / jobs) { submitLongRunning(jobs + n, TASK_RUN_US) } }
    cluster.script(BEGIN_US) { drainAll("all", variant.maxConcurrent, replace = false, share = 2) }
    for (atUs in BEGIN_US until END_US step SECOND) {
        cluster.script(atUs) { if (finishedUs == 0L && getDrain("all").status == DrainStatus.FINISHED) finishedUs = nowUs }
    }
    cluster.run(BEGIN_US, END_US - BEGIN_US)
    val checker = cluster.checker
    val drainedAfter = if (finishedUs > 0) "${(finishedUs - BEGIN_US) / SECOND}" else "not within ${(END_US - BEGIN_US) / SECOND}"
    val lostHours = "%.1f".format(checker.lostProgressUs / SECOND / 3600.0)
    val violations = checker.violations.filter { !it.startsWith("waiting") }.take(1)
    val cells =
        listOf(machines, variant.name, drainedAfter, checker.interruptions, checker.maxJobsInterrupted, lostHours, cluster.drainWrites)
    return cells.joinToString(" | ", "| ", " |") + if (violations.isEmpty()) "" else " violations: $violations"
}
