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

/** Tests of the operators' commands with an in-memory state service. */
class DrainOperationsTest {
    private class FakeStore : InMemoryKeyValueStore() {
        var isUnavailable = false

        /** Number of transactions that succeed; later ones are rejected. */
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
        shouldReplace: Boolean = false,
        maxConcurrent: Int = 2,
        isDryRun: Boolean = false,
        name: String = "spring",
    ) = DrainRequest(name, selection, shouldReplace, maxConcurrent, null, isDryRun)

    private fun start(request: DrainRequest) = runBlocking { operations.start(request) }

    @Example
    fun `an invalid request is rejected with a message that names the option, and nothing is written`() {
        val before = store.revision
        val boundJob =
            JobSpec("j-1", "c", "t", Priority.HIGH, 1, Resources(1.0, 0.0, 1.0), null, "y", false, false, true, "i", 1.0, 1, 0, 0, null, 0)
        store.apply(emptyList(), listOf(Change.Put("j/j-1", JobRecordCodec.encode(boundJob))))
        val errors =
            mapOf(
                request(DrainSelection(setOf("vm-001", "vm-999"))) to "--machine: must be a registered machine, was \"vm-999\"",
                request(DrainSelection(zone = "moon")) to "--zone: must be a configured zone, was \"moon\"",
                request(DrainSelection(typeName = "x")) to "--type: must have a registered machine, was \"x\"",
                request(DrainSelection(setOf("vm-001"), typeName = "g")) to "no registered machine matches the selection",
                request(maxConcurrent = 0) to "--at-most: must be at least 1, was 0",
                request(name = "a/b") to "NAME: must be 1-60 letters, digits or dashes, was \"a/b\"",
                request(DrainSelection(zone = "y")) to "--replace: must be given, jobs are bound to zone \"y\", which would be empty",
            )
        for ((request, text) in errors) assertEquals(DrainCommandResult.Rejected(text), start(request)) { "${start(request)}, not $text" }
        assertEquals(before + 1, store.revision) { "something was written" }
        assertTrue(
            start(request(DrainSelection(zone = "y"), shouldReplace = true)) is DrainCommandResult.Status,
        ) { "rejected with --replace" }
    }

    @Example
    fun `machines are selected by name, type, zone, spot flag and provisioning order`() {
        fun select(selection: DrainSelection) =
            (start(request(selection, isDryRun = true)) as DrainCommandResult.DryRun).machines.map { it.name }
        val before = store.revision
        assertEquals(listOf("vm-007"), select(DrainSelection(setOf("vm-007")))) { "by name" }
        assertEquals(50, select(DrainSelection(typeName = "g", zone = "y")).size) { "by type and zone" }
        assertTrue(
            select(DrainSelection(isSpot = true)).size == 100 && select(DrainSelection(isSpot = false)).size == 200,
        ) {
            "by spot flag"
        }
        assertEquals("vm-010", select(DrainSelection(provisionedUpTo = "vm-010")).last()) { "by provisioning order" }
        assertEquals(before, store.revision) { "a dry run wrote records" }
        val text =
            DrainReport.formatDryRun(
                start(request(DrainSelection(provisionedUpTo = "vm-003"), isDryRun = true)) as DrainCommandResult.DryRun,
            )
        assertTrue(text.lines().size == 3 && text.lines().last() == "step 2: vm-003 (h, z)") { text }
    }

    @Example
    fun `a start that failed halfway can be repeated, and a repeated start changes nothing`() {
        store.transactionsLeft = 1
        assertEquals(DrainCommandResult.Unavailable, start(request())) { "reported as started" }
        assertTrue(store.entries.keys.none { it.startsWith(DrainRecordCodec.DRAIN_PREFIX) }) { "recorded without its machines" }
        store.transactionsLeft = Int.MAX_VALUE
        val result = start(request()) as DrainCommandResult.Status
        assertEquals(
            mapOf(Stage.WAITING to 150),
            result.reports.single().machineCountByStage,
        ) { "${result.reports.single().machineCountByStage}" }
        val revision = store.revision
        assertTrue(start(request()) is DrainCommandResult.Status && store.revision == revision) { "a repeated start wrote records" }
        assertTrue(start(request(maxConcurrent = 7)) is DrainCommandResult.Rejected) { "accepted another drain with the same name" }
        store.isUnavailable = true
        assertEquals(DrainCommandResult.Unavailable, start(request())) { "replied without the state service" }
    }

    @Example
    fun `a drain can be paused, resumed and cancelled, and a cancelled drain stays cancelled`() {
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
        assertEquals(
            DrainCommandResult.Rejected("drain \"spring\" is already cancelled"),
            change(DrainStatus.RUNNING),
        ) { "resumed after its end" }
        assertEquals(
            DrainCommandResult.Rejected("drain \"autumn\" does not exist"),
            runBlocking {
                operations.changeStatus("autumn", DrainStatus.PAUSED)
            },
        ) { "changed an unknown drain" }
        val json = (runBlocking { operations.status(null) } as DrainCommandResult.Status).reports.single().toJson()
        assertTrue(json.getString("status") == "cancelled" && json.getJsonObject("stages").getInteger("waiting") == 150) { json.encode() }
    }

    @Example
    fun `a report contains whether the deadline can be met`() {
        val drain = Drain("d", false, 1, DrainStatus.RUNNING, null, 0, 100 * SECOND)
        val rows = (1..10).map { DrainedMachine("m$it", "d", if (it <= 2) Stage.GONE else Stage.WAITING, 0) }
        val state = DrainState().let { it.copy(machines = it.machines.putAll(rows.associateBy { row -> row.key })) }
        assertFalse(DrainReport.create(drain, state, 10 * SECOND).isLate) { "late at 5 s per machine" }
        assertTrue(DrainReport.create(drain, state, 40 * SECOND).isLate) { "not late at 20 s per machine" }
        assertTrue(DrainReport.create(drain, state, 40 * SECOND).toText().contains("deadline 1970-01-01T00:01:40Z (cannot be met)")) {
            DrainReport.create(drain, state, 40 * SECOND).toText()
        }
        assertTrue(JsonObject(DrainReport.create(drain, state, 40 * SECOND).toJson().encode()).getBoolean("late")) { "not late in JSON" }
    }
}
