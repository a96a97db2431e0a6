package lichenstage.fleet

import kotlin.math.ceil

/** How many machines of each type the demand asks for. */
internal class CapacityEstimator(
    private val policy: FleetPolicy,
    private val forecast: DemandForecast,
) {
    private var demand = emptyList<Demand>()

    /** Types that jobs have asked for in this term which may run on spot instances. */
    private val spotTypes = HashSet<String>()

    /** The most machines of a type that were in use at once in this term. */
    private val peakUsageByType = HashMap<String, Double>()

    /** Takes what jobs ask for now in place of what they asked for before. */
    fun update(demand: List<Demand>) {
        this.demand = demand
        for ((typeName, rows) in demand.groupBy { it.typeName }) peakUsageByType.merge(typeName, rows.sumOf { it.busyMachines }, ::maxOf)
        demand.forEach { if (it.allowsSpot) spotTypes += it.typeName }
    }

    /** What jobs ask for of a type now. */
    fun demandFor(typeName: String): List<Demand> = demand.filter { it.typeName == typeName }

    /** Some job has asked for the type which may run on spot instances. */
    fun allowsSpot(typeName: String) = typeName in spotTypes

    /** Machines of a type for jobs that may not run on spot instances. */
    fun minOnDemandMachines(typeName: String): Int = roundUp(demandFor(typeName).filter { !it.allowsSpot }.sumOf { it.maxMachines })

    /**
     * How many machines of a type the work asks for: what the jobs to come will use, or more where waiting tasks could not begin within
     * [FleetPolicy.backlogUs] without (a busy machine costs the same now as later, and a backlog only grows late) or where objectives
     * ask for it. Jobs that wait for dependencies are part of what is to come: as work that waits now they were counted twice, and a
     * tenth more was paid for nothing.
     */
    fun neededMachines(
        typeName: String,
        nowUs: Long,
    ): Int {
        val (blocked, ready) = demandFor(typeName).partition { it.readyInUs > 0 }
        val maxUsableMachines = ready.sumOf { it.maxMachines }
        val machinesForBacklog =
            ready.sumOf { it.busyMachines } + ready.sumOf { it.waitingWorkUs } / policy.targetUtilization / policy.backlogUs
        val machinesForObjectives = machinesForObjectives(ready.filter { it.dueAtUs != null }, nowUs)
        val machinesForBlockedJobs = blocked.sumOf { it.workUs / it.readyInUs } / policy.targetUtilization
        return roundUp(
            maxOf(
                expectedMachines(typeName, nowUs),
                machinesForBlockedJobs,
                minOf(maxUsableMachines, maxOf(machinesForBacklog, machinesForObjectives)),
            ),
        )
    }

    /** How many machines of a type to keep: those needed, and while the forecast learns those that have been in use. */
    fun retainedMachines(
        typeName: String,
        nowUs: Long,
    ): Int = maxOf(neededMachines(typeName, nowUs), retainedMachinesWhileLearning(typeName, nowUs))

    /**
     * A new leader does not know the arrivals before its term, so that its forecast is too low for a while. Until then the peak usage
     * of its term is kept, with a margin. Keeping all machines cost a tenth of the price of a day on which leaders change while there
     * are too many machines.
     */
    private fun retainedMachinesWhileLearning(
        typeName: String,
        nowUs: Long,
    ): Int = if (forecast.isLearning(nowUs)) ceil((peakUsageByType[typeName] ?: 0.0) * LEARNING_MARGIN).toInt() else 0

    /** Machines that the jobs to come are expected to use. */
    fun expectedMachines(
        typeName: String,
        nowUs: Long,
    ): Double = forecast.expectedMachines(typeName, policy.targetUtilization, nowUs)

    /** Machines with which all objectives are met in part of their time: estimates are off, machines fail, and bursts come. */
    private fun machinesForObjectives(
        demandsWithObjective: List<Demand>,
        nowUs: Long,
    ): Double {
        var workUs = 0.0
        var machines = 0.0
        for (demand in demandsWithObjective.sortedBy { it.dueAtUs!! }) {
            workUs += demand.workUs
            val withinUs = maxOf(((demand.dueAtUs!! - nowUs) * policy.deadlineSlackFraction).toLong(), policy.minHorizonUs)
            machines = maxOf(machines, workUs / policy.targetUtilization / withinUs)
        }
        return machines
    }

    /** Rounds up, but not for the error of a sum. */
    private fun roundUp(machines: Double): Int = ceil(machines - ROUNDING_ERROR).toInt()

    private companion object {
        const val LEARNING_MARGIN = 1.25
        const val ROUNDING_ERROR = 1e-9
    }
}
