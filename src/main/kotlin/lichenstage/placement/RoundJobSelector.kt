package lichenstage.placement

import java.util.TreeMap

/** The decision to request capacity for [taskCount] tasks of a job. */
internal class PlannedRequest(
    val job: Job,
    val taskCount: Int,
)

/**
 * Selects the jobs that request capacity in one round.
 *
 * A round has a limited number of places. If it always took the first jobs of the queue, as many jobs that cannot be placed would take all
 * places for good, and the jobs behind them would wait beside free machines. Therefore the places have three parts: most of them go to the
 * first jobs of the queue; some to the next jobs whose kind of request is not known to be unplaced; and some to kinds that are known to be
 * unplaced, one job of each, those that have been requested least recently first. Places that a part does not need go to the first
 * remaining jobs. So a waiting job of any kind is requested within as many rounds as there are kinds for each place of the last part.
 */
internal class RoundJobSelector(
    private val maxJobs: Int,
    private val unplacedKinds: UnplacedKinds,
) {
    /** The number of places of each of the two last parts. */
    private val otherPlaces = (maxJobs / OTHER_PLACES_DIVISOR).coerceAtLeast(1)
    private val headPlaces = (maxJobs - 2 * otherPlaces).coerceAtLeast(0)

    /** Whether the last selection has left out a kind of request, so that the next round should follow soon. */
    var hasLeftOutKinds = false
        private set

    /**
     * Returns the requests for the selected jobs in queue order. Jobs that left the capacity held for them unused come last.
     *
     * @param taskCount returns for how many tasks a job may request capacity; jobs that may not request any take no place
     * @param onPlanned called for each selected job with its number of tasks, in the order of selection
     */
    fun select(
        jobs: List<Job>,
        taskCount: (Job) -> Int,
        onPlanned: (PlannedRequest) -> Unit,
    ): List<PlannedRequest> {
        val selection = Selection(jobs, taskCount, onPlanned)
        selection.take(headPlaces, jobs.indices.asSequence())
        if (selection.isComplete) hasLeftOutKinds = false else selectOthers(jobs, selection)
        val (withUnusedOffers, others) = selection.inQueueOrder().partition { unplacedKinds.leftOffersUnused(it.job.requestKind) }
        return others + withUnusedOffers
    }

    private fun selectOthers(
        jobs: List<Job>,
        selection: Selection,
    ) {
        val (unplaced, placeable) = selection.remaining().partition { jobs[it].requestKind in unplacedKinds }
        selection.take(otherPlaces, placeable.asSequence())
        val firstOfEachKind = unplaced.distinctBy { jobs[it].requestKind }.filter { !selection.hasKind(jobs[it].requestKind) }
        val leastRecentFirst = firstOfEachKind.sortedBy { unplacedKinds.lastRoundOf(jobs[it].requestKind) }
        val placesForUnplaced = maxOf(otherPlaces, maxJobs - selection.size - placeable.size)
        selection.take(placesForUnplaced, leastRecentFirst.asSequence())
        selection.take(maxJobs - selection.size, placeable.asSequence() + unplaced.asSequence())
        hasLeftOutKinds = firstOfEachKind.any { !selection.hasKind(jobs[it].requestKind) && selection.mayRequest(it) }
    }

    /** The jobs selected so far, by their index in the queue. */
    private class Selection(
        private val jobs: List<Job>,
        private val taskCount: (Job) -> Int,
        private val onPlanned: (PlannedRequest) -> Unit,
    ) {
        private val requestsByIndex = TreeMap<Int, PlannedRequest>()
        private val kinds = HashSet<RequestKind>()
        private var nextIndex = 0
        val size get() = requestsByIndex.size

        /** Whether no job is left behind the ones that the first part has examined. */
        val isComplete get() = nextIndex >= jobs.size

        /** Returns whether the job at [index] may request capacity beside those selected so far. */
        fun mayRequest(index: Int) = taskCount(jobs[index]) > 0

        fun hasKind(kind: RequestKind) = kind in kinds

        /** Returns the indices of the jobs behind those that the first part has examined. */
        fun remaining(): List<Int> = (nextIndex until jobs.size).toList()

        fun inQueueOrder(): List<PlannedRequest> = requestsByIndex.values.toList()

        /** Selects up to [places] jobs among [indices]. */
        fun take(
            places: Int,
            indices: Sequence<Int>,
        ) {
            var free = places
            for (index in indices) {
                if (free <= 0) break
                if (select(index)) free--
            }
        }

        /** Selects the job at [index], unless it is selected already or may not request capacity. Returns whether it was selected. */
        private fun select(index: Int): Boolean {
            nextIndex = maxOf(nextIndex, index + 1)
            if (index in requestsByIndex) return false
            val count = taskCount(jobs[index])
            if (count <= 0) return false
            val request = PlannedRequest(jobs[index], count)
            requestsByIndex[index] = request
            kinds += request.job.requestKind
            onPlanned(request)
            return true
        }
    }

    private companion object {
        const val OTHER_PLACES_DIVISOR = 6
    }
}
