package lichenstage.placement

import lichenstage.config.Settings
import lichenstage.model.RegisteredMachine
import lichenstage.state.Entry
import lichenstage.state.TransactionLimits
import lichenstage.state.WriteOutcome
import org.slf4j.LoggerFactory

/**
 * The driver that keeps the durable machine registry up to date with the machines.
 *
 * A machine gets tasks only after it is recorded (invariant 4), and it is recorded only after it has confirmed the fencing token.
 * Therefore a later leader does not wait for a machine that never came up, and a late copy of a heartbeat does not bring back a
 * terminated machine.
 */
internal class DurableMachineRegistryDriver(
    private val settings: Settings,
    private val core: LeaderCore,
    private val recordWriter: LeaderRecordWriter,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val registry = DurableMachineRegistry(settings.maxValueBytes, TransactionLimits(settings.maxTransactionOperations))
    private var isWriteInFlight = false
    private var lastStepAtUs = Long.MIN_VALUE / 2

    val size get() = registry.size

    /** Loads the chunks of an earlier leader. Returns the machines in the zones of this deployment. */
    fun load(chunks: List<Entry>): List<RegisteredMachine> {
        val machines = chunks.flatMap(registry::load).filter(::addRecoveredMachine)
        registry.splitOversizedChunks()
        return machines
    }

    private fun addRecoveredMachine(machine: RegisteredMachine): Boolean {
        val partition = settings.assignment.partitionOf(machine.name, machine.zone)
        if (partition == null) {
            log.error("Recorded machine ignored, zone not in this deployment machine={} zone={}", machine.name, machine.zone)
            return false
        }
        core.addRecoveredMachines(listOf(RecoveredMachine(machine.name, partition, machine.typeName, machine.address)))
        return true
    }

    /** Adds new machines to the registry, except the [cordoned] ones, and writes due chunks. Limited to one run per interval. */
    fun step(
        cordoned: () -> Set<String>,
        nowUs: Long,
    ) {
        if (isWriteInFlight || nowUs - lastStepAtUs < if (registry.hasUnwrittenChunks) BACKLOG_INTERVAL_US else STEP_INTERVAL_US) return
        // The time is set even if nothing is due, because this runs after every message and the search visits every machine.
        lastStepAtUs = nowUs
        val cordonedMachines = cordoned()
        for ((partition, machine) in core.machines.unregisteredMachines()) {
            if (machine.name in cordonedMachines || machine.name in registry) continue
            registry.add(
                RegisteredMachine(machine.name, machine.typeName, settings.assignment.zoneOf(partition)!!, machine.isSpot, machine.address),
            )
        }
        val chunks = registry.takeDueChunks()
        if (chunks.isEmpty()) return
        isWriteInFlight = true
        recordWriter.writeRegistryChunks(chunks)
    }

    /** Handles the outcome of a write. If it is committed, the machines in the chunks count as registered. */
    fun onChunksWritten(message: LeaderMessage.RegistryChunksWritten) {
        isWriteInFlight = false
        log.debug(
            "Registry write ended outcome={} chunks={} machines={} registered={}",
            message.outcome,
            message.chunks.size,
            message.chunks.sumOf { it.machines.size },
            core.machines.registeredCount,
        )
        registry.onWritten(message.chunks, message.outcome)
        if (message.outcome != WriteOutcome.COMMITTED) return
        val addedMachines = message.chunks.flatMap { it.machines }.filter { !core.machines.isRegistered(it.name) }
        core.onMachinesRegistered(addedMachines.associate { it.name to settings.assignment.partitionOf(it.name, it.zone)!! })
    }

    fun onMachinesRemoved(machines: List<String>) = registry.remove(machines)

    private companion object {
        const val STEP_INTERVAL_US = 300_000L
        const val BACKLOG_INTERVAL_US = 60_000L
    }
}
