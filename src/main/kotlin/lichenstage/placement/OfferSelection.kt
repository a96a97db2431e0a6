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
     * @param maxTasksInZone how many more tasks of the job a zone may get (spread and single-zone jobs)
     */
    fun selectRoomiest(
        offers: Map<String, List<HeldSlots>>,
        maxTasks: Int,
        zoneOf: (String) -> String,
        maxTasksInZone: (String) -> Int,
    ): List<SelectedSlot> {
        val partitionByMachine = HashMap<String, String>()
        for ((partition, heldSlots) in offers) heldSlots.forEach { partitionByMachine[it.machine] = partition }
        val allowedSlots =
            offers.entries
                .groupBy({ zoneOf(it.key) }, { it.value })
                .flatMap { (zone, heldSlots) -> PlacementScore.selectRoomiest(heldSlots.flatten(), minOf(maxTasks, maxTasksInZone(zone))) }
        return PlacementScore
            .selectRoomiest(allowedSlots, maxTasks)
            .flatMap { heldSlots ->
                List(heldSlots.count) { SelectedSlot(partitionByMachine.getValue(heldSlots.machine), heldSlots.machine) }
            }
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
