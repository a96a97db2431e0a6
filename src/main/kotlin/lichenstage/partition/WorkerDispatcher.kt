package lichenstage.partition

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import lichenstage.authority.Authority

/** Runs the requests that partitions cause, and passes their results to the partitions' actor as messages. */
internal class WorkerDispatcher(
    private val scope: CoroutineScope,
    private val workerClient: WorkerClient,
    private val authority: Authority,
    private val tellActor: (PartitionMessage) -> Unit,
) {
    /** How many more requests to workers may be in flight. */
    val availableConnections get() = workerClient.availableConnections

    /** Sends a direct order. */
    fun sendOrder(
        partition: PartitionCore,
        order: DirectOrder,
    ) {
        scope.launch {
            val outcome = workerClient.sendOrder(order)
            tellActor(PartitionMessage.OrderCompleted(partition.id, partition.term, order, outcome))
        }
    }

    /** Sends a probe. */
    fun sendProbe(
        partition: PartitionCore,
        probe: StatusProbe,
    ) {
        scope.launch { tellActor(PartitionMessage.ProbeCompleted(partition.id, partition.term, probe, workerClient.sendProbe(probe))) }
    }

    /** Reserves fencing tokens for the owner of [partition]. */
    fun reserveTokens(partition: PartitionCore) {
        scope.launch {
            val fencingTokens = authority.reserveFencingTokens(partition.id, TOKENS_PER_RESERVATION, partition.lacksTokens) ?: return@launch
            tellActor(PartitionMessage.TokensReserved(partition.id, partition.term, fencingTokens))
        }
    }

    private companion object {
        /** Each token fences off the orders to as many machines as need it at a time. */
        const val TOKENS_PER_RESERVATION = 64
    }
}
