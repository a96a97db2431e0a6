package lichenstage.placement

import lichenstage.config.Team
import lichenstage.model.Shape

/** Every attempt that may be running, and what the teams use by them (invariant 11). */
class RunningAttempts(
    private val teams: Map<String, Team>,
) {
    private val byMachine = HashMap<String, LinkedHashSet<Attempt>>()
    private val usedCores = HashMap<String, Double>()
    private val usedCards = HashMap<String, Double>()

    /** Attempts on a machine. */
    fun on(machine: String): Collection<Attempt> = byMachine[machine] ?: emptyList()

    /** All attempts. */
    fun all(): Sequence<Attempt> = byMachine.values.asSequence().flatten()

    /** Counts an attempt from now on. */
    fun track(attempt: Attempt) {
        attempt.job.liveAttempts.put(attempt.index, attempt)
        byMachine.getOrPut(attempt.machine) { LinkedHashSet() }.add(attempt)
        count(attempt, 1)
    }

    /** The attempt counts no more. */
    fun remove(attempt: Attempt) {
        attempt.job.liveAttempts.remove(attempt.index)
        byMachine[attempt.machine]?.let {
            it.remove(attempt)
            if (it.isEmpty()) byMachine.remove(attempt.machine)
        }
        count(attempt, -1)
    }

    private fun count(
        attempt: Attempt,
        sign: Int,
    ) {
        val spec = attempt.job.spec
        usedCores.merge(spec.team, sign * spec.shape.cores, Double::plus)
        usedCards.merge(spec.team, sign * spec.shape.cards, Double::plus)
    }

    /** How many tasks of [shape] a team may still start, beside what is [planned] for it and what [unaccountedUse] may be using. */
    fun allowance(
        team: String,
        shape: Shape,
        unaccountedUse: Shape,
        planned: Shape = NONE,
    ): Int {
        val limit = teams[team] ?: return 0
        val cores = limit.coresMax - unaccountedUse.cores - (usedCores[team] ?: 0.0) - planned.cores
        val cards = limit.cardsMax - unaccountedUse.cards - (usedCards[team] ?: 0.0) - planned.cards
        return Shape(cores, cards, Double.POSITIVE_INFINITY).fits(shape)
    }

    companion object {
        val NONE = Shape(0.0, 0.0, 0.0)
    }
}
