package lichenstage.partition

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import lichenstage.authority.Authority

/** Runs the asynchronous requests of partitions and sends their results to the [PartitionActor] as messages. */
internal class WorkerDispatcher(
    private val scope: CoroutineScope,
    private val workerClient: WorkerClient,
    private val authority: Authority,
    private val tellActor: (PartitionMessage) -> Unit,
) {
    /** The number of additional requests to workers that may be in flight. */
    val availableConnections get() = workerClient.availableConnections

    /** Sends a direct order of [partition]. The outcome arrives as [PartitionMessage.OrderCompleted]. */
    fun sendOrder(
        partition: PartitionCore,
        order: DirectOrder,
    ) {
        scope.launch {
            val outcome = workerClient.sendOrder(order)
            tellActor(PartitionMessage.OrderCompleted(partition.id, partition.term, order, outcome))
        }
    }

    /** Sends a probe of [partition]. The result arrives as [PartitionMessage.ProbeCompleted]. */
    fun sendProbe(
        partition: PartitionCore,
        probe: StatusProbe,
    ) {
        scope.launch { tellActor(PartitionMessage.ProbeCompleted(partition.id, partition.term, probe, workerClient.sendProbe(probe))) }
    }

    /** Reserves fencing tokens for [partition]. They arrive as [PartitionMessage.TokensReserved], unless the reservation fails. */
    fun reserveTokens(partition: PartitionCore) {
        scope.launch {
            val fencingTokens = authority.reserveFencingTokens(partition.id, TOKENS_PER_RESERVATION, partition.lacksTokens) ?: return@launch
            tellActor(PartitionMessage.TokensReserved(partition.id, partition.term, fencingTokens))
        }
    }

    private companion object {
        /** One token is shared by all machines that need a newer one at the same time, so this number covers many such rounds. */
        const val TOKENS_PER_RESERVATION = 64
    }
}
