package lichenstage.placement

import lichenstage.common.JsonDecodingException
import lichenstage.model.MachineRecordCodec
import lichenstage.model.RegisteredMachine
import lichenstage.state.BatchSize
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.TransactionLimits
import lichenstage.state.UnreadableRecordException
import lichenstage.state.WriteOutcome

/** One registry chunk to write, stored under one key. A chunk without machines is deleted. */
data class RegistryChunk(
    val key: String,
    val machines: List<RegisteredMachine>,
) {
    val change get() = if (machines.isEmpty()) Change.Delete(key) else Change.Put(key, MachineRecordCodec.encode(machines))
}

/**
 * The durable list of machines, stored in chunks. A chunk holds several machines under one key, because hundreds of machines come and go
 * within seconds and the key-value store accepts only a few changes per second. Only the leader writes the registry, with its leadership
 * as a precondition.
 */
class DurableMachineRegistry(
    maxValueBytes: Int,
    private val limits: TransactionLimits,
) {
    private val maxMachinesPerChunk = (maxValueBytes / MAX_MACHINE_BYTES).coerceIn(1, MAX_MACHINES_PER_CHUNK)
    private val maxChunkBytes = minOf(maxValueBytes, limits.maxValueBytes)
    private val batchSize = BatchSize(limits.maxChanges)
    private val machinesByChunk = HashMap<String, MachineChunk>()
    private val chunkOfMachine = HashMap<String, String>()
    private val unwrittenChunks = LinkedHashSet<String>()

    /**
     * Chunks from which machines have moved to other chunks. They are written after all other chunks, so that each machine is recorded at
     * all times.
     */
    private val chunksWithMovedMachines = LinkedHashSet<String>()

    val size get() = chunkOfMachine.size

    /** Returns whether the machine is recorded or due to be recorded. */
    operator fun contains(name: String) = chunkOfMachine.containsKey(name)

    /** Loads a chunk that an earlier leader wrote. Throws [UnreadableRecordException] if the chunk cannot be decoded. */
    fun load(entry: Entry): List<RegisteredMachine> {
        val machines = decode(entry)
        val chunk = MachineChunk()
        machinesByChunk[entry.key] = chunk
        for (machine in machines) {
            // An interrupted move leaves a machine in two chunks. Only the chunk that is loaded first keeps the machine, because a removal
            // would not delete a second copy.
            if (chunkOfMachine.putIfAbsent(machine.name, entry.key) == null) chunk.add(machine) else unwrittenChunks += entry.key
        }
        return machines
    }

    private fun decode(entry: Entry) =
        try {
            MachineRecordCodec.decode(entry.value)
        } catch (e: JsonDecodingException) {
            throw UnreadableRecordException(entry.key, e)
        }

    /**
     * Splits the chunks that were written under a larger size limit, because they are too large to be written again. Must be called after
     * all chunks are loaded. Earlier versions of the service can read the resulting chunks.
     */
    fun splitOversizedChunks() {
        for ((key, chunk) in machinesByChunk.filterValues { it.exceeds(maxMachinesPerChunk, maxChunkBytes) }) {
            moveMachines(key, chunk.removeSurplus(maxMachinesPerChunk, maxChunkBytes))
        }
    }

    /** Adds [machines], which were removed from the chunk [key], to other chunks. */
    private fun moveMachines(
        key: String,
        machines: List<RegisteredMachine>,
    ) {
        machines.forEach(::add)
        chunksWithMovedMachines += key
    }

    /** Whether chunks are due to be written. */
    val hasUnwrittenChunks get() = unwrittenChunks.isNotEmpty() || chunksWithMovedMachines.isNotEmpty()

    /** Adds a machine that is to be recorded. */
    fun add(machine: RegisteredMachine) {
        val key = machinesByChunk.entries.firstOrNull { it.value.hasRoomFor(machine) }?.key ?: createChunk()
        machinesByChunk.getValue(key).add(machine)
        chunkOfMachine[machine.name] = key
        unwrittenChunks += key
    }

    private fun MachineChunk.hasRoomFor(machine: RegisteredMachine) =
        size < minOf(maxMachinesPerChunk, maxMachines) && bytes + MachineRecordCodec.encodedBytes(machine) <= maxChunkBytes

    private fun createChunk(): String {
        val key = MachineRecordCodec.PREFIX + generateSequence(0) { it + 1 }.first { MachineRecordCodec.PREFIX + it !in machinesByChunk }
        machinesByChunk[key] = MachineChunk()
        return key
    }

    /** Removes machines that are proven to be terminated. */
    fun remove(names: Collection<String>) {
        for (name in names) {
            val key = chunkOfMachine.remove(name) ?: continue
            machinesByChunk.getValue(key).remove(name)
            unwrittenChunks += key
        }
    }

    /**
     * Returns chunks that differ from their records and that fit into one transaction. They are no longer due unless [onWritten] says that
     * they are not committed.
     */
    fun takeDueChunks(): List<RegistryChunk> {
        val keysWithoutMoves = unwrittenChunks.filter { it !in chunksWithMovedMachines }
        val dueKeys = keysWithoutMoves.ifEmpty { unwrittenChunks + chunksWithMovedMachines }
        val chunks = dueKeys.asSequence().take(batchSize.current).map { RegistryChunk(it, machinesByChunk.getValue(it).machines) }
        val taken = limits.takeFitting(chunks.asIterable()) { it.change }
        val takenKeys = taken.mapTo(HashSet()) { it.key }
        unwrittenChunks -= takenKeys
        if (keysWithoutMoves.isEmpty()) chunksWithMovedMachines -= takenKeys
        return taken
    }

    /** Handles the outcome of writing [chunks]. Chunks that are not committed are due again, after the chunks that are due already. */
    fun onWritten(
        chunks: List<RegistryChunk>,
        outcome: WriteOutcome,
    ) {
        batchSize.onWritten(outcome)
        when {
            outcome == WriteOutcome.COMMITTED -> Unit
            outcome == WriteOutcome.INVALID && chunks.size == 1 -> onChunkRefused(chunks.single().key)
            else -> unwrittenChunks += chunks.map { it.key }
        }
    }

    /**
     * Handles a chunk that the state service has refused although it was alone in its transaction. Half of its machines move to other
     * chunks. A chunk that has only one machine left is not due again before it changes, since the same record would be refused again.
     */
    private fun onChunkRefused(key: String) {
        val chunk = machinesByChunk.getValue(key)
        if (chunk.size > 1) moveMachines(key, chunk.removeHalf())
    }

    private companion object {
        /** The maximum size of one encoded machine with names of usual length. */
        const val MAX_MACHINE_BYTES = 120
        const val MAX_MACHINES_PER_CHUNK = 100
    }
}
