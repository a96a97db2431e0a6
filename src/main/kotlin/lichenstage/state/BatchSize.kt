package lichenstage.state

/**
 * The number of items to write in one transaction. It is halved when the state service refuses a transaction as invalid, because the same
 * transaction would be refused again, and doubled up to [max] when a transaction is committed. So an item that the service never accepts
 * ends up in a transaction of its own and does not keep the others from being written.
 */
class BatchSize(
    private val max: Int,
) {
    /** The number of items that the next transaction may have. */
    var current = max
        private set

    /** Handles the outcome of a transaction. Outcomes that say nothing about its validity leave the size unchanged. */
    fun onWritten(outcome: WriteOutcome) {
        when (outcome) {
            WriteOutcome.COMMITTED -> current = minOf(max, current * 2)
            WriteOutcome.INVALID -> current = maxOf(1, current / 2)
            WriteOutcome.FAILED -> Unit
        }
    }
}
