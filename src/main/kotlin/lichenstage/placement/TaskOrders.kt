package lichenstage.placement

import lichenstage.cluster.AttemptOrder
import lichenstage.common.SECOND

/** Stops and clears that go out together. */
data class DueOrders(
    val stops: List<AttemptOrder>,
    val clears: List<AttemptOrder>,
)

/**
 * The stops and clears that machines still need. Each goes out once, and again after a while as long as the machine has not
 * shown that it is done: frames get lost.
 */
class TaskOrders {
    private class Due(
        val order: AttemptOrder,
        val stop: Boolean,
    ) {
        var sentUs = Long.MIN_VALUE / 2
    }

    private val partitions = HashMap<String, LinkedHashMap<String, List<Due>>>()

    /** Sets the orders that [machine] needs now. True where one of them is new. */
    fun set(
        partition: String,
        machine: String,
        stops: List<AttemptOrder>,
        clears: List<AttemptOrder>,
    ): Boolean {
        val machines = partitions.getOrPut(partition) { LinkedHashMap() }
        if (stops.isEmpty() && clears.isEmpty()) {
            machines.remove(machine)
            return false
        }
        val before = machines[machine].orEmpty()
        var added = false

        fun due(
            order: AttemptOrder,
            stop: Boolean,
        ) = before.firstOrNull { it.stop == stop && it.order == order } ?: Due(order, stop).also { added = true }
        machines[machine] = stops.map { due(it, true) } + clears.map { due(it, false) }
        return added
    }

    /** The machine is terminated. */
    fun forget(
        partition: String,
        machine: String,
    ) {
        partitions[partition]?.remove(machine)
    }

    /** A new owner of the partition gets all orders anew. */
    fun forget(partition: String) {
        partitions.remove(partition)
    }

    /** The stops and the clears to send to a partition now. */
    fun take(
        partition: String,
        now: Long,
    ): DueOrders {
        val stops = ArrayList<AttemptOrder>()
        val clears = ArrayList<AttemptOrder>()
        val waiting =
            partitions[partition]
                ?.values
                .orEmpty()
                .asSequence()
                .flatten()
        for (due in waiting.filter { isDue(it, now) }.take(MAX_ORDERS_PER_FRAME)) {
            due.sentUs = now
            (if (due.stop) stops else clears) += due.order
        }
        return DueOrders(stops, clears)
    }

    private fun isDue(
        due: Due,
        now: Long,
    ) = now - due.sentUs >= if (due.stop) STOP_RETRY_US else CLEAR_RETRY_US

    private companion object {
        const val STOP_RETRY_US = 2 * SECOND
        const val CLEAR_RETRY_US = 6 * SECOND
        const val MAX_ORDERS_PER_FRAME = 400
    }
}
