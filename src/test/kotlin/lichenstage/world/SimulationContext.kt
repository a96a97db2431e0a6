package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.config.Team
import lichenstage.model.PartitionAssignment
import java.util.Random

/** The objects that all parts of a simulated cluster share: the random generator, time and messages, the layout, and the rule checker. */
internal class SimulationContext(
    seed: Long,
    val mutation: Mutation,
    val profile: ClusterProfile,
) {
    val random = Random(seed)
    val network = SimulatedNetwork(random)
    val nowUs get() = network.nowUs
    val zones = listOf("a", "b", "c")

    /** The zone of each controller. Zone a has two controllers and therefore two partitions; zone c has no controller. */
    val controllers = mapOf("n0" to "a", "n1" to "a", "n2" to "b")
    val assignment = PartitionAssignment(zones, controllers)
    val teams = listOf("red", "blue").associateWith { Team(it, 0.0, profile.teamCores, 0.0, Double.POSITIVE_INFINITY) }

    /** Counts of the events in the handling of commands to workers. */
    val orderEvents = OrderEventCounts()
    val checker = RuleChecker(teams.mapValues { it.value.coreLimit }, CANCELLATION_LIMIT_US)

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
        canRepeat: Boolean = true,
        deliver: () -> Unit,
    ) = network.send(from, to, canRepeat, deliver)

    companion object {
        const val CONTROLLERS = 3

        /** The duration of the lease of a controller's process in the state service. */
        const val LEASE_US = 6 * SECOND
        const val WORKER_LEASE_US = 15 * SECOND

        /** The time after which no task of a cancelled job may run, counted from the confirmation of the cancellation. */
        const val CANCELLATION_LIMIT_US = 40 * SECOND

        /** The maximum delay of copies of heartbeats and of repeats of orders, in microseconds. */
        const val MAX_DELIVERY_DELAY_US = 45_000_000
        const val MACHINE_CORES = 8.0
        const val MACHINE_MEMORY_GB = 64.0

        /** Returns the host name of a controller. */
        fun hostOf(controller: Int) = "n$controller"
    }
}
