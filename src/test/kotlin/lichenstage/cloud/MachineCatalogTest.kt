package lichenstage.cloud

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import lichenstage.model.MachineType
import lichenstage.model.Resources
import lichenstage.state.Change
import lichenstage.state.InMemoryKeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.TransactionResult
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull

/** Tests the exact bytes of the record of machine types, and when the catalog reads and writes the record. */
class MachineCatalogTest {
    private val bounded = MachineType("g8", Resources(16.0, 8.0, 64.0), 2.0, 0.5, 1_500_000, 50.0, 0.5, listOf("a", "b"))
    private val unbounded = bounded.copy(name = "c4", cacheGb = Double.POSITIVE_INFINITY)
    private val record =
        """{"types":[{"name":"g8","cores":16.0,"cards":8.0,"mem":64.0,"price":2.0,"spot":0.5,"boot":1500000,"cache":50.0,"fetch":0.5,""" +
            """"zones":["a","b"]},{"name":"c4","cores":16.0,"cards":8.0,"mem":64.0,"price":2.0,"spot":0.5,"boot":1500000,"fetch":0.5,""" +
            """"zones":["a","b"]}]}"""

    private class CountingStore : InMemoryKeyValueStore() {
        var writeCount = 0

        override suspend fun get(
            key: String,
            timeoutMs: Long,
        ): ReadResult = read(key)

        override suspend fun commit(
            preconditions: List<Precondition>,
            changes: List<Change>,
            timeoutMs: Long,
            isUrgent: Boolean,
        ): TransactionResult {
            writeCount++
            return apply(preconditions, changes)
        }
    }

    private class FakeCloud(
        private val types: CloudReply<List<MachineType>>,
    ) : Cloud {
        override suspend fun listMachineTypes() = types

        override suspend fun provision(request: ProvisionRequest) = ProvisionResult.Indeterminate

        override suspend fun terminate(machines: List<String>) = TerminateResult.INDETERMINATE

        override suspend fun listMachines(after: String?) = CloudReply.Unavailable
    }

    private val store = CountingStore()

    /** Returns a catalog that has requested the machine types from the cloud once. */
    private fun catalog(types: CloudReply<List<MachineType>>): MachineCatalog =
        runBlocking {
            lateinit var catalog: MachineCatalog
            val refreshLoop =
                launch {
                    coroutineScope {
                        catalog = MachineCatalog(FakeCloud(types), store, this)
                        catalog.start()
                    }
                }
            repeat(3) { yield() }
            refreshLoop.cancelAndJoin()
            catalog
        }

    private fun store(record: String) = store.apply(emptyList(), listOf(Change.Put(MachineCatalogCodec.KEY, JsonObject(record))))

    @Example
    fun `the record has exactly the expected bytes and decodes to the types it was encoded from`() {
        assertEquals(record, MachineCatalogCodec.encode(listOf(bounded, unbounded)).encode())
        assertEquals(mapOf("g8" to bounded, "c4" to unbounded), MachineCatalogCodec.decode(JsonObject(record)))
    }

    @Example
    fun `the types from the cloud are stored once and not again if only a spot price changes`() {
        assertEquals(mapOf("g8" to bounded), catalog(CloudReply.Success(listOf(bounded))).machineTypes)
        assertEquals(1, store.writeCount)
        val repriced = bounded.copy(spotPrice = 0.7)
        assertEquals(mapOf("g8" to repriced), catalog(CloudReply.Success(listOf(repriced))).machineTypes)
        assertEquals(1, store.writeCount, "only the spot price has changed")
        catalog(CloudReply.Success(listOf(bounded.copy(onDemandPrice = 3.0))))
        assertEquals(2, store.writeCount, "the price has changed")
    }

    @Example
    fun `without types from the cloud the catalog loads them from the record`() {
        store(record)
        for (failure in listOf(CloudReply.Unavailable, CloudReply.Refused(503), CloudReply.Success(emptyList<MachineType>()))) {
            val catalog = catalog(failure)
            assertEquals(setOf("g8", "c4"), catalog.machineTypes.keys, "$failure")
            assertEquals(50.0, catalog.limitsOf("g8")?.cacheGb)
            assertNull(catalog.limitsOf("g9"))
        }
        assertEquals(0, store.writeCount)
    }

    @Example
    fun `without the cloud and without a record the catalog stays empty`() {
        assertFalse(catalog(CloudReply.Unavailable).isLoaded)
    }
}
