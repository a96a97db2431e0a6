package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.placement.LeaderCore
import lichenstage.placement.RecoveredMachine
import java.util.Random

/** The functions of the simulated cluster that a leader's fleet uses. */
internal interface FleetEnvironment {
    fun after(
        delayUs: Long,
        run: () -> Unit,
    )

    /**
     * Runs [apply] as a transaction that requires the leadership. Calls [onReply] with true if it was executed, or with false if it was
     * refused or no reply arrived in time; then it may still have been executed. Does not call [onReply] once the process or the term has
     * ended.
     */
    fun write(
        apply: () -> Unit,
        onReply: (Boolean) -> Unit,
    )

    /** Terminates these machines and all tasks on them. */
    fun terminate(names: Collection<String>)

    fun recoveredMachine(name: String): RecoveredMachine

    /** Returns whether the term of [leader] still lasts. */
    fun isLeading(leader: LeaderCore): Boolean
}

/** The durable list of machines. Like the real registry, it never adds a machine again after its removal. */
internal class SimulatedRegistry {
    private val names = LinkedHashSet<String>()
    private val removed = HashSet<String>()

    fun all(): List<String> = names.toList()

    fun add(machines: Collection<String>) {
        names += machines.filter { it !in removed }
    }

    fun remove(machines: Collection<String>) {
        names -= machines.toSet()
        removed += machines
    }
}

/** A leader's management of the machines: registers new ones, drains some, and terminates silent, lost and drained ones. */
internal class SimulatedFleet(
    private val leader: LeaderCore,
    private val registry: SimulatedRegistry,
    private val environment: FleetEnvironment,
    private val random: Random,
    private val hasOnlyOperatorDrains: Boolean,
) {
    private var isRegistering = false
    private var isTerminating = false
    private val draining = HashSet<String>()

    /** Machines that operators' drains have emptied. */
    private val emptied = HashSet<String>()

    /** Machines that operators' drains have cordoned. */
    var cordoned: Set<String> = emptySet()

    fun step() {
        registerMachines()
        drainMachines()
        terminateDue()
    }

    /** Schedules the termination of a machine that a drain has emptied. */
    fun terminate(machine: String) {
        emptied += machine
    }

    private fun registerMachines() {
        val due =
            leader.machines
                .unregisteredMachines()
                .map { it.machine.name }
                .filter { it !in draining }
        if (isRegistering || due.isEmpty()) return
        isRegistering = true
        environment.write({ registry.add(due) }) { isWritten ->
            isRegistering = false
            if (isWritten) leader.onMachinesRegistered(due.associateWith { environment.recoveredMachine(it).partition })
        }
    }

    private fun drainMachines() {
        if (!hasOnlyOperatorDrains && random.nextInt(DRAIN_ONE_IN) == 0) {
            registry.all().takeIf { it.isNotEmpty() }?.let { draining += it[random.nextInt(it.size)] }
        }
        leader.machines.setCordoned(draining + cordoned)
    }

    private fun terminateDue() {
        if (isTerminating) return
        val views = leader.partitions.values.flatMap { it.machines.values }
        val silent = views.filter { it.isSilent }.map { it.name }
        val lost = views.filter { it.isLost }.map { it.name }
        val empty = draining.filter { leader.machines.attemptsOn(it).isEmpty() }
        val due =
            (
                lost + empty + emptied + leader.machinesToFence() +
                    if (silent.size <=
                        MAX_SILENT_TERMINATED
                    ) {
                        silent
                    } else {
                        emptyList()
                    }
            ).distinct()
        if (due.isEmpty()) return
        isTerminating = true
        var hasReplied = false
        environment.after(MILLI * (50 + random.nextInt(600))) {
            environment.terminate(due)
            if (random.nextInt(5) > 0) {
                environment.after(MILLI * (20 + random.nextInt(300))) {
                    hasReplied = true
                    onMachinesTerminated(due)
                }
            }
        }
        environment.after(4 * SECOND) { if (!hasReplied) isTerminating = false }
    }

    private fun onMachinesTerminated(names: List<String>) {
        isTerminating = false
        if (!environment.isLeading(leader)) return
        names.forEach(leader::onMachineTerminated)
        draining -= names.toSet()
        emptied -= names.toSet()
        environment.write({ registry.remove(names) }) { }
    }

    private companion object {
        const val DRAIN_ONE_IN = 60
        const val MAX_SILENT_TERMINATED = 2
    }
}
