package lichenstage.placement

import lichenstage.common.JsonDecodingException
import lichenstage.model.MachineRecordCodec
import lichenstage.model.RegisteredMachine
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.UnreadableRecordException

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
) {
    private val maxMachinesPerChunk = (maxValueBytes / MAX_MACHINE_BYTES).coerceIn(1, MAX_MACHINES_PER_CHUNK)
    private val machinesByChunk = HashMap<String, LinkedHashMap<String, RegisteredMachine>>()
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
        val chunk = LinkedHashMap<String, RegisteredMachine>()
        machinesByChunk[entry.key] = chunk
        for (machine in machines) {
            // An interrupted move leaves a machine in two chunks. Only the chunk that is loaded first keeps the machine, because a removal
            // would not delete a second copy.
            if (chunkOfMachine.putIfAbsent(machine.name, entry.key) == null) chunk[machine.name] = machine else unwrittenChunks += entry.key
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
        for ((key, chunk) in machinesByChunk.filterValues { it.size > maxMachinesPerChunk }) {
            val surplusMachines = chunk.values.drop(maxMachinesPerChunk)
            surplusMachines.forEach { chunk.remove(it.name) }
            surplusMachines.forEach(::add)
            chunksWithMovedMachines += key
        }
    }

    /** Whether chunks are due to be written. */
    val hasUnwrittenChunks get() = unwrittenChunks.isNotEmpty() || chunksWithMovedMachines.isNotEmpty()

    /** Adds a machine that is to be recorded. */
    fun add(machine: RegisteredMachine) {
        val key = machinesByChunk.entries.firstOrNull { it.value.size < maxMachinesPerChunk }?.key ?: createChunk()
        machinesByChunk.getValue(key)[machine.name] = machine
        chunkOfMachine[machine.name] = key
        unwrittenChunks += key
    }

    private fun createChunk(): String {
        val key = MachineRecordCodec.PREFIX + generateSequence(0) { it + 1 }.first { MachineRecordCodec.PREFIX + it !in machinesByChunk }
        machinesByChunk[key] = LinkedHashMap()
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
     * Returns up to [maxChunks] chunks that differ from their records. They are no longer due unless [onWriteFailed] is called with them.
     */
    fun takeDueChunks(maxChunks: Int): List<RegistryChunk> {
        val chunksWithoutMoves = unwrittenChunks.filter { it !in chunksWithMovedMachines }.take(maxChunks)
        val keys = chunksWithoutMoves.ifEmpty { (unwrittenChunks + chunksWithMovedMachines).take(maxChunks) }
        unwrittenChunks -= keys.toSet()
        if (chunksWithoutMoves.isEmpty()) chunksWithMovedMachines -= keys.toSet()
        return keys.map { key -> RegistryChunk(key, machinesByChunk.getValue(key).values.toList()) }
    }

    /** Marks chunks that could not be written as due again. */
    fun onWriteFailed(failedChunks: List<RegistryChunk>) {
        unwrittenChunks += failedChunks.map { it.key }
    }

    private companion object {
        /** The maximum size of one encoded machine with names of usual length. */
        const val MAX_MACHINE_BYTES = 120
        const val MAX_MACHINES_PER_CHUNK = 100
    }
}
