package lichenstage.placement

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import kotlinx.coroutines.runBlocking
import lichenstage.model.RegisteredMachine
import lichenstage.state.BatchSize
import lichenstage.state.LimitedStore
import lichenstage.state.Precondition
import lichenstage.state.SingleWriterKeys
import lichenstage.state.TransactionLimits
import lichenstage.state.WriteOutcome
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Guards against registry writes that the state service refuses for their size, so that no new machine is ever recorded. */
class RegistrySizeTest {
    private fun machine(
        number: Int,
        zone: String,
    ) = RegisteredMachine("vm-%06d".format(number), "molar16", zone, true, "10.0.${number / 250}.${number % 250}:9000")

    private fun writeAll(
        registry: DurableMachineRegistry,
        store: LimitedStore,
        limits: TransactionLimits,
    ): Int {
        val keys = SingleWriterKeys(store, limits)
        var writes = 0
        while (registry.hasUnwrittenChunks && writes < MAX_WRITES) {
            val chunks = registry.takeDueChunks()
            val outcome = runBlocking { keys.write(listOf(Precondition("c/leader", 0)), chunks.map { it.change }, isUrgent = true) }
            registry.onWritten(chunks, outcome)
            writes++
        }
        return writes
    }

    private fun recordedMachines(store: LimitedStore) =
        store.entries.values
            .flatMap { it.value.getJsonArray("machines") as JsonArray }
            .size

    @Example
    fun `a fleet that comes up at once is recorded in transactions within all limits of the state service`() {
        for ((machines, maxChanges, maxValueBytes) in listOf(
            Triple(1300, 48, 16 * 1024),
            Triple(1575, 12, 8 * 1024),
            Triple(6000, 48, 16 * 1024),
            Triple(6000, 500, 64 * 1024),
            Triple(200, 2, 256),
        )) {
            for (zone in listOf("a", "darkhan-hall", "z".repeat(60), "\u0443".repeat(60))) {
                val limits = TransactionLimits(maxChanges)
                val registry = DurableMachineRegistry(maxValueBytes, limits)
                repeat(machines) { registry.add(machine(it, zone)) }
                val store = LimitedStore(maxChanges, maxValueBytes)
                writeAll(registry, store, limits)
                assertEquals(0, store.refusals) { "$machines machines, $maxChanges changes, values of $maxValueBytes bytes, zone $zone" }
                assertEquals(machines, recordedMachines(store)) { "$machines machines, $maxChanges changes, zone $zone" }
            }
        }
    }

    /** An earlier version of the service wrote chunks of 100 machines whatever the length of their names. */
    @Example
    fun `a chunk that is too large in bytes is split when it is loaded, and each machine stays recorded`() {
        val limits = TransactionLimits(12)
        val earlierRegistry = DurableMachineRegistry(64 * 1024, limits)
        repeat(100) { earlierRegistry.add(machine(it, "z".repeat(60))) }
        val store = LimitedStore(12, 8 * 1024)
        store.apply(emptyList(), earlierRegistry.takeDueChunks().map { it.change })
        val registry = DurableMachineRegistry(8 * 1024, limits)
        store.entries.values
            .toList()
            .forEach(registry::load)
        registry.splitOversizedChunks()
        val keys = SingleWriterKeys(store, limits).apply { load(store.entries.values.toList()) }
        while (registry.hasUnwrittenChunks) {
            val chunks = registry.takeDueChunks()
            registry.onWritten(chunks, runBlocking { keys.write(emptyList(), chunks.map { it.change }, isUrgent = true) })
            assertEquals(
                100,
                store.entries.values
                    .flatMapTo(HashSet()) { names(it.value) }
                    .size,
            ) { "a machine is not recorded" }
        }
        assertEquals(0, store.refusals)
    }

    private fun names(value: JsonObject) = value.getJsonArray("machines").map { (it as JsonArray).getString(0) }

    /** Guards against one refused chunk that keeps all others from being written, because it is repeated in the same transaction. */
    @Example
    fun `a chunk that the state service never accepts does not hold up the other chunks`() {
        val limits = TransactionLimits(48)
        val registry = DurableMachineRegistry(16 * 1024, limits)
        repeat(1000) { registry.add(machine(it, "z")) }
        val store = LimitedStore(48, 16 * 1024, neverAcceptedKey = "m/3")
        val writes = writeAll(registry, store, limits)
        assertTrue(recordedMachines(store) >= 999) { "only ${recordedMachines(store)} of 1000 machines are recorded" }
        assertTrue(writes < 60 && !registry.hasUnwrittenChunks) { "$writes writes, the refused chunk is repeated" }
    }

    @Example
    fun `a refused batch is halved down to one, and grows again when writes are committed`() {
        val size = BatchSize(48)
        val sizes = List(7) { size.onWritten(WriteOutcome.INVALID).let { size.current } }
        assertEquals(listOf(24, 12, 6, 3, 1, 1, 1), sizes)
        size.onWritten(WriteOutcome.FAILED)
        assertEquals(1, size.current)
        repeat(6) { size.onWritten(WriteOutcome.COMMITTED) }
        assertTrue(size.current == 48) { "${size.current}" }
    }

    private companion object {
        const val MAX_WRITES = 400
    }
}
