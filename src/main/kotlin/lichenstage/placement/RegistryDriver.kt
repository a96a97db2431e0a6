package lichenstage.placement

import lichenstage.config.Settings
import lichenstage.model.RegisteredMachine
import lichenstage.state.Entry
import org.slf4j.LoggerFactory

/**
 * Keeps the durable registry in step with the machines.
 *
 * Machines get tasks only once the state service holds their names (invariant 4), and are recorded only once they have
 * shown the token: a leader that comes after need not wait for one that never came up, and a late copy of a report of one
 * that is gone does not bring it back.
 */
internal class RegistryDriver(
    private val settings: Settings,
    private val core: LeaderCore,
    private val writer: LeaderRecordWriter,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val registry = Registry(settings.valueBytes)
    private var writing = false
    private var lookedUs = Long.MIN_VALUE / 2

    val size get() = registry.size

    /** Takes over the pages of an earlier leader; returns the machines of this deployment's zones. */
    fun load(pages: List<Entry>): List<RegisteredMachine> {
        val machines = pages.flatMap(registry::load).filter(::recover)
        registry.split()
        return machines
    }

    private fun recover(machine: RegisteredMachine): Boolean {
        val partition = settings.assignment.partitionOf(machine.name, machine.zone)
        if (partition == null) {
            log.error("machine {} is recorded in {}, which is no zone of this deployment", machine.name, machine.zone)
            return false
        }
        core.addRecoveredMachines(listOf(RecoveredMachine(machine.name, partition, machine.typeName, machine.address)))
        return true
    }

    fun step(
        cordoned: () -> Set<String>,
        now: Long,
    ) {
        if (writing || now - lookedUs < if (registry.hasUnwritten) BEHIND_US else LOOK_US) return
        // Also where nothing is due: the search looks at every machine, and this is asked after every message.
        lookedUs = now
        val leaving = cordoned()
        for ((id, machine) in core.machines.unregistered()) {
            if (machine.name in leaving || machine.name in registry) continue
            registry.add(RegisteredMachine(machine.name, machine.typeName, settings.assignment.zone(id)!!, machine.spot, machine.address))
        }
        val pages = registry.takeDuePages(settings.txnOps)
        if (pages.isEmpty()) return
        writing = true
        writer.writePages(pages)
    }

    fun written(message: LeaderMessage.RegistryPagesWritten) {
        writing = false
        if (!message.ok) return registry.writeFailed(message.pages)
        val added = message.pages.flatMap { it.machines }.filter { !core.machines.isRegistered(it.name) }
        core.machinesRegistered(added.associate { it.name to settings.assignment.partitionOf(it.name, it.zone)!! })
    }

    fun removed(machines: List<String>) = registry.remove(machines)

    private companion object {
        const val LOOK_US = 300_000L
        const val BEHIND_US = 60_000L
    }
}
