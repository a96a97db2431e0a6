package lichenstage.placement

import lichenstage.cluster.TaskPhase
import lichenstage.config.Team
import lichenstage.model.Resources

/** Every attempt that may be running, and what the teams use by them (invariant 11). */
class RunningAttempts(
    private val teams: Map<String, Team>,
) {
    private val byMachine = HashMap<String, LinkedHashSet<Attempt>>()
    private val usedCoresByTeam = HashMap<String, Double>()
    private val usedGpusByTeam = HashMap<String, Double>()

    /** Attempts on a machine. */
    fun onMachine(machine: String): Collection<Attempt> = byMachine[machine] ?: emptyList()

    /** All attempts. */
    fun all(): Sequence<Attempt> = byMachine.values.asSequence().flatten()

    /** How many tasks of each team run. */
    fun runningByTeam(): Map<String, Int> =
        all()
            .filter { it.phase == TaskPhase.RUNNING }
            .groupingBy { it.job.spec.team }
            .eachCount()

    /** Counts an attempt from now on. */
    fun track(attempt: Attempt) {
        attempt.job.liveAttempts.put(attempt.index, attempt)
        byMachine.getOrPut(attempt.machine) { LinkedHashSet() }.add(attempt)
        addUse(attempt, 1)
    }

    /** The attempt counts no more. */
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

    /** How many tasks of [resources] a team may still start, beside what is [planned] for it and what [unaccountedUse] may be using. */
    fun allowedTaskCount(
        team: String,
        resources: Resources,
        unaccountedUse: Resources,
        planned: Resources = NO_RESOURCES,
    ): Int {
        val limit = teams[team] ?: return 0
        val cores = limit.coresMax - unaccountedUse.cores - (usedCoresByTeam[team] ?: 0.0) - planned.cores
        val gpus = limit.gpusMax - unaccountedUse.gpus - (usedGpusByTeam[team] ?: 0.0) - planned.gpus
        return Resources(cores, gpus, Double.POSITIVE_INFINITY).fits(resources)
    }

    companion object {
        val NO_RESOURCES = Resources(0.0, 0.0, 0.0)
    }
}
