package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.drain.DisruptionBudget
import lichenstage.drain.DrainPolicy
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/**
 * The system property that makes the sweep print the hash of each seed's events. A change of the code that changes no decision leaves the
 * hashes as they are.
 */
private const val TRACE = "trace"

private const val FAULTS_US = 120_000_000L
private const val CALM_US = 420_000_000L
private const val LATE_ORDERS_CALM_US = 780_000_000L
private const val DRAINED_CALM_US = 1_500_000_000L

/**
 * Runs the simulations of [SimulatedClusterTest], [LateOrdersSimulationTest] and [DrainFaultsTest] with many seeds. Run by hand:
 * `SeedSweepKt small|unkind|late-orders|large|4000|6000|drains FIRST COUNT [THREADS]`.
 * Runs COUNT seeds from FIRST on, THREADS of them at a time (default 4). Prints each seed that violates a rule or leaves
 * jobs open, and finally the number of seeds and of failed seeds.
 */
fun main(args: Array<String>) {
    val simulate =
        when (args[0]) {
            "small" -> { seed -> runCluster(seed, ClusterProfile()) }
            "unkind" -> { seed -> runCluster(seed, ClusterProfile.ADVERSE) }
            "late-orders" -> ::runLateOrders
            "large" -> { seed -> runCluster(seed, ClusterProfile.LARGE) }
            "4000" -> { seed -> runCluster(seed, ClusterProfile.ofMachines(4_000)) }
            "6000" -> { seed -> runCluster(seed, ClusterProfile.ofMachines(6_000)) }
            else -> ::runDrain
        }
    val first = args[1].toLong()
    val count = args[2].toLong()
    val threads = args.getOrNull(3)?.toInt() ?: 4
    val executor = Executors.newFixedThreadPool(threads)
    val failed = AtomicLong()
    for (seed in first until first + count) {
        executor.execute {
            val cluster = simulate(seed)
            if (System.getProperty(TRACE) != null) println("seed $seed: events ${cluster.eventDigest}")
            if (cluster.checker.violations.isNotEmpty() || cluster.openJobs.isNotEmpty()) {
                failed.incrementAndGet()
                println("seed $seed: ${cluster.checker.violations.take(2)} unfinished ${cluster.openJobs}")
            }
        }
    }
    executor.shutdown()
    executor.awaitTermination(1, TimeUnit.HOURS)
    println("$count seeds from $first: $failed failed")
}

/**
 * Runs a cluster whose orders are executed minutes late. With a quarter of the seeds, partitions reserve one fencing token at a time. With
 * another quarter, orders are delayed only by seconds and one controller does not give machines newer fencing tokens.
 */
private fun runLateOrders(seed: Long): SimulatedCluster {
    val mixed =
        ClusterProfile.LATE_ORDERS.copy(
            maxHoldUs = ClusterProfile.ADVERSE.maxHoldUs,
            controllersWithoutFencing = setOf((seed % 3).toInt()),
        )
    return when (seed % 4) {
        0L -> runCluster(seed, mixed, LATE_ORDERS_CALM_US)
        1L -> runCluster(seed, ClusterProfile.LATE_ORDERS.copy(tokensReserved = 1), LATE_ORDERS_CALM_US)
        else -> runCluster(seed, ClusterProfile.LATE_ORDERS, LATE_ORDERS_CALM_US)
    }
}

private fun runCluster(
    seed: Long,
    profile: ClusterProfile,
    calmUs: Long = CALM_US,
) = SimulatedCluster(seed, profile = profile).apply { run(FAULTS_US, calmUs) }

/**
 * Runs a drain of all machines under the conditions of [ClusterProfile.ADVERSE]. With half of the seeds, one controller is of a version
 * without drains.
 */
private fun runDrain(seed: Long): SimulatedCluster {
    val policy = DrainPolicy(DisruptionBudget(maxJobs = 1 + (seed % 3).toInt()))
    val profile = ClusterProfile.ADVERSE.copy(teamCores = 60.0, drainPolicy = policy, controllersWithoutDrains = setOf((seed % 6).toInt()))
    return SimulatedCluster(seed, profile = profile).apply {
        checker.maxInterruptibleJobs = policy.defaultBudget.maxJobs
        repeat(18) { n -> script(SECOND + n * SECOND) { submitLongRunning(n, 120 * SECOND) } }
        script(30 * SECOND) { drainAll("all", atMost = 1 + (seed % 5).toInt(), replace = seed % 2 == 0L) }
        repeat(12) { n -> script((32 + 7L * n) * SECOND) { injectRandomFault() } }
        run(FAULTS_US, DRAINED_CALM_US)
    }
}
