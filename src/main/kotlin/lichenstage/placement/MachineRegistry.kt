package lichenstage.placement

import lichenstage.common.JsonDecodingException
import lichenstage.model.MachineRecordCodec
import lichenstage.model.RegisteredMachine
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.UnreadableRecordException

/** One key of the registry as it is to be written; without machines it is deleted. */
data class RegistryChunk(
    val key: String,
    val machines: List<RegisteredMachine>,
) {
    val change get() = if (machines.isEmpty()) Change.Delete(key) else Change.Put(key, MachineRecordCodec.encode(machines))
}

/**
 * The durable list of machines, several to a key: hundreds come and go within seconds, and the key-value store accepts few changes
 * in a second. Only the leader writes it, under its own guard.
 */
class MachineRegistry(
    valueBytes: Int,
) {
    private val maxMachinesPerChunk = (valueBytes / MAX_MACHINE_BYTES).coerceIn(1, MAX_MACHINES_PER_CHUNK)
    private val machinesByChunk = HashMap<String, LinkedHashMap<String, RegisteredMachine>>()
    private val chunkOfMachine = HashMap<String, String>()
    private val unwrittenChunks = LinkedHashSet<String>()

    /** Pages of which machines have moved to others: written only after those, so that each is in the record all the time. */
    private val chunksWithMovedMachines = LinkedHashSet<String>()

    val size get() = chunkOfMachine.size

    /** The machine is recorded, or due to be. */
    operator fun contains(name: String) = chunkOfMachine.containsKey(name)

    /** Loads a chunk that an earlier leader wrote; throws [UnreadableRecordException]. */
    fun load(entry: Entry): List<RegisteredMachine> {
        val machines = decode(entry)
        val chunk = LinkedHashMap<String, RegisteredMachine>()
        machinesByChunk[entry.key] = chunk
        for (machine in machines) {
            // A move that was interrupted leaves a machine in two chunks. It stays only in the first one that is loaded: the copy in the
            // other chunk would remain there after the machine is removed.
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
     * To be called once all is loaded: chunks that were written under a larger limit are split. What is on them stays readable, but could
     * not be written again. An earlier version reads the chunks as well as the one that they were.
     */
    fun splitOversizedChunks() {
        for ((key, chunk) in machinesByChunk.filterValues { it.size > maxMachinesPerChunk }) {
            val surplusMachines = chunk.values.drop(maxMachinesPerChunk)
            surplusMachines.forEach { chunk.remove(it.name) }
            surplusMachines.forEach(::add)
            chunksWithMovedMachines += key
        }
    }

    /** Pages are due to be written. */
    val hasUnwritten get() = unwrittenChunks.isNotEmpty() || chunksWithMovedMachines.isNotEmpty()

    /** A machine is to be recorded. */
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

    /** Up to [maxChunks] chunks that differ from their records. They count as written unless [onWriteFailed] is called with them. */
    fun takeDueChunks(maxChunks: Int): List<RegistryChunk> {
        val chunksWithoutMoves = unwrittenChunks.filter { it !in chunksWithMovedMachines }.take(maxChunks)
        val keys = chunksWithoutMoves.ifEmpty { (unwrittenChunks + chunksWithMovedMachines).take(maxChunks) }
        unwrittenChunks -= keys.toSet()
        if (chunksWithoutMoves.isEmpty()) chunksWithMovedMachines -= keys.toSet()
        return keys.map { key -> RegistryChunk(key, machinesByChunk.getValue(key).values.toList()) }
    }

    /** These chunks could not be written: they stay due. */
    fun onWriteFailed(failedChunks: List<RegistryChunk>) {
        unwrittenChunks += failedChunks.map { it.key }
    }

    private companion object {
        /** The size of one machine in a value at most, with names of usual length. */
        const val MAX_MACHINE_BYTES = 120
        const val MAX_MACHINES_PER_CHUNK = 100
    }
}
