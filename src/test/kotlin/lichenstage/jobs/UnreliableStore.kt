package lichenstage.jobs

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.state.Change
import lichenstage.state.InMemoryKeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.TransactionResult
import java.util.Random

/** A state service that is slow, refuses requests, leaves some without a reply, and applies some transactions late or unconfirmed. */
internal class UnreliableStore(
    private val random: Random,
    private val scope: CoroutineScope,
) : InMemoryKeyValueStore() {
    override suspend fun get(
        key: String,
        timeoutMs: Long,
    ): ReadResult {
        delay(1 + random.nextLong(80))
        if (random.nextInt(12) == 0) return ReadResult.Unavailable
        return read(key)
    }

    override suspend fun commit(
        preconditions: List<Precondition>,
        changes: List<Change>,
        timeoutMs: Long,
        isUrgent: Boolean,
    ): TransactionResult {
        delay(1 + random.nextLong(80))
        return when (random.nextInt(10)) {
            0 -> {
                TransactionResult.Rejected
            }

            1 -> {
                TransactionResult.Indeterminate.also { apply(preconditions, changes) }
            }

            2 -> {
                TransactionResult.Indeterminate.also {
                    scope.launch {
                        delay(
                            2000 + random.nextLong(10_000),
                        ).also { apply(preconditions, changes) }
                    }
                }
            }

            else -> {
                apply(preconditions, changes)
            }
        }
    }

    /**
     * Records the job as done, as the leader does once all its dependencies are recorded as done. Returns false if the job is not open, a
     * dependency is not done or the record has changed.
     */
    fun finish(id: String): Boolean {
        val open = entries["j/$id"] ?: return false
        if (JobRecordCodec.decodeDependencies(open.value).any { entries["x/$it"]?.value?.getString("status") != "done" }) return false
        val record = JsonObject().put("status", "done").put("tasks", 2)
        return apply(
            listOf(Precondition("j/$id", open.modRevision)),
            listOf(Change.Delete("j/$id"), Change.Put("x/$id", record)),
        ) is TransactionResult.Committed
    }
}
