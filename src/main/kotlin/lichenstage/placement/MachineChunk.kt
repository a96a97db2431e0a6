package lichenstage.placement

import lichenstage.model.MachineRecordCodec
import lichenstage.model.RegisteredMachine

/** The machines of one registry chunk, and the size of its record. */
internal class MachineChunk {
    private val machinesByName = LinkedHashMap<String, RegisteredMachine>()

    /** The size of the encoded record, in bytes. */
    var bytes = MachineRecordCodec.EMPTY_CHUNK_BYTES
        private set

    /** The number of machines that the chunk may have. It is lowered when the state service has refused the record. */
    var maxMachines = Int.MAX_VALUE
        private set

    val size get() = machinesByName.size

    val machines: List<RegisteredMachine> get() = machinesByName.values.toList()

    /** Adds a machine that is not in the chunk. */
    fun add(machine: RegisteredMachine) {
        machinesByName[machine.name] = machine
        bytes += MachineRecordCodec.encodedBytes(machine)
    }

    /** Removes the machine with this name if it is in the chunk. */
    fun remove(name: String) {
        val machine = machinesByName.remove(name) ?: return
        bytes -= MachineRecordCodec.encodedBytes(machine)
    }

    /** Returns whether the chunk has more than [maxMachines] machines, or its record more than [maxBytes] bytes. */
    fun exceeds(
        maxMachines: Int,
        maxBytes: Int,
    ) = size > maxMachines || (bytes > maxBytes && size > 1)

    /** Removes the last machines until the chunk is within the limits. Returns them. */
    fun removeSurplus(
        maxMachines: Int,
        maxBytes: Int,
    ): List<RegisteredMachine> {
        val surplus = ArrayList<RegisteredMachine>()
        while (exceeds(maxMachines, maxBytes)) surplus += removeLast()
        return surplus
    }

    /** Removes half of the machines, and allows no more than are left from now on. Returns the removed machines. */
    fun removeHalf(): List<RegisteredMachine> {
        maxMachines = size / 2
        return List(size - maxMachines) { removeLast() }
    }

    private fun removeLast(): RegisteredMachine {
        val last = machinesByName.values.last()
        remove(last.name)
        return last
    }
}
