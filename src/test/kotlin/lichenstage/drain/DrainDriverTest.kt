package lichenstage.drain

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceUntilIdle
import lichenstage.common.SECOND
import lichenstage.state.Change
import lichenstage.state.InMemoryKeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ScanResult
import lichenstage.state.SingleWriterKeys
import lichenstage.state.TransactionLimits
import lichenstage.state.TransactionResult
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests of [DrainDriver] with an in-memory state service. */
@OptIn(ExperimentalCoroutinesApi::class)
class DrainDriverTest {
    private class FakeStore : InMemoryKeyValueStore() {
        var isRejecting = false

        override suspend fun get(
            key: String,
            timeoutMs: Long,
        ) = read(key)

        override suspend fun commit(
            preconditions: List<Precondition>,
            changes: List<Change>,
            timeoutMs: Long,
            isUrgent: Boolean,
        ) = if (isRejecting) TransactionResult.Rejected else apply(preconditions, changes)

        fun scan(prefix: String) = ScanResult.Complete(entries.values.filter { it.key.startsWith(prefix) }.sortedBy { it.key }, revision)
    }

    private class RecordingActionHandler : DrainActionHandler {
        val evicted = ArrayList<TaskId>()
        val provisioned = ArrayList<DrainKey>()
        val terminated = ArrayList<String>()

        override fun evict(tasks: List<PlacedTask>) {
            evicted += tasks.map { it.taskId }
        }

        override fun provisionReplacement(key: DrainKey) {
            provisioned += key
        }

        override fun terminate(machine: String) {
            terminated += machine
        }
    }

    private val store = FakeStore()
    private val actionHandler = RecordingActionHandler()
    private val cluster = FakeCluster()
    private val codec = DrainRecordCodec(2_048)
    private val scope = TestScope()
    private var nowUs = 0L

    init {
        store.apply(emptyList(), listOf(Change.Put("c/leader", JsonObject())))
    }

    private fun driver(): DrainDriver {
        val leaderPreconditions = listOf(Precondition("c/leader", store.entries.getValue("c/leader").modRevision))
        val access = DrainRecordAccess(codec, store, SingleWriterKeys(store, TransactionLimits(4)), leaderPreconditions) { store.scan(it) }
        lateinit var driver: DrainDriver
        driver = DrainDriver(DrainPolicy(), cluster, access, actionHandler, DrainTracing(), scope, { nowUs }) { driver.handle(it) }
        return driver
    }

    private fun requestDrain(
        name: String,
        vararg machines: String,
    ) {
        val rows = machines.map { DrainedMachine(it, name, Stage.WAITING, 0) }
        val drain = Drain(name, false, 10, DrainStatus.RUNNING, null, 0, null)
        val pages = codec.encodeMachines(name, rows).map { Change.Put(it.key, it.value) }
        store.apply(emptyList(), pages + Change.Put(DrainRecordCodec.DRAIN_PREFIX + name, codec.encode(drain)))
    }

    private fun DrainDriver.run(seconds: Int) =
        repeat(seconds) {
            nowUs += SECOND
            step(nowUs)
            scope.advanceUntilIdle()
        }

    private fun status(name: String) =
        store.entries
            .getValue(DrainRecordCodec.DRAIN_PREFIX + name)
            .value
            .getString("status")

    private fun stages(name: String) =
        store
            .scan("${DrainRecordCodec.MACHINE_PREFIX}$name/")
            .entries
            .flatMap(codec::decodeMachines)
            .associate { it.name to it.stage }

    @Example
    fun `a requested drain is recorded step by step and marked as finished at its end`() {
        cluster.addMachine("m1")
        requestDrain("d", "m1")
        val driver = driver()
        driver.run(2)
        assertTrue(stages("d") == mapOf("m1" to Stage.CORDONED) && driver.cordoned == setOf("m1")) { "${stages("d")}" }
        assertTrue(actionHandler.terminated.isEmpty()) { "terminated before the cordon took effect" }
        driver.run(3)
        assertTrue(
            stages("d") == mapOf("m1" to Stage.EMPTIED) && "m1" in actionHandler.terminated,
        ) { "${stages("d")} ${actionHandler.terminated}" }
        cluster.conditions["m1"] = MachineCondition.GONE
        driver.run(6)
        assertTrue(stages("d").getValue("m1") == Stage.GONE && status("d") == "FINISHED") { "${stages("d")} ${status("d")}" }
        val revision = store.revision
        driver.run(10)
        assertEquals(revision, store.revision) { "records were written although nothing changed" }
    }

    @Example
    fun `nothing happens while writes fail, and a superseded leader writes nothing`() {
        cluster.addMachine("m1", FakeCluster.task(1, remainingS = 5))
        requestDrain("d", "m1")
        val driver = driver()
        driver.run(3)
        val before = stages("d")
        store.isRejecting = true
        cluster.conditions["m1"] = MachineCondition.GONE
        driver.run(5)
        assertTrue(stages("d") == before && driver.cordoned == setOf("m1")) { "${stages("d")}" }
        store.isRejecting = false
        store.apply(emptyList(), listOf(Change.Put("c/leader", JsonObject().put("label", "another"))))
        driver.run(5)
        assertTrue(stages("d") == before && status("d") == "RUNNING") { "${stages("d")} ${status("d")}" }
    }

    @Example
    fun `an unreadable record stops its own drain only`() {
        listOf("m1", "m2").forEach { cluster.addMachine(it, FakeCluster.task(1, remainingS = 5)) }
        requestDrain("broken", "m1")
        requestDrain("whole", "m2")
        store.apply(emptyList(), listOf(Change.Put(DrainRecordCodec.DRAIN_PREFIX + "broken", JsonObject().put("form", 9))))
        driver().run(4)
        assertTrue(
            stages("broken").getValue("m1") == Stage.WAITING && stages("whole").getValue("m2") == Stage.CORDONED,
        ) { "${stages("whole")}" }
    }

    @Example
    fun `an unreadable interruption record stops all drains`() {
        cluster.addMachine("m1")
        requestDrain("d", "m1")
        store.apply(emptyList(), listOf(Change.Put(DrainRecordCodec.INTERRUPTION_PREFIX + "0", JsonObject().put("form", 9))))
        driver().run(6)
        assertEquals(Stage.WAITING, stages("d").getValue("m1")) { "${stages("d")}" }
    }

    @Example
    fun `a new leader continues a drain, and a pause by an operator lifts the cordon`() {
        cluster.addMachine("m1", FakeCluster.task(1, remainingS = 5))
        requestDrain("d", "m1")
        val first = driver()
        first.run(4)
        assertEquals(setOf("m1"), first.cordoned) { "not cordoned" }
        val second = driver()
        second.run(4)
        assertEquals(setOf("m1"), second.cordoned) { "the new leader does not continue the drain" }
        val entry = store.entries.getValue(DrainRecordCodec.DRAIN_PREFIX + "d")
        val paused = codec.decodeDrain(entry).copy(status = DrainStatus.PAUSED)
        store.apply(emptyList(), listOf(Change.Put(entry.key, codec.encode(paused))))
        second.run(4)
        assertTrue(second.cordoned.isEmpty()) { "still cordoned" }
    }
}
