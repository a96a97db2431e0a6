package lichenstage.state

import io.vertx.core.Vertx
import io.vertx.core.json.JsonObject
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import lichenstage.common.Address
import lichenstage.common.Clock
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals

/** Guards against taking the refusal of an invalid transaction for a conflict, after which the same transaction is sent again for good. */
class RefusedTransactionTest {
    private var refusals = 0

    private fun commitAgainst(
        status: Int,
        body: JsonObject,
    ): TransactionResult =
        runBlocking {
            val vertx = Vertx.vertx()
            val result =
                withContext(vertx.orCreateContext.dispatcher()) {
                    val server = vertx.createHttpServer().requestHandler { it.response().setStatusCode(status).end(body.toBuffer()) }
                    val port = server.listen(0, "127.0.0.1").coAwait().actualPort()
                    val address = Address("127.0.0.1", port)
                    val store = KeyValueStoreClient(vertx, address, Clock.steady, 1, 100.0, 100.0, { 1.0 }, { refusals++ })
                    store.commit(emptyList(), listOf(Change.Put("m/0", JsonObject())))
                }
            vertx.close().coAwait()
            result
        }

    @Example
    fun `status 400 means that the transaction is invalid, unless its lease has ended`() {
        assertEquals(TransactionResult.Invalid, commitAgainst(400, JsonObject().put("error", "transaction too large")))
        assertEquals(TransactionResult.Invalid, commitAgainst(400, JsonObject()))
        assertEquals(2, refusals)
        assertEquals(TransactionResult.LeaseExpired, commitAgainst(400, JsonObject().put("error", "no such lease")))
        assertEquals(TransactionResult.Conflict(listOf("m/0")), commitAgainst(409, JsonObject("""{"failed":["m/0"],"ledger_rev":4}""")))
        assertEquals(TransactionResult.Rejected, commitAgainst(429, JsonObject()))
        assertEquals(2, refusals) { "other replies are counted as refusals" }
    }
}
