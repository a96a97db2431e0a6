package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.model.PartitionAssignment

/** In which zones tasks of a job may be placed, given the job's other tasks: one-zone and spread jobs. */
internal class ZoneConstraints(
    private val assignment: PartitionAssignment,
) {
    fun zoneOf(partition: String) = assignment.zone(partition) ?: partition

    /** The only zone for which room is to be asked for, or null. A job whose tasks must share a zone stays in the one it is in. */
    fun requestedZone(job: Job): String? {
        if (job.spec.zone != null || !job.spec.sameZone) return job.spec.zone
        return job.liveAttempts.values
            .firstOrNull()
            ?.let { assignment.zone(it.partition) }
    }

    /** How many more tasks of the job each zone may get. */
    fun roomIn(
        job: Job,
        offers: Map<String, List<HeldSlots>>,
    ): (String) -> Int {
        val spec = job.spec
        if (!spec.sameZone && !spec.spread) return { Int.MAX_VALUE }
        val there =
            job.liveAttempts.values
                .groupingBy { zoneOf(it.partition) }
                .eachCount()
        val most = if (spec.spread) (spec.tasks + 1) / 2 else Int.MAX_VALUE
        val only = if (spec.sameZone) there.keys.firstOrNull() ?: OfferSelection.bestZone(offers, ::zoneOf) else null
        return { zone ->
            val allowed = !spec.sameZone || (zone == only && there.keys.all { it == zone })
            if (allowed) most - (there[zone] ?: 0) else 0
        }
    }
}
