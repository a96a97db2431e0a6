package lichenstage.placement

import lichenstage.cluster.TaskPhase
import lichenstage.config.Team
import lichenstage.model.Resources

/** All attempts that may be running, and the resources that each team uses through them (invariant 11). */
class RunningAttempts(
    private val teams: Map<String, Team>,
) {
    private val byMachine = HashMap<String, LinkedHashSet<Attempt>>()
    private val usedCoresByTeam = HashMap<String, Double>()
    private val usedGpusByTeam = HashMap<String, Double>()

    /** Returns the attempts that may be running on a machine. */
    fun onMachine(machine: String): Collection<Attempt> = byMachine[machine] ?: emptyList()

    /** Returns all attempts that may be running. */
    fun all(): Sequence<Attempt> = byMachine.values.asSequence().flatten()

    /** Returns the number of running tasks per team. Teams without running tasks are left out. */
    fun runningTasksByTeam(): Map<String, Int> =
        all()
            .filter { it.phase == TaskPhase.RUNNING }
            .groupingBy { it.job.spec.team }
            .eachCount()

    /** Adds an attempt to its job, its machine and the use of its team. */
    fun track(attempt: Attempt) {
        attempt.job.liveAttempts.put(attempt.index, attempt)
        byMachine.getOrPut(attempt.machine) { LinkedHashSet() }.add(attempt)
        addUse(attempt, 1)
    }

    /** Removes an attempt from its job, its machine and the use of its team. */
    fun remove(attempt: Attempt) {
        attempt.job.liveAttempts.remove(attempt.index)
        byMachine[attempt.machine]?.let {
            it.remove(attempt)
            if (it.isEmpty()) byMachine.remove(attempt.machine)
        }
        addUse(attempt, -1)
    }

    private fun addUse(
        attempt: Attempt,
        sign: Int,
    ) {
        val spec = attempt.job.spec
        usedCoresByTeam.merge(spec.team, sign * spec.resources.cores, Double::plus)
        usedGpusByTeam.merge(spec.team, sign * spec.resources.gpus, Double::plus)
    }

    /**
     * Returns how many more tasks with these [resources] a team may start within its limits. [planned] resources and [unaccountedUse]
     * count as used. Returns 0 for an unknown team.
     */
    fun allowedTaskCount(
        team: String,
        resources: Resources,
        unaccountedUse: Resources,
        planned: Resources = NO_RESOURCES,
    ): Int {
        val limits = teams[team] ?: return 0
        val cores = limits.coreLimit - unaccountedUse.cores - (usedCoresByTeam[team] ?: 0.0) - planned.cores
        val gpus = limits.gpuLimit - unaccountedUse.gpus - (usedGpusByTeam[team] ?: 0.0) - planned.gpus
        return Resources(cores, gpus, Double.POSITIVE_INFINITY).countFitting(resources)
    }

    companion object {
        /** Resources of zero size. */
        val NO_RESOURCES = Resources(0.0, 0.0, 0.0)
    }
}
