package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.PlacementScore

/** Room for one task on a machine, chosen from an offer. */
data class SelectedSlot(
    val partition: String,
    val machine: String,
)

/**
 * Chooses among the offers for one request. The "roomiest offer" of the paper that docs/design.md follows is worst fit: the machine with
 * room for most of the request's tasks is filled first. [PlacementScore] decides between machines with the same room.
 */
object OfferSelection {
    /**
     * Up to [maxTasks] slots by worst fit; [offers] are by partition.
     *
     * @param maxTasksIn how many more tasks of the job a zone may get (spread and single-zone jobs)
     */
    fun selectRoomiest(
        offers: Map<String, List<HeldSlots>>,
        maxTasks: Int,
        zoneOf: (String) -> String,
        maxTasksIn: (String) -> Int,
    ): List<SelectedSlot> {
        val partitionOf = HashMap<String, String>()
        for ((partition, held) in offers) held.forEach { partitionOf[it.machine] = partition }
        val allowed =
            offers.entries
                .groupBy({ zoneOf(it.key) }, { it.value })
                .flatMap { (zone, held) -> PlacementScore.selectRoomiest(held.flatten(), minOf(maxTasks, maxTasksIn(zone))) }
        return PlacementScore
            .selectRoomiest(allowed, maxTasks)
            .flatMap { held -> List(held.count) { SelectedSlot(partitionOf.getValue(held.machine), held.machine) } }
    }

    /** The zone that offers room for most tasks, for a job whose tasks must share a zone; null where none offers any. */
    fun bestZone(
        offers: Map<String, List<HeldSlots>>,
        zoneOf: (String) -> String,
    ): String? =
        offers.entries
            .groupBy { zoneOf(it.key) }
            .maxByOrNull { (_, partitions) -> partitions.sumOf { partition -> partition.value.sumOf { it.count } } }
            ?.key
}
