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
import lichenstage.state.TransactionLimits
import lichenstage.state.TransactionResult
import lichenstage.state.UnreadableRecordException

/**
 * The operators' commands for drains. A command reads records, and writes records on the precondition that they have not changed since the
 * read. It sends nothing to a controller, so it works whichever controllers are running.
 */
class DrainOperations(
    private val store: KeyValueStore,
    private val scan: suspend (String) -> ScanResult,
    private val codec: DrainRecordCodec,
    private val settings: Settings,
    private val timeOfDayUs: () -> Long,
) {
    /**
     * Records a new drain, or returns its machines for a dry run. If a drain with this name and the same options already exists, returns
     * its status.
     */
    suspend fun start(request: DrainRequest): DrainCommandResult =
        toCommandResult {
            if (!NAME.matches(request.name)) throw RejectedCommand("NAME: must be 1-60 letters, digits or dashes, was \"${request.name}\"")
            if (request.maxConcurrent < 1) throw RejectedCommand("--at-most: must be at least 1, was ${request.maxConcurrent}")
            when (val existing = store.get(DrainRecordCodec.DRAIN_PREFIX + request.name)) {
                is ReadResult.Found -> repeatStart(request, existing.entry)
                ReadResult.NotFound -> startNew(request)
                ReadResult.Unavailable -> throw StateServiceUnavailable()
            }
        }

    private suspend fun startNew(request: DrainRequest): DrainCommandResult {
        val machines = scanEntries(MachineRecordCodec.PREFIX).flatMap { MachineRecordCodec.decode(it.value) }
        val boundZones = scanEntries(JobRecordCodec.OPEN_PREFIX).mapNotNullTo(HashSet()) { JobRecordCodec.decode(it.value).zone }
        findRejectionReason(request, machines, boundZones)?.let { throw RejectedCommand(it) }
        val selected = machines.filter { it in request.selection }.sortedBy { it.name }
        return if (request.isDryRun) DrainCommandResult.DryRun(request, selected) else recordDrain(request, selected)
    }

    private suspend fun repeatStart(
        request: DrainRequest,
        entry: Entry,
    ): DrainCommandResult {
        val existing = codec.decodeDrain(entry)
        if (existing.shouldReplace != request.shouldReplace || existing.maxConcurrent != request.maxConcurrent) {
            throw RejectedCommand("drain \"${request.name}\" already exists with different options")
        }
        return readStatus(request.name)
    }

    /** The command is invalid or conflicts with the recorded drains. */
    private class RejectedCommand(
        reason: String,
    ) : Exception(reason)

    /** The state service is unavailable, or a record has changed since it was read. */
    private class StateServiceUnavailable : Exception()

    private suspend fun toCommandResult(operation: suspend () -> DrainCommandResult): DrainCommandResult =
        try {
            operation()
        } catch (e: RejectedCommand) {
            DrainCommandResult.Rejected("${e.message}")
        } catch (e: UnreadableRecordException) {
            DrainCommandResult.Rejected("${e.message}")
        } catch (_: StateServiceUnavailable) {
            DrainCommandResult.Unavailable
        }

    private suspend fun scanEntries(prefix: String): List<Entry> =
        (scan(prefix) as? ScanResult.Complete)?.entries ?: throw StateServiceUnavailable()

    private suspend fun commit(
        preconditions: List<Precondition>,
        changes: List<Change>,
    ) {
        if (store.commit(preconditions, changes) !is TransactionResult.Committed) throw StateServiceUnavailable()
    }

    private fun findRejectionReason(
        request: DrainRequest,
        machines: List<RegisteredMachine>,
        boundZones: Set<String>,
    ): String? {
        val selection = request.selection
        val unknownMachine = selection.names.firstOrNull { name -> machines.none { it.name == name } }
        val typeName = selection.typeName
        val selectedZones = machines.filter { it in selection }.map { it.zone }.distinct()
        val emptiedZone = selectedZones.firstOrNull { zone -> zone in boundZones && machines.none { it.zone == zone && it !in selection } }
        return when {
            unknownMachine != null -> "--machine: must be a registered machine, was \"$unknownMachine\""
            selection.zone != null && selection.zone !in settings.zones -> "--zone: must be a configured zone, was \"${selection.zone}\""
            typeName != null && machines.none { it.typeName == typeName } -> "--type: must have a registered machine, was \"$typeName\""
            selectedZones.isEmpty() -> "no registered machine matches the selection"
            emptiedZone == null || request.shouldReplace -> null
            else -> "--replace: must be given, jobs are bound to zone \"$emptiedZone\", which would be empty"
        }
    }

    /** Records the machines first and the drain last, because the drain exists as soon as its own record is written. */
    private suspend fun recordDrain(
        request: DrainRequest,
        machines: List<RegisteredMachine>,
    ): DrainCommandResult {
        val nowUs = timeOfDayUs()
        val drainedMachines = machines.map { DrainedMachine(it.name, request.name, Stage.WAITING, nowUs) }
        val pages = codec.encodeMachines(request.name, drainedMachines)
        val revisions = scanEntries("${DrainRecordCodec.MACHINE_PREFIX}${request.name}/").associate { it.key to it.modRevision }
        val changes = pages.map { Change.Put(it.key, it.value) } + (revisions.keys - pages.keys).map { Change.Delete(it) }
        val drainKey = DrainRecordCodec.DRAIN_PREFIX + request.name
        for (batch in TransactionLimits(settings.maxTransactionOperations).split(changes)) {
            val preconditions = batch.map { Precondition(it.key, revisions[it.key] ?: Precondition.ABSENT) } + Precondition.absent(drainKey)
            commit(preconditions, batch)
        }
        val drain =
            Drain(
                request.name,
                request.shouldReplace,
                request.maxConcurrent,
                DrainStatus.RUNNING,
                null,
                nowUs,
                request.deadlineAtUs,
            )
        commit(listOf(Precondition.absent(drainKey)), listOf(Change.Put(drainKey, codec.encode(drain))))
        return readStatus(request.name)
    }

    /** Returns the status of the drain called [name], or of all drains if [name] is null. */
    suspend fun status(name: String?): DrainCommandResult = toCommandResult { readStatus(name) }

    private suspend fun readStatus(name: String?): DrainCommandResult {
        val allEntries = scanEntries(DrainRecordCodec.PREFIX)
        val entries =
            allEntries.filter {
                it.key.startsWith(DrainRecordCodec.DRAIN_PREFIX) &&
                    (name == null || it.key == DrainRecordCodec.DRAIN_PREFIX + name)
            }
        if (entries.isEmpty() && name != null) throw RejectedCommand("drain \"$name\" does not exist")
        val pages = allEntries.filter { it.key.startsWith(DrainRecordCodec.MACHINE_PREFIX) }
        val state = codec.decodeState(pages, allEntries.filter { it.key.startsWith(DrainRecordCodec.INTERRUPTION_PREFIX) })
        return DrainCommandResult.Status(entries.map { DrainReport.create(codec.decodeDrain(it), state, timeOfDayUs()) })
    }

    /** Pauses, resumes or cancels the drain called [name] by setting its status. */
    suspend fun changeStatus(
        name: String,
        status: DrainStatus,
    ): DrainCommandResult =
        toCommandResult {
            when (val result = store.get(DrainRecordCodec.DRAIN_PREFIX + name)) {
                is ReadResult.Found -> writeStatus(result.entry, status)
                ReadResult.NotFound -> throw RejectedCommand("drain \"$name\" does not exist")
                ReadResult.Unavailable -> throw StateServiceUnavailable()
            }
        }

    private suspend fun writeStatus(
        entry: Entry,
        status: DrainStatus,
    ): DrainCommandResult {
        val drain = codec.decodeDrain(entry)
        val isOver = drain.status == DrainStatus.FINISHED || drain.status == DrainStatus.CANCELLED
        if (isOver && drain.status != status) throw RejectedCommand("drain \"${drain.name}\" is already ${drain.status.name.lowercase()}")
        if (drain.status != status) {
            val reason = if (status == DrainStatus.RUNNING) null else "by an operator"
            val put = Change.Put(entry.key, codec.encode(drain.copy(status = status, reason = reason)))
            commit(listOf(Precondition(entry.key, entry.modRevision)), listOf(put))
        }
        return readStatus(drain.name)
    }

    private companion object {
        val NAME = Regex("[A-Za-z0-9-]{1,60}")
    }
}
