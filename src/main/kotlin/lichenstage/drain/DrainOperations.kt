package lichenstage.drain

import lichenstage.config.Settings
import lichenstage.jobs.JobRecordCodec
import lichenstage.model.MachineRecordCodec
import lichenstage.model.RegisteredMachine
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.KeyValueStore
import lichenstage.state.Precondition
import lichenstage.state.ReadResult
import lichenstage.state.ScanResult
import lichenstage.state.TransactionResult
import lichenstage.state.UnreadableRecordException

/**
 * The commands of operators. They only read and write records, on the precondition that these are as they were read, so it makes no
 * difference which controllers are up.
 */
class DrainOperations(
    private val store: KeyValueStore,
    private val scan: suspend (String) -> ScanResult,
    private val records: DrainRecords,
    private val settings: Settings,
    private val timeOfDayUs: () -> Long,
) {
    /** Records a drain, or shows what it would do. Idempotent: a repeat of the same request succeeds. */
    suspend fun start(request: DrainRequest): DrainCommandResult =
        resultOf {
            if (!NAME.matches(request.name)) throw RejectedCommand("${request.name}: a name of letters, digits and dashes is needed")
            if (request.maxConcurrent < 1) throw RejectedCommand("--at-most ${request.maxConcurrent}: at least 1 is needed")
            when (val known = store.get(DrainRecords.DRAINS + request.name)) {
                is ReadResult.Found -> startRepeated(request, known.entry)
                ReadResult.NotFound -> startNew(request)
                ReadResult.Unavailable -> throw StateServiceUnavailable()
            }
        }

    private suspend fun startNew(request: DrainRequest): DrainCommandResult {
        val machines = read(MachineRecordCodec.PREFIX).flatMap { MachineRecordCodec.decode(it.value) }
        val boundZones = read(JobRecordCodec.OPEN).mapNotNullTo(HashSet()) { JobRecordCodec.decode(it.value).zone }
        rejectionReason(request, machines, boundZones)?.let { throw RejectedCommand(it) }
        val selected = machines.filter { it in request.selection }.sortedBy { it.name }
        return if (request.dryRun) DrainCommandResult.DryRun(request, selected) else write(request, selected)
    }

    private suspend fun startRepeated(
        request: DrainRequest,
        entry: Entry,
    ): DrainCommandResult {
        val asked = records.decodeDrain(entry)
        if (asked.replace != request.replace || asked.maxConcurrent != request.maxConcurrent) {
            throw RejectedCommand("${request.name}: there is a drain of this name with other options")
        }
        return statusOf(request.name)
    }

    /** The command can't be executed as it was given. */
    private class RejectedCommand(
        why: String,
    ) : Exception(why)

    /** The state service does not answer, or has changed meanwhile. */
    private class StateServiceUnavailable : Exception()

    private suspend fun resultOf(work: suspend () -> DrainCommandResult): DrainCommandResult =
        try {
            work()
        } catch (e: RejectedCommand) {
            DrainCommandResult.Rejected("${e.message}")
        } catch (e: UnreadableRecordException) {
            DrainCommandResult.Rejected("${e.message}")
        } catch (_: StateServiceUnavailable) {
            DrainCommandResult.Unavailable
        }

    private suspend fun read(prefix: String): List<Entry> =
        (scan(prefix) as? ScanResult.Complete)?.entries ?: throw StateServiceUnavailable()

    private suspend fun commit(
        preconditions: List<Precondition>,
        changes: List<Change>,
    ) {
        if (store.commit(preconditions, changes) !is TransactionResult.Committed) throw StateServiceUnavailable()
    }

    private fun rejectionReason(
        request: DrainRequest,
        machines: List<RegisteredMachine>,
        boundZones: Set<String>,
    ): String? {
        val selection = request.selection
        val unknown = selection.names.firstOrNull { name -> machines.none { it.name == name } }
        val typeName = selection.typeName
        val zones = machines.filter { it in selection }.map { it.zone }.distinct()
        val emptied = zones.firstOrNull { zone -> zone in boundZones && machines.none { it.zone == zone && it !in selection } }
        return when {
            unknown != null -> "--machine $unknown: no such machine is recorded"
            selection.zone != null && selection.zone !in settings.zones -> "--zone ${selection.zone}: no zone of this deployment"
            typeName != null && machines.none { it.typeName == typeName } -> "--type $typeName: no machine of this type is recorded"
            zones.isEmpty() -> "no recorded machine is selected"
            emptied == null || request.replace -> null
            else -> "--zone $emptied: jobs are bound to it, and no machine would be left: --replace is needed"
        }
    }

    /** The machines first: the drain is there once its own record is. */
    private suspend fun write(
        request: DrainRequest,
        machines: List<RegisteredMachine>,
    ): DrainCommandResult {
        val now = timeOfDayUs()
        val rows = machines.map { DrainedMachine(it.name, request.name, Stage.WAITING, now) }
        val pages = records.encodeMachines(request.name, rows)
        val stamps = read("${DrainRecords.MACHINES}${request.name}/").associate { it.key to it.modRevision }
        val changes = pages.map { Change.Put(it.key, it.value) } + (stamps.keys - pages.keys).map { Change.Delete(it) }
        val drainKey = DrainRecords.DRAINS + request.name
        for (part in changes.chunked(settings.txnOps)) {
            val preconditions = part.map { Precondition(it.key, stamps[it.key] ?: Precondition.ABSENT) } + Precondition.absent(drainKey)
            commit(preconditions, part)
        }
        val drain =
            Drain(
                request.name,
                request.replace,
                request.maxConcurrent,
                DrainStatus.RUNNING,
                null,
                now,
                request.deadlineUs,
            )
        commit(listOf(Precondition.absent(drainKey)), listOf(Change.Put(drainKey, records.encode(drain))))
        return statusOf(request.name)
    }

    /** All drains, or the one of a [name]. */
    suspend fun status(name: String?): DrainCommandResult = resultOf { statusOf(name) }

    private suspend fun statusOf(name: String?): DrainCommandResult {
        val all = read(DrainRecords.PREFIX)
        val entries = all.filter { it.key.startsWith(DrainRecords.DRAINS) && (name == null || it.key == DrainRecords.DRAINS + name) }
        if (entries.isEmpty() && name != null) throw RejectedCommand("$name: there is no such drain")
        val pages = all.filter { it.key.startsWith(DrainRecords.MACHINES) }
        val state = records.decodeState(pages, all.filter { it.key.startsWith(DrainRecords.INTERRUPTIONS) })
        return DrainCommandResult.Status(entries.map { DrainReport.of(records.decodeDrain(it), state, timeOfDayUs()) })
    }

    /** Pauses, resumes or cancels a drain. */
    suspend fun changeStatus(
        name: String,
        status: DrainStatus,
    ): DrainCommandResult =
        resultOf {
            when (val read = store.get(DrainRecords.DRAINS + name)) {
                is ReadResult.Found -> writeStatus(read.entry, status)
                ReadResult.NotFound -> throw RejectedCommand("$name: there is no such drain")
                ReadResult.Unavailable -> throw StateServiceUnavailable()
            }
        }

    private suspend fun writeStatus(
        entry: Entry,
        status: DrainStatus,
    ): DrainCommandResult {
        val drain = records.decodeDrain(entry)
        val isOver = drain.status == DrainStatus.FINISHED || drain.status == DrainStatus.CANCELLED
        if (isOver && drain.status != status) throw RejectedCommand("${drain.name}: it is ${drain.status.name.lowercase()}")
        if (drain.status != status) {
            val reason = if (status == DrainStatus.RUNNING) null else "by an operator"
            val put = Change.Put(entry.key, records.encode(drain.copy(status = status, reason = reason)))
            commit(listOf(Precondition(entry.key, entry.modRevision)), listOf(put))
        }
        return statusOf(drain.name)
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9-]{1,60}")
    }
}
