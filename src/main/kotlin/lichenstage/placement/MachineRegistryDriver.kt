package lichenstage.placement

import lichenstage.config.Settings
import lichenstage.model.RegisteredMachine
import lichenstage.state.Entry
import org.slf4j.LoggerFactory

/**
 * Keeps the durable registry up to date with the machines.
 *
 * Machines get tasks only once they have a record (invariant 4), and are recorded only once they have shown the fencing token: a
 * later leader need not wait for one that never came up, and a late copy of a heartbeat does not bring back one that was terminated.
 */
internal class MachineRegistryDriver(
    private val settings: Settings,
    private val core: LeaderCore,
    private val writer: LeaderRecordWriter,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val registry = MachineRegistry(settings.valueBytes)
    private var isWriteInFlight = false
    private var lastStepAtUs = Long.MIN_VALUE / 2

    val size get() = registry.size

    /** Loads the pages of an earlier leader; returns the machines of this deployment's zones. */
    fun load(chunks: List<Entry>): List<RegisteredMachine> {
        val machines = chunks.flatMap(registry::load).filter(::addRecoveredMachine)
        registry.splitOversizedChunks()
        return machines
    }

    private fun addRecoveredMachine(machine: RegisteredMachine): Boolean {
        val partition = settings.assignment.partitionOf(machine.name, machine.zone)
        if (partition == null) {
            log.error("Recorded machine ignored, its zone is not in this deployment machine={} zone={}", machine.name, machine.zone)
            return false
        }
        core.addRecoveredMachines(listOf(RecoveredMachine(machine.name, partition, machine.typeName, machine.address)))
        return true
    }

    fun step(
        cordoned: () -> Set<String>,
        nowUs: Long,
    ) {
        if (isWriteInFlight || nowUs - lastStepAtUs < if (registry.hasUnwritten) BACKLOG_INTERVAL_US else STEP_INTERVAL_US) return
        // Also where nothing is due: the search looks at every machine, and this runs after every message.
        lastStepAtUs = nowUs
        val cordonedMachines = cordoned()
        for ((id, machine) in core.machines.unregisteredMachines()) {
            if (machine.name in cordonedMachines || machine.name in registry) continue
            registry.add(RegisteredMachine(machine.name, machine.typeName, settings.assignment.zone(id)!!, machine.isSpot, machine.address))
        }
        val chunks = registry.takeDueChunks(settings.txnOps)
        if (chunks.isEmpty()) return
        isWriteInFlight = true
        writer.writePages(chunks)
    }

    fun onChunksWritten(message: LeaderMessage.RegistryPagesWritten) {
        isWriteInFlight = false
        if (!message.ok) return registry.onWriteFailed(message.pages)
        val addedMachines = message.pages.flatMap { it.machines }.filter { !core.machines.isRegistered(it.name) }
        core.onMachinesRegistered(addedMachines.associate { it.name to settings.assignment.partitionOf(it.name, it.zone)!! })
    }

    fun onMachinesRemoved(machines: List<String>) = registry.remove(machines)

    private companion object {
        const val STEP_INTERVAL_US = 300_000L
        const val BACKLOG_INTERVAL_US = 60_000L
    }
}
