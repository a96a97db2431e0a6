package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.model.PartitionAssignment

/** The zones in which tasks of a job may be placed. For single-zone and spread jobs they depend on where the other tasks are. */
internal class ZoneConstraints(
    private val assignment: PartitionAssignment,
) {
    /** Returns the zone of a partition, or the name of the partition if the assignment does not contain it. */
    fun zoneOf(partition: String) = assignment.zone(partition) ?: partition

    /** Returns the only zone to request capacity in, or null for all zones. A single-zone job stays in the zone of its live attempts. */
    fun requestedZone(job: Job): String? {
        if (job.spec.zone != null || !job.spec.sameZone) return job.spec.zone
        return job.liveAttempts.values
            .firstOrNull()
            ?.let { assignment.zone(it.partition) }
    }

    /**
     * Returns a function from a zone to the number of further tasks of the job that may be placed there. A spread job has at most half of
     * its tasks in one zone, rounded up.
     */
    fun remainingTasksByZone(
        job: Job,
        offers: Map<String, List<HeldSlots>>,
    ): (String) -> Int {
        val spec = job.spec
        if (!spec.sameZone && !spec.spread) return { Int.MAX_VALUE }
        val tasksByZone =
            job.liveAttempts.values
                .groupingBy { zoneOf(it.partition) }
                .eachCount()
        val maxTasks = if (spec.spread) (spec.tasks + 1) / 2 else Int.MAX_VALUE
        val sharedZone = if (spec.sameZone) tasksByZone.keys.firstOrNull() ?: OfferSelection.bestZone(offers, ::zoneOf) else null
        return { zone ->
            val isAllowed = !spec.sameZone || (zone == sharedZone && tasksByZone.keys.all { it == zone })
            if (isAllowed) maxTasks - (tasksByZone[zone] ?: 0) else 0
        }
    }
}
