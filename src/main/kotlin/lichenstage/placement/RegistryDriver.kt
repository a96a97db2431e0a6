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
internal class RegistryDriver(
    private val settings: Settings,
    private val core: LeaderCore,
    private val writer: LeaderRecordWriter,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val registry = Registry(settings.valueBytes)
    private var writing = false
    private var steppedUs = Long.MIN_VALUE / 2

    val size get() = registry.size

    /** Loads the pages of an earlier leader; returns the machines of this deployment's zones. */
    fun load(pages: List<Entry>): List<RegisteredMachine> {
        val machines = pages.flatMap(registry::load).filter(::recover)
        registry.split()
        return machines
    }

    private fun recover(machine: RegisteredMachine): Boolean {
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
        now: Long,
    ) {
        if (writing || now - steppedUs < if (registry.hasUnwritten) BACKLOG_INTERVAL_US else STEP_INTERVAL_US) return
        // Also where nothing is due: the search looks at every machine, and this runs after every message.
        steppedUs = now
        val leaving = cordoned()
        for ((id, machine) in core.machines.unregistered()) {
            if (machine.name in leaving || machine.name in registry) continue
            registry.add(RegisteredMachine(machine.name, machine.typeName, settings.assignment.zone(id)!!, machine.isSpot, machine.address))
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
        const val STEP_INTERVAL_US = 300_000L
        const val BACKLOG_INTERVAL_US = 60_000L
    }
}
