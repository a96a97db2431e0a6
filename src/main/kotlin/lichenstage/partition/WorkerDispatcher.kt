package lichenstage.partition

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import lichenstage.authority.Authority

/** Runs the requests that partitions cause, and passes their results to the partitions' actor as messages. */
internal class WorkerDispatcher(
    private val scope: CoroutineScope,
    private val workers: WorkerClient,
    private val authority: Authority,
    private val tell: (PartitionMessage) -> Unit,
) {
    /** How many more requests to workers may be in flight. */
    val available get() = workers.available

    /** Sends a direct order. */
    fun send(
        partition: PartitionCore,
        order: DirectOrder,
    ) {
        scope.launch {
            val outcome = workers.send(order)
            tell(PartitionMessage.OrderCompleted(partition.id, partition.term, order, outcome))
        }
    }

    /** Sends a probe. */
    fun probe(
        partition: PartitionCore,
        probe: StatusProbe,
    ) {
        scope.launch { tell(PartitionMessage.ProbeCompleted(partition.id, partition.term, probe, workers.probe(probe))) }
    }

    /** Reserves fencing tokens for the owner of [partition]. */
    fun reserveTokens(partition: PartitionCore) {
        scope.launch {
            val fencingTokens = authority.reserveFencingTokens(partition.id, TOKENS_PER_RESERVATION, partition.lacksTokens) ?: return@launch
            tell(PartitionMessage.TokensReserved(partition.id, partition.term, fencingTokens))
        }
    }

    private companion object {
        /** Each token fences off the orders to as many machines as need it at a time. */
        const val TOKENS_PER_RESERVATION = 64
    }
}
