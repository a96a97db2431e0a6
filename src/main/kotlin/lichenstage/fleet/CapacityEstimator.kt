package lichenstage.fleet

import kotlin.math.ceil

/** Estimates how many machines of each type the demand requires. */
internal class CapacityEstimator(
    private val policy: FleetPolicy,
    private val forecast: DemandForecast,
) {
    private var demand = emptyList<Demand>()

    /** The machine types that were requested in this term by a job that may run on spot machines. */
    private val spotTypes = HashSet<String>()

    /** The highest number of machines of each type that were in use at once in this term. */
    private val peakUsageByType = HashMap<String, Double>()

    /** Replaces the demand by the current one. */
    fun update(demand: List<Demand>) {
        this.demand = demand
        for ((typeName, group) in demand.groupBy { it.typeName }) peakUsageByType.merge(typeName, group.sumOf { it.busyMachines }, ::maxOf)
        demand.forEach { if (it.allowsSpot) spotTypes += it.typeName }
    }

    /** Returns the current demand for a machine type. */
    fun demandFor(typeName: String): List<Demand> = demand.filter { it.typeName == typeName }

    /** Returns the sets of machines that some of the current demand is restricted to, the narrowest first. */
    fun restrictedScopes(typeName: String): List<CapacityScope> = CapacityScope.restrictedScopes(typeName, demandFor(typeName))

    /** Returns whether any of the demand that is restricted to the scope may use spot machines. */
    fun allowsSpot(scope: CapacityScope): Boolean = !scope.isOnDemandOnly && demand.any { scope.covers(it) && it.allowsSpot }

    /** Returns whether any job in this term has requested the type and may run on spot machines. */
    fun allowsSpot(typeName: String) = typeName in spotTypes

    /** Returns how many machines of a type are needed for jobs that may not run on spot machines. */
    fun minOnDemandMachines(typeName: String): Int = roundUp(demandFor(typeName).filter { !it.allowsSpot }.sumOf { it.maxMachines })

    /**
     * Returns how many machines of a type are needed. This is the largest of three numbers: the machines that future jobs are expected to
     * use, the machines for jobs that wait for dependencies, and the machines for ready jobs.
     *
     * Ready jobs need enough machines for all waiting tasks to start within [FleetPolicy.backlogUs] and for their objectives to be met, but
     * no more than they can use. A longer backlog saves nothing: a busy machine costs the same now as later, and the jobs only become late.
     *
     * Jobs that wait for dependencies count as future jobs. An earlier version added them to the waiting work, although the forecast
     * already included them. This raised the cost by a tenth without any benefit.
     */
    fun neededMachines(
        typeName: String,
        nowUs: Long,
    ): Int = roundUp(maxOf(expectedMachines(typeName, nowUs), machinesForDemand(demandFor(typeName), nowUs)))

    /** Returns how many machines in [scope] are needed for the current demand that is restricted to it. */
    fun neededMachines(
        scope: CapacityScope,
        nowUs: Long,
    ): Int = roundUp(machinesForDemand(demand.filter(scope::covers), nowUs))

    private fun machinesForDemand(
        demands: List<Demand>,
        nowUs: Long,
    ): Double {
        val (blocked, ready) = demands.partition { it.readyInUs > 0 }
        val maxUsableMachines = ready.sumOf { it.maxMachines }
        val machinesForBacklog =
            ready.sumOf { it.busyMachines } + ready.sumOf { it.waitingWorkUs } / policy.targetUtilization / policy.backlogUs
        val machinesForObjectives = machinesForObjectives(ready.filter { it.dueAtUs != null }, nowUs)
        val machinesForBlockedJobs = blocked.sumOf { it.workUs / it.readyInUs } / policy.targetUtilization
        return maxOf(machinesForBlockedJobs, minOf(maxUsableMachines, maxOf(machinesForBacklog, machinesForObjectives)))
    }

    /**
     * Returns how many machines of a type to keep: the needed machines, or the peak usage of this term if that is higher and the forecast
     * is still learning.
     */
    fun retainedMachines(
        typeName: String,
        nowUs: Long,
    ): Int = maxOf(neededMachines(typeName, nowUs), retainedMachinesWhileLearning(typeName, nowUs))

    /**
     * Returns how many machines of a type to keep while the forecast is learning: the peak usage of this term plus a margin, and 0
     * afterwards.
     *
     * A new leader does not know the arrivals before its term, so its forecast is too low at first. An earlier version kept all machines
     * during this time, which cost a tenth of the price of a day with leader changes and surplus machines.
     */
    private fun retainedMachinesWhileLearning(
        typeName: String,
        nowUs: Long,
    ): Int = if (forecast.isLearning(nowUs)) ceil((peakUsageByType[typeName] ?: 0.0) * LEARNING_MARGIN).toInt() else 0

    /** Returns how many machines future jobs are expected to use. */
    fun expectedMachines(
        typeName: String,
        nowUs: Long,
    ): Double = forecast.expectedMachines(typeName, policy.targetUtilization, nowUs)

    /**
     * Returns how many machines are needed to meet all objectives in a part of the remaining time. The rest of the time is a reserve,
     * because estimates are inaccurate, machines fail and load comes in bursts.
     */
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

    /** Rounds up, but ignores the rounding error of a sum. */
    private fun roundUp(machines: Double): Int = ceil(machines - ROUNDING_ERROR).toInt()

    private companion object {
        const val LEARNING_MARGIN = 1.25
        const val ROUNDING_ERROR = 1e-9
    }
}
