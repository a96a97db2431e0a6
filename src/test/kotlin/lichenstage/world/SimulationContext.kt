package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.config.Team
import lichenstage.model.PartitionAssignment
import java.util.Random

/** What all parts of a simulated cluster share: a seed's draws, time and messages, the layout, and who watches the rules. */
internal class SimulationContext(
    seed: Long,
    val mutation: Mutation,
    val profile: ClusterProfile,
) {
    val random = Random(seed)
    val network = SimulatedNetwork(random)
    val nowUs get() = network.nowUs
    val zones = listOf("a", "b", "c")

    /** Zone a has two controllers and so two partitions, zone c none of its own. */
    val controllers = mapOf("n0" to "a", "n1" to "a", "n2" to "b")
    val assignment = PartitionAssignment(zones, controllers)
    val teams = listOf("red", "blue").associateWith { Team(it, 0.0, profile.teamCores, 0.0, Double.POSITIVE_INFINITY) }

    /** What became of orders to workers. */
    val orderEvents = OrderEventCounts()
    val checker = RuleChecker(teams.mapValues { it.value.coresMax }, CANCEL_US)

    fun after(
        delayUs: Long,
        run: () -> Unit,
    ) = network.after(delayUs, run)

    fun every(
        periodUs: Long,
        run: () -> Unit,
    ) = network.every(periodUs, run)

    fun send(
        from: String,
        to: String,
        repeats: Boolean = true,
        deliver: () -> Unit,
    ) = network.send(from, to, repeats, deliver)

    companion object {
        const val CONTROLLERS = 3

        /** Of a controller's process in the state service. */
        const val LEASE_US = 6 * SECOND
        const val WORKER_LEASE_US = 15 * SECOND
        const val CANCEL_US = 40 * SECOND

        /** How late copies of reports and repeats of orders may come. */
        const val MAX_DELIVERY_DELAY_US = 45_000_000
        const val MACHINE_CORES = 8.0
        const val MACHINE_MEMORY_GB = 64.0

        /** A controller's name as a host. */
        fun hostOf(controller: Int) = "n$controller"
    }
}
