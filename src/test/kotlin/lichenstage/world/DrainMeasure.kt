package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.drain.DisruptionBudget
import lichenstage.drain.DrainPolicy
import lichenstage.drain.DrainStatus
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/**
 * What a drain of half of the machines costs on the simulated cluster, run by hand: `DrainMeasureKt [SEED]`. Machines are some two thirds
 * full of tasks of ten minutes; the same with budgets from tight to loose, with steps of fixed size and no budget, and all at once.
 */
fun main(args: Array<String>) {
    val seed = args.firstOrNull()?.toLong() ?: 1
    val executor = Executors.newFixedThreadPool(3)
    val lines =
        SIZES.flatMap { machines -> WAYS.map { way -> machines to way } }.map { (machines, way) ->
            executor.submit<String> { measure(seed, machines, way(machines)) }
        }
    println("| machines | way | drained after s | stops | most jobs of a team held up | run time lost, h | records written |")
    println("| --- | --- | --- | --- | --- | --- | --- |")
    lines.forEach { println(it.get()) }
    executor.shutdown()
    executor.awaitTermination(1, TimeUnit.MINUTES)
}

private class Way(
    val name: String,
    val budget: DisruptionBudget,
    val maxConcurrent: Int,
)

private val SIZES = listOf(100, 400, 1_600)
private val WAYS: List<(Int) -> Way> =
    listOf(
        { n -> Way("1 job a team", DisruptionBudget(maxJobs = 1), n / 10) },
        { n -> Way("4 jobs a team", DisruptionBudget(maxJobs = 4), n / 10) },
        { n -> Way("16 jobs a team", DisruptionBudget(maxJobs = 16), n / 10) },
        { n -> Way("2% of tasks", DisruptionBudget(maxTaskShare = 0.02), n / 10) },
        { n -> Way("steps of ${n / 20}, no budget", DisruptionBudget(), n / 20) },
        { n -> Way("all at once, no budget", DisruptionBudget(), n) },
    )

private const val RUN_US = 600 * SECOND
private const val BEGIN_US = 200 * SECOND
private const val LONGEST_US = 3_600 * SECOND

private fun measure(
    seed: Long,
    machines: Int,
    way: Way,
): String {
    val profile =
        ClusterProfile(
            machinesPerZone = machines / 3,
            teamCores = machines * 8.0,
            hasMachineChurn = true,
            onlyOperatorsDrain = true,
            fetches = true,
            drainPolicy = DrainPolicy(way.budget),
        )
    val world = SimulatedCluster(seed, profile = profile)
    var finishedUs = 0L
    // Two tasks of two cores each: two thirds of what there is, and as much again later.
    val jobs = machines * 4 / 3
    repeat(jobs) { n -> world.script(SECOND + n * 60 * SECOND / jobs) { submitLong(n, RUN_US) } }
    repeat(jobs) { n -> world.script(BEGIN_US + n * RUN_US / jobs) { submitLong(jobs + n, RUN_US) } }
    world.script(BEGIN_US) { drainAll("all", way.maxConcurrent, replace = false, share = 2) }
    for (atUs in BEGIN_US until LONGEST_US step SECOND) {
        world.script(atUs) { if (finishedUs == 0L && drain("all").status == DrainStatus.FINISHED) finishedUs = now }
    }
    world.run(BEGIN_US, LONGEST_US - BEGIN_US)
    val checker = world.checker
    val took = if (finishedUs > 0) "${(finishedUs - BEGIN_US) / SECOND}" else "not in ${(LONGEST_US - BEGIN_US) / SECOND}"
    val hours = "%.1f".format(checker.lostProgressUs / SECOND / 3600.0)
    val violations = checker.violations.filter { !it.startsWith("waiting") }.take(1)
    val cells = listOf(machines, way.name, took, checker.interruptions, checker.maxJobsInterrupted, hours, world.drainWrites)
    return cells.joinToString(" | ", "| ", " |") + if (violations.isEmpty()) "" else " broken: $violations"
}
