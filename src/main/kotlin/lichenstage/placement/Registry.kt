package lichenstage.placement

import lichenstage.common.JsonDecodingException
import lichenstage.model.MachineRecordCodec
import lichenstage.model.RegisteredMachine
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.UnreadableRecordException

/** One key of the registry as it is to be written; without machines it is deleted. */
data class RegistryPage(
    val key: String,
    val machines: List<RegisteredMachine>,
) {
    val change get() = if (machines.isEmpty()) Change.Delete(key) else Change.Put(key, MachineRecordCodec.encode(machines))
}

/**
 * The durable list of machines, several to a key: hundreds come and go within seconds, and the key-value store accepts few changes
 * in a second. Only the leader writes it, under its own guard.
 */
class Registry(
    valueBytes: Int,
) {
    private val perPage = (valueBytes / MAX_MACHINE_BYTES).coerceIn(1, MAX_MACHINES_PER_PAGE)
    private val pages = HashMap<String, LinkedHashMap<String, RegisteredMachine>>()
    private val pageOf = HashMap<String, String>()
    private val dirty = LinkedHashSet<String>()

    /** Pages of which machines have moved to others: written only after those, so that each is in the record all the time. */
    private val shrunk = LinkedHashSet<String>()

    val size get() = pageOf.size

    /** The machine is recorded, or due to be. */
    operator fun contains(name: String) = pageOf.containsKey(name)

    /** Loads a page that an earlier leader wrote; throws [UnreadableRecordException]. */
    fun load(entry: Entry): List<RegisteredMachine> {
        val machines = decode(entry)
        val page = LinkedHashMap<String, RegisteredMachine>()
        pages[entry.key] = page
        for (machine in machines) {
            // One that a move has left on two pages stays on the first, or what is left on the other would outlive it.
            if (pageOf.putIfAbsent(machine.name, entry.key) == null) page[machine.name] = machine else dirty += entry.key
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
     * To be called once all is loaded: pages that were written under a larger limit are split. What is on them stays readable, but could
     * not be written again. An earlier version reads the pages as well as the one that they were.
     */
    fun split() {
        for ((key, page) in pages.filterValues { it.size > perPage }) {
            val surplus = page.values.drop(perPage)
            surplus.forEach { page.remove(it.name) }
            surplus.forEach(::add)
            shrunk += key
        }
    }

    /** Pages are due to be written. */
    val hasUnwritten get() = dirty.isNotEmpty() || shrunk.isNotEmpty()

    /** A machine is to be recorded. */
    fun add(machine: RegisteredMachine) {
        val key = pages.entries.firstOrNull { it.value.size < perPage }?.key ?: fresh()
        pages.getValue(key)[machine.name] = machine
        pageOf[machine.name] = key
        dirty += key
    }

    private fun fresh(): String {
        val key = MachineRecordCodec.PREFIX + generateSequence(0) { it + 1 }.first { MachineRecordCodec.PREFIX + it !in pages }
        pages[key] = LinkedHashMap()
        return key
    }

    /** Removes machines that are proven to be terminated. */
    fun remove(names: Collection<String>) {
        for (name in names) {
            val key = pageOf.remove(name) ?: continue
            pages.getValue(key).remove(name)
            dirty += key
        }
    }

    /** Up to [maxPages] pages that differ from their records. They count as written unless [writeFailed] is called with them. */
    fun takeDuePages(maxPages: Int): List<RegistryPage> {
        val first = dirty.filter { it !in shrunk }.take(maxPages)
        val keys = first.ifEmpty { (dirty + shrunk).take(maxPages) }
        dirty -= keys.toSet()
        if (first.isEmpty()) shrunk -= keys.toSet()
        return keys.map { key -> RegistryPage(key, pages.getValue(key).values.toList()) }
    }

    /** These pages could not be written: they stay due. */
    fun writeFailed(written: List<RegistryPage>) {
        dirty += written.map { it.key }
    }

    private companion object {
        /** The size of one machine in a value at most, with names of usual length. */
        const val MAX_MACHINE_BYTES = 120
        const val MAX_MACHINES_PER_PAGE = 100
    }
}
