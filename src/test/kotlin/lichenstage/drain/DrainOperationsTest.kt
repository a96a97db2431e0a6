package lichenstage.drain

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.runBlocking
import lichenstage.app.warmUpSettings
import lichenstage.common.SECOND
import lichenstage.config.Settings
import lichenstage.jobs.JobRecordCodec
import lichenstage.model.JobSpec
import lichenstage.model.MachineRecordCodec
import lichenstage.model.Priority
import lichenstage.model.RegisteredMachine
import lichenstage.model.Resources
import lichenstage.state.Change
import lichenstage.state.InMemoryKeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.ScanResult
import lichenstage.state.TransactionResult
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** What operators ask for on the command line. */
class DrainOperationsTest {
    private class FakeStore : InMemoryKeyValueStore() {
        var isUnavailable = false

        /** After so many transactions nothing is answered. */
        var transactionsLeft = Int.MAX_VALUE

        override suspend fun get(
            key: String,
            timeoutMs: Long,
        ) = if (isUnavailable) ReadResult.Unavailable else read(key)

        override suspend fun commit(
            preconditions: List<Precondition>,
            changes: List<Change>,
            timeoutMs: Long,
            isUrgent: Boolean,
        ) = if (isUnavailable || transactionsLeft-- <= 0) TransactionResult.Rejected else apply(preconditions, changes)

        fun scan(prefix: String): ScanResult =
            if (isUnavailable) {
                ScanResult.Unavailable
            } else {
                ScanResult.Complete(
                    entries.values.filter { it.key.startsWith(prefix) }.sortedBy { it.key },
                    revision,
                )
            }
    }

    private val store = FakeStore()
    private val settings = Settings.parse(warmUpSettings(8080, 8081, 8082))
    private val operations = DrainOperations(store, store::scan, DrainRecordCodec(settings.maxValueBytes), settings) { 1_000 * SECOND }

    init {
        val machines =
            (1..300).map {
                RegisteredMachine(
                    "vm-%03d".format(it),
                    if (it % 2 ==
                        0
                    ) {
                        "g"
                    } else {
                        "h"
                    },
                    if (it <= 200) "z" else "y",
                    it % 3 == 0,
                    "a:1",
                )
            }
        machines.chunked(68).forEachIndexed {
            i,
            page,
            ->
            store.apply(emptyList(), listOf(Change.Put("m/$i", MachineRecordCodec.encode(page))))
        }
    }

    private fun request(
        selection: DrainSelection = DrainSelection(typeName = "g"),
        replace: Boolean = false,
        maxConcurrent: Int = 2,
        dryRun: Boolean = false,
        name: String = "spring",
    ) = DrainRequest(name, selection, replace, maxConcurrent, null, dryRun)

    private fun start(request: DrainRequest) = runBlocking { operations.start(request) }

    @Example
    fun `what can't be done is refused by name, and nothing is written`() {
        val before = store.revision
        val bound =
            JobSpec("j-1", "c", "t", Priority.HIGH, 1, Resources(1.0, 0.0, 1.0), null, "y", false, false, true, "i", 1.0, 1, 0, 0, null, 0)
        store.apply(emptyList(), listOf(Change.Put("j/j-1", JobRecordCodec.encode(bound))))
        val errors =
            mapOf(
                request(DrainSelection(setOf("vm-001", "vm-999"))) to "--machine vm-999: no such machine is recorded",
                request(DrainSelection(zone = "moon")) to "--zone moon: no zone of this deployment",
                request(DrainSelection(typeName = "x")) to "--type x: no machine of this type is recorded",
                request(DrainSelection(setOf("vm-001"), typeName = "g")) to "no recorded machine is selected",
                request(maxConcurrent = 0) to "--at-most 0: at least 1 is needed",
                request(name = "a/b") to "a/b: a name of letters, digits and dashes is needed",
                request(DrainSelection(zone = "y")) to "--zone y: jobs are bound to it, and no machine would be left: --replace is needed",
            )
        for ((request, text) in errors) assertEquals(DrainCommandResult.Rejected(text), start(request)) { "${start(request)}, not $text" }
        assertEquals(before + 1, store.revision) { "something was written" }
        assertTrue(start(request(DrainSelection(zone = "y"), replace = true)) is DrainCommandResult.Status) { "refused with --replace" }
    }

    @Example
    fun `machines are selected by name, type, zone, kind and the order of hiring`() {
        fun select(selection: DrainSelection) =
            (start(request(selection, dryRun = true)) as DrainCommandResult.DryRun).machines.map { it.name }
        val before = store.revision
        assertEquals(listOf("vm-007"), select(DrainSelection(setOf("vm-007")))) { "by name" }
        assertEquals(50, select(DrainSelection(typeName = "g", zone = "y")).size) { "by type and zone" }
        assertTrue(
            select(DrainSelection(spot = true)).size == 100 && select(DrainSelection(spot = false)).size == 200,
        ) {
            "by kind"
        }
        assertEquals("vm-010", select(DrainSelection(provisionedUpTo = "vm-010")).last()) { "by order" }
        assertEquals(before, store.revision) { "a dry run writes" }
        val text =
            DrainReport.formatDryRun(
                start(request(DrainSelection(provisionedUpTo = "vm-003"), dryRun = true)) as DrainCommandResult.DryRun,
            )
        assertTrue(text.lines().size == 3 && text.lines().last() == "step 2: vm-003 (h, z)") { text }
    }

    @Example
    fun `a drain that was asked for half is asked for again under its name, and is there once`() {
        store.transactionsLeft = 1
        assertEquals(DrainCommandResult.Unavailable, start(request())) { "told as done" }
        assertTrue(store.entries.keys.none { it.startsWith(DrainRecordCodec.DRAIN_PREFIX) }) { "there without its machines" }
        store.transactionsLeft = Int.MAX_VALUE
        val result = start(request()) as DrainCommandResult.Status
        assertEquals(mapOf(Stage.WAITING to 150), result.reports.single().stages) { "${result.reports.single().stages}" }
        val revision = store.revision
        assertTrue(start(request()) is DrainCommandResult.Status && store.revision == revision) { "a repeat writes" }
        assertTrue(start(request(maxConcurrent = 7)) is DrainCommandResult.Rejected) { "another drain under the same name" }
        store.isUnavailable = true
        assertEquals(DrainCommandResult.Unavailable, start(request())) { "decided without the state service" }
    }

    @Example
    fun `a drain is paused, resumed and cancelled, and one that is over stays so`() {
        start(request())

        fun change(to: DrainStatus) = runBlocking { operations.changeStatus("spring", to) }

        fun status(result: DrainCommandResult) =
            (result as? DrainCommandResult.Status)
                ?.reports
                ?.single()
                ?.drain
                ?.status
        assertEquals(DrainStatus.PAUSED, status(change(DrainStatus.PAUSED))) { "not paused" }
        assertEquals(DrainStatus.RUNNING, status(change(DrainStatus.RUNNING))) { "not resumed" }
        assertEquals(DrainStatus.CANCELLED, status(change(DrainStatus.CANCELLED))) { "not cancelled" }
        assertEquals(DrainCommandResult.Rejected("spring: it is cancelled"), change(DrainStatus.RUNNING)) { "resumed after its end" }
        assertEquals(
            DrainCommandResult.Rejected("autumn: there is no such drain"),
            runBlocking {
                operations.changeStatus("autumn", DrainStatus.PAUSED)
            },
        ) { "unknown" }
        val json = (runBlocking { operations.status(null) } as DrainCommandResult.Status).reports.single().toJson()
        assertTrue(json.getString("status") == "cancelled" && json.getJsonObject("stages").getInteger("waiting") == 150) { json.encode() }
    }

    @Example
    fun `a deadline that can't be kept is said`() {
        val drain = Drain("d", false, 1, DrainStatus.RUNNING, null, 0, 100 * SECOND)
        val rows = (1..10).map { DrainedMachine("m$it", "d", if (it <= 2) Stage.GONE else Stage.WAITING, 0) }
        val state = DrainState().let { it.copy(machines = it.machines.putAll(rows.associateBy { row -> row.key })) }
        assertFalse(DrainReport.create(drain, state, 10 * SECOND).isLate) { "5 s a machine leave time" }
        assertTrue(DrainReport.create(drain, state, 40 * SECOND).isLate) { "20 s a machine do not" }
        assertTrue(DrainReport.create(drain, state, 40 * SECOND).toText().contains("it can't be kept")) {
            DrainReport.create(drain, state, 40 * SECOND).toText()
        }
        assertTrue(JsonObject(DrainReport.create(drain, state, 40 * SECOND).toJson().encode()).getBoolean("late")) { "not in JSON" }
    }
}
