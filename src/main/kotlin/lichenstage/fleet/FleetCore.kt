package lichenstage.fleet

import lichenstage.cloud.ListedMachine
import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import kotlin.math.ceil

/**
 * What is rented. Plain code: told of demand and machines, it names the next cloud call, and is told its outcome.
 *
 * A hire that got no answer is repeated under its name until it is answered (invariant 12).
 */
class FleetCore(
    private val term: Long,
    private val policy: FleetPolicy,
    private val forecast: DemandForecast,
) {
    private class Rented(
        val typeName: String,
        val zone: String,
        val spot: Boolean,
        val sinceUs: Long,
    ) {
        var status = "starting"
        var upOnce = false
        var tasks = 0
        var draining = false
        var giveBack = false
    }

    private val machines = LinkedHashMap<String, Rented>()
    private val gone = HashSet<String>()
    private val refusedUntilUs = HashMap<String, Long>()
    private val refusals = HashMap<String, Int>()
    private var unclear: ProvisionRequest? = null
    private var hires = 0L
    private var listedUs = Long.MIN_VALUE / 2
    private var wanted = emptyList<Demand>()

    /** Types that jobs have asked for which may run on cheap machines. */
    private val spotWelcome = HashSet<String>()
    private val surplusSinceUs = HashMap<String, Long>()

    /** The most machines of a type that were in use at once in this term. */
    private val mostUsed = HashMap<String, Double>()
    private var listedOnce = false
    private val requests = LinkedHashMap<String, ReplacementRequest>()

    /** The request that a hire is for, by the hire's name. */
    private val requestOf = HashMap<String, String>()

    /** Machines that the demand is not met with: on their way out, or spare until another is. */
    var uncounted: Set<String> = emptySet()
    private var returnedUs = Long.MIN_VALUE / 2
    private var swappedUs = Long.MIN_VALUE / 2
    var machineTypes = emptyMap<String, MachineType>()

    /** Machines that should get no more tasks. */
    fun cordoned(): Set<String> = machines.filterValues { it.giveBack || it.draining }.keys

    /** There is such a machine. */
    fun known(
        name: String,
        typeName: String,
        zone: String,
        spot: Boolean,
        ageUs: Long,
        now: Long,
    ) {
        if (name in gone) return
        machines.getOrPut(name) { Rented(typeName, zone, spot, now - ageUs) }
    }

    /** The cloud's list, which lags. */
    fun listed(
        rows: List<ListedMachine>,
        now: Long,
    ) {
        listedOnce = true
        for (row in rows) {
            known(row.name, row.typeName, row.zone, row.spot, row.ageUs, now)
            machines[row.name]?.status = row.status
        }
    }

    /** What jobs ask for now, and how machines are. */
    fun observe(
        demand: List<Demand>,
        seen: (String) -> MachineStatus?,
        now: Long,
    ) {
        wanted = demand
        for ((typeName, rows) in demand.groupBy { it.typeName }) mostUsed.merge(typeName, rows.sumOf { it.busy }, ::maxOf)
        demand.forEach { if (it.spot) spotWelcome += it.typeName }
        // A machine that hangs is replaced before its lease has run out: its return is the fastest proof that its tasks may
        // go elsewhere. Where many are silent, the network is at fault, not they.
        val silent = machines.keys.filter { seen(it)?.silent == true }
        if (silent.size <= maxOf(MOST_SILENT, machines.size / SILENT_SHARE)) fence(silent)
        for ((name, machine) in machines) judge(machine, seen(name), now)
        shed(now)
    }

    /** Gives back what is of no more use. */
    private fun judge(
        machine: Rented,
        status: MachineStatus?,
        now: Long,
    ) {
        if (status != null && status.up) machine.upOnce = true
        machine.tasks = status?.tasks ?: 0
        val bootUs = machineTypes[machine.typeName]?.bootUs ?: USUAL_BOOT_US
        val neverUp = !machine.upOnce && now - machine.sinceUs > 3 * bootUs + 10 * SECOND
        if (status?.lost == true || status?.faulty == true || machine.status == FAILED || neverUp) machine.giveBack = true
    }

    /**
     * Machines beyond what is needed take no more tasks, the dear ones first, and are given back when they are empty:
     * the roomiest machine gets the next task, so that none would run empty by itself.
     */
    private fun shed(now: Long) {
        for ((typeName, group) in counted().groupBy { it.typeName }) {
            val surplus = group.size - maxOf(need(typeName, now), neededWhileLearning(typeName, now))
            if (surplus <= 0) {
                surplusSinceUs.remove(typeName)
                group.forEach { it.draining = false }
                continue
            }
            val scaleInDelayUs = if (forecast.over(typeName, now)) policy.scaleInDelayUs / 4 else policy.scaleInDelayUs
            if (now - surplusSinceUs.getOrPut(typeName) { now } < scaleInDelayUs) continue
            val candidates =
                group
                    .filter { it.upOnce && now - it.sinceUs > LEAST_US - 10 * SECOND }
                    .sortedWith(compareBy<Rented> { it.spot }.thenBy { !it.draining }.thenBy { it.tasks })
            candidates.forEachIndexed { i, machine -> machine.draining = i < surplus }
            candidates.filter { it.draining && it.tasks == 0 && now - it.sinceUs > LEAST_US }.forEach { it.giveBack = true }
        }
    }

    private fun counted(): Collection<Rented> =
        if (uncounted.isEmpty()) {
            machines.values.filter { !it.giveBack }
        } else {
            machines.filter { (name, machine) -> !machine.giveBack && name !in uncounted }.values
        }

    /** A machine is wanted whatever the demand; it is asked for until it is there. */
    fun request(hire: ReplacementRequest) {
        requests[hire.id] = hire
    }

    /** What a hire was requested for, or null. */
    fun requestOf(hire: ProvisionRequest): String? = requestOf[hire.name]

    private fun requested(now: Long): ProvisionRequest? {
        val request =
            requests.values.firstOrNull { (refusedUntilUs[place(it.typeName, it.zone, it.spot)] ?: Long.MIN_VALUE) <= now } ?: return null
        val hire = ProvisionRequest("h$term-${++hires}", request.typeName, request.zone, request.spot, 1)
        requestOf[hire.name] = request.id
        unclear = hire
        return hire
    }

    /**
     * A leader that has just begun does not know what came before it, so that its forecast is too low for a while. Until then what was
     * in use at some time since is kept, with room to spare. Keeping all that there was cost a tenth of the money of a day on which
     * leaders change while machines are too many.
     */
    private fun neededWhileLearning(
        typeName: String,
        now: Long,
    ): Int = if (forecast.learning(now)) ceil((mostUsed[typeName] ?: 0.0) * LEARNING_MARGIN).toInt() else 0

    /**
     * How many machines of a type the work asks for: what the jobs to come will use, or more where what waits now could not be
     * begun in a while without (a busy machine costs the same now as later, and a backlog only grows late) or where promises
     * ask for it. Jobs that wait for others are part of what is to come: as work that waits now they were counted twice, and a tenth
     * more was paid for nothing.
     */
    private fun need(
        typeName: String,
        now: Long,
    ): Int {
        val (foreseen, here) = wanted.filter { it.typeName == typeName }.partition { it.foreseenInUs > 0 }
        val parallel = here.sumOf { it.machines }
        val backlog = here.sumOf { it.busy } + here.sumOf { it.waitingUs } / policy.fill / policy.backlogUs
        val promised = pace(here.filter { it.dueUs != null }, now)
        val expected = forecast.machines(typeName, policy.fill, now)
        val toCome = foreseen.sumOf { it.workUs / it.foreseenInUs } / policy.fill
        return ceil(maxOf(expected, toCome, minOf(parallel, maxOf(backlog, promised))) - 1e-9).toInt()
    }

    /** For the log: what there is, and why it is held for right. */
    fun describe(now: Long): String =
        machineTypes.keys.joinToString { typeName ->
            val have = machines.values.filter { it.typeName == typeName }
            val here = wanted.filter { it.typeName == typeName }
            val needed = need(typeName, now)
            "$typeName: ${have.size} rented, ${have.count { it.spot }} of them cheap, ${have.count { it.upOnce }} up, " +
                "${have.count { it.upOnce && it.tasks == 0 }} idle, ${have.count { it.draining }} draining; needed $needed: " +
                "expected %.0f, in use %.0f, waiting for %.0f s".format(
                    forecast.machines(typeName, policy.fill, now),
                    here.sumOf { it.busy },
                    here.sumOf { it.waitingUs } / SECOND / maxOf(have.size, 1),
                )
        }

    /** Machines with which all is done with room to spare: estimates are off, machines fail, and bursts come. */
    private fun pace(
        promised: List<Demand>,
        now: Long,
    ): Double {
        var workUs = 0.0
        var most = 0.0
        for (demand in promised.sortedBy { it.dueUs!! }) {
            workUs += demand.workUs
            val withinUs = maxOf(((demand.dueUs!! - now) * policy.deadlineSlackFraction).toLong(), policy.minHorizonUs)
            most = maxOf(most, workUs / policy.fill / withinUs)
        }
        return most
    }

    /** Machines whose return proves that nothing runs on them. */
    fun fence(names: List<String>) = names.forEach { machines[it]?.giveBack = true }

    /** The next call to make, or null. */
    fun next(now: Long): CloudCall? {
        unclear?.let { return CloudCall.Provision(it) }
        val back = machines.filterValues { it.giveBack }.keys.take(MOST_RETURNS)
        if (back.isNotEmpty() && now - returnedUs >= RETURN_US) {
            returnedUs = now
            return CloudCall.Terminate(back)
        }
        if (now - listedUs > LIST_US) {
            listedUs = now
            return CloudCall.ListAll
        }
        requested(now)?.let { return CloudCall.Provision(it) }
        // A leader that has just begun does not know what the one before it rented.
        return if (listedOnce) rent(now)?.let { CloudCall.Provision(it) } else null
    }

    private fun rent(now: Long): ProvisionRequest? {
        for (machineType in machineTypes.values) {
            val have = counted().filter { it.typeName == machineType.name }
            val short = need(machineType.name, now) - have.size
            val hire = if (short <= 0) swap(machineType, have, now) else hire(machineType, have, short, now)
            if (hire != null) return hire
        }
        return null
    }

    /** Jobs that may not run on cheap machines need dear ones; all others come after what is cheap. */
    private fun hire(
        machineType: MachineType,
        have: List<Rented>,
        short: Int,
        now: Long,
    ): ProvisionRequest? {
        val typeName = machineType.name
        val onlyOrdinary = ceil(wanted.filter { it.typeName == typeName && !it.spot }.sumOf { it.machines } - 1e-9).toInt()
        val ordinaryFirst = have.count { !it.spot } < onlyOrdinary || typeName !in spotWelcome
        val kinds = if (ordinaryFirst) listOf(false, true) else listOf(true, false)
        return kinds.filter { spot -> !spot || typeName in spotWelcome }.firstNotNullOfOrNull { hireIn(machineType, have, it, short, now) }
    }

    private fun hireIn(
        machineType: MachineType,
        have: List<Rented>,
        spot: Boolean,
        short: Int,
        now: Long,
    ): ProvisionRequest? {
        val zone =
            machineType.zones
                .filter { (refusedUntilUs[place(machineType.name, it, spot)] ?: Long.MIN_VALUE) <= now }
                .minByOrNull { zone -> have.count { it.zone == zone } } ?: return null
        val count = ceil(short.toDouble() / machineType.zones.size).toInt().coerceIn(1, MOST_HIRED)
        return ProvisionRequest("h$term-${++hires}", machineType.name, zone, spot, count).also { unclear = it }
    }

    /** A cheap machine in place of a dear one, where there is work that may run on it: the surplus drains the dear one. */
    private fun swap(
        machineType: MachineType,
        have: List<Rented>,
        now: Long,
    ): ProvisionRequest? {
        if (machineType.spotPrice >= machineType.price || now - swappedUs < SWAP_US) return null
        if (have.none { !it.spot && !it.draining } || machineType.name !in spotWelcome) return null
        val zone =
            machineType.zones.firstOrNull { (refusedUntilUs[place(machineType.name, it, true)] ?: Long.MIN_VALUE) <= now } ?: return null
        swappedUs = now
        return ProvisionRequest("h$term-${++hires}", machineType.name, zone, true, 1).also { unclear = it }
    }

    private fun place(
        typeName: String,
        zone: String,
        spot: Boolean,
    ) = "$typeName $zone $spot"

    /** The outcome of a hire; returns the names of the machines that came with it. */
    fun hired(
        hire: ProvisionRequest,
        outcome: ProvisionResult,
        now: Long,
    ): List<String> {
        val place = place(hire.typeName, hire.zone, hire.spot)
        when (outcome) {
            is ProvisionResult.Provisioned -> {
                unclear = null
                outcome.names.forEach { known(it, hire.typeName, hire.zone, hire.spot, 0, now) }
                if (outcome.names.size < hire.count) refuse(place, now) else refusals.remove(place)
                if (outcome.names.isNotEmpty()) requestOf[hire.name]?.let(requests::remove)
                return outcome.names
            }

            ProvisionResult.NoCapacity -> {
                unclear = null
                refuse(place, now)
            }

            ProvisionResult.Indeterminate -> {
                Unit
            }
        }
        return emptyList()
    }

    private fun refuse(
        place: String,
        now: Long,
    ) {
        val times = minOf((refusals[place] ?: 0) + 1, 3)
        refusals[place] = times
        refusedUntilUs[place] = now + (5 * SECOND shl (times - 1))
    }

    /** These machines are gone. */
    fun returned(names: List<String>) {
        names.forEach { machines.remove(it) }
        gone += names
    }

    private companion object {
        const val MOST_SILENT = 2
        const val SILENT_SHARE = 100
        const val LEAST_US = 55 * SECOND
        const val SWAP_US = 10 * SECOND
        const val LEARNING_MARGIN = 1.25

        /** Where the machine types are not known yet. */
        const val USUAL_BOOT_US = 60 * SECOND
        const val FAILED = "failed"
        const val LIST_US = 4 * SECOND
        const val MOST_RETURNS = 100
        const val RETURN_US = SECOND
        const val MOST_HIRED = 50
    }
}
