package lichenstage.fleet

import kotlin.math.ceil

/** How many machines of each type the demand asks for. */
internal class CapacityEstimate(
    private val policy: FleetPolicy,
    private val forecast: DemandForecast,
) {
    private var demand = emptyList<Demand>()

    /** Types that jobs have asked for in this term which may run on spot instances. */
    private val spotTypes = HashSet<String>()

    /** The most machines of a type that were in use at once in this term. */
    private val peakUsage = HashMap<String, Double>()

    /** Takes what jobs ask for now in place of what they asked for before. */
    fun update(demand: List<Demand>) {
        this.demand = demand
        for ((typeName, rows) in demand.groupBy { it.typeName }) peakUsage.merge(typeName, rows.sumOf { it.busy }, ::maxOf)
        demand.forEach { if (it.spot) spotTypes += it.typeName }
    }

    /** What jobs ask for of a type now. */
    fun demandFor(typeName: String): List<Demand> = demand.filter { it.typeName == typeName }

    /** Some job has asked for the type which may run on spot instances. */
    fun allowsSpot(typeName: String) = typeName in spotTypes

    /** Machines of a type for jobs that may not run on spot instances. */
    fun onDemandOnly(typeName: String): Int = ceilOf(demandFor(typeName).filter { !it.spot }.sumOf { it.machines })

    /**
     * How many machines of a type the work asks for: what the jobs to come will use, or more where waiting tasks could not begin within
     * [FleetPolicy.backlogUs] without (a busy machine costs the same now as later, and a backlog only grows late) or where objectives
     * ask for it. Jobs that wait for dependencies are part of what is to come: as work that waits now they were counted twice, and a
     * tenth more was paid for nothing.
     */
    fun needed(
        typeName: String,
        now: Long,
    ): Int {
        val (foreseen, ready) = demandFor(typeName).partition { it.foreseenInUs > 0 }
        val usable = ready.sumOf { it.machines }
        val forBacklog = ready.sumOf { it.busy } + ready.sumOf { it.waitingUs } / policy.targetUtilization / policy.backlogUs
        val forObjectives = forObjectives(ready.filter { it.dueUs != null }, now)
        val forForeseen = foreseen.sumOf { it.workUs / it.foreseenInUs } / policy.targetUtilization
        return ceilOf(maxOf(expected(typeName, now), forForeseen, minOf(usable, maxOf(forBacklog, forObjectives))))
    }

    /** How many machines of a type to keep: those needed, and while the forecast learns those that have been in use. */
    fun retained(
        typeName: String,
        now: Long,
    ): Int = maxOf(needed(typeName, now), retainedWhileLearning(typeName, now))

    /**
     * A new leader does not know the arrivals before its term, so that its forecast is too low for a while. Until then the peak usage
     * of its term is kept, with a margin. Keeping all machines cost a tenth of the price of a day on which leaders change while there
     * are too many machines.
     */
    private fun retainedWhileLearning(
        typeName: String,
        now: Long,
    ): Int = if (forecast.isLearning(now)) ceil((peakUsage[typeName] ?: 0.0) * LEARNING_MARGIN).toInt() else 0

    /** Machines that the jobs to come are expected to use. */
    fun expected(
        typeName: String,
        now: Long,
    ): Double = forecast.expectedMachines(typeName, policy.targetUtilization, now)

    /** Machines with which all objectives are met in part of their time: estimates are off, machines fail, and bursts come. */
    private fun forObjectives(
        withObjective: List<Demand>,
        now: Long,
    ): Double {
        var workUs = 0.0
        var machines = 0.0
        for (demand in withObjective.sortedBy { it.dueUs!! }) {
            workUs += demand.workUs
            val withinUs = maxOf(((demand.dueUs!! - now) * policy.deadlineSlackFraction).toLong(), policy.minHorizonUs)
            machines = maxOf(machines, workUs / policy.targetUtilization / withinUs)
        }
        return machines
    }

    /** Rounds up, but not for the error of a sum. */
    private fun ceilOf(machines: Double): Int = ceil(machines - ROUNDING_ERROR).toInt()

    private companion object {
        const val LEARNING_MARGIN = 1.25
        const val ROUNDING_ERROR = 1e-9
    }
}
