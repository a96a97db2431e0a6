package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.placement.LeaderCore
import lichenstage.placement.RecoveredMachine
import java.util.Random

/** What a leader's fleet needs of the simulated cluster. */
internal interface FleetSite {
    fun at(
        delayUs: Long,
        run: () -> Unit,
    )

    /** A transaction under the leader's guard; its answer may be late, or not come. */
    fun write(
        apply: () -> Unit,
        answered: (Boolean) -> Unit,
    )

    /** The cloud takes these machines, with all that is on them. */
    fun take(names: Collection<String>)

    fun inheritedMachine(name: String): RecoveredMachine

    /** True while the term of the leader goes on. */
    fun leads(leader: LeaderCore): Boolean
}

/** The durable list of machines. Like the real one, it never takes back a machine that was taken off it. */
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

/** One leader's part in what machines there are: it records new ones, gives back silent, lost and drained ones, and drains some. */
internal class SimulatedFleet(
    private val leader: LeaderCore,
    private val registry: SimulatedRegistry,
    private val site: FleetSite,
    private val random: Random,
    private val keepsMachines: Boolean,
) {
    private var registering = false
    private var returning = false
    private val draining = HashSet<String>()

    /** Machines that drains have emptied. */
    private val wanted = HashSet<String>()

    /** Cordoned by drains. */
    var cordoned: Set<String> = emptySet()

    fun step() {
        register()
        drain()
        giveBack()
    }

    fun giveBack(machine: String) {
        wanted += machine
    }

    private fun register() {
        val due = leader.unregisteredMachines().map { it.machine.name }.filter { it !in draining }
        if (registering || due.isEmpty()) return
        registering = true
        site.write({ registry.add(due) }) { ok ->
            registering = false
            if (ok) leader.machinesRegistered(due.associateWith { site.inheritedMachine(it).partition })
        }
    }

    private fun drain() {
        if (!keepsMachines && random.nextInt(DRAIN_ONE_IN) == 0) {
            registry.all().takeIf { it.isNotEmpty() }?.let { draining += it[random.nextInt(it.size)] }
        }
        leader.setCordoned(draining + cordoned)
    }

    private fun giveBack() {
        if (returning) return
        val views = leader.partitions.values.flatMap { it.machines.values }
        val silent = views.filter { it.silent }.map { it.name }
        val lost = views.filter { it.lost }.map { it.name }
        val empty = draining.filter { leader.attemptsOn(it).isEmpty() }
        val due = (lost + empty + wanted + leader.machinesToFence() + if (silent.size <= MOST_SILENT) silent else emptyList()).distinct()
        if (due.isEmpty()) return
        returning = true
        var answered = false
        site.at(MILLI * (50 + random.nextInt(600))) {
            site.take(due)
            if (random.nextInt(5) > 0) {
                site.at(MILLI * (20 + random.nextInt(300))) {
                    answered = true
                    returned(due)
                }
            }
        }
        site.at(4 * SECOND) { if (!answered) returning = false }
    }

    private fun returned(names: List<String>) {
        returning = false
        if (!site.leads(leader)) return
        names.forEach(leader::machineTerminated)
        draining -= names.toSet()
        wanted -= names.toSet()
        site.write({ registry.remove(names) }) { }
    }

    private companion object {
        const val DRAIN_ONE_IN = 60
        const val MOST_SILENT = 2
    }
}
