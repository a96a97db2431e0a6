package lichenstage.world

import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val FAULTS_US = 120_000_000L
private const val CALM_US = 420_000_000L

/**
 * The long form of [SimulatedClusterTest], run by hand: `SeedSweepKt PROFILE FIRST COUNT [THREADS]`. Prints each seed that
 * breaks a rule, or that leaves work undone, and closes with how many were played.
 */
fun main(args: Array<String>) {
    val profile =
        when (args[0]) {
            "small" -> ClusterProfile()
            "unkind" -> ClusterProfile.UNKIND
            else -> ClusterProfile.LARGE
        }
    val first = args[1].toLong()
    val count = args[2].toLong()
    val threads = args.getOrNull(3)?.toInt() ?: 4
    val executor = Executors.newFixedThreadPool(threads)
    val failed = AtomicLong()
    for (seed in first until first + count) {
        executor.execute {
            val world = SimulatedCluster(seed, profile = profile)
            world.run(FAULTS_US, CALM_US)
            if (world.checker.broken.isNotEmpty() || world.openJobs.isNotEmpty()) {
                failed.incrementAndGet()
                println("seed $seed: ${world.checker.broken.take(2)} unfinished ${world.openJobs}")
                if (world.checker.broken.isEmpty() && profile != ClusterProfile.LARGE) println(world.describe())
            }
        }
    }
    executor.shutdown()
    executor.awaitTermination(1, TimeUnit.HOURS)
    println("$count seeds from $first: $failed failed")
}
