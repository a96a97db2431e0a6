package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.model.PartitionAssignment

/** The zones in which tasks of a job may be placed, given its other tasks: single-zone and spread jobs. */
internal class ZoneConstraints(
    private val assignment: PartitionAssignment,
) {
    /** The zone of a partition. */
    fun zoneOf(partition: String) = assignment.zone(partition) ?: partition

    /** The only zone to request room in, or null. A job whose tasks must share a zone stays in the one where tasks of it are. */
    fun requestedZone(job: Job): String? {
        if (job.spec.zone != null || !job.spec.sameZone) return job.spec.zone
        return job.liveAttempts.values
            .firstOrNull()
            ?.let { assignment.zone(it.partition) }
    }

    /** How many more tasks of the job each zone may get. A spread job has at most half of its tasks in one zone. */
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
