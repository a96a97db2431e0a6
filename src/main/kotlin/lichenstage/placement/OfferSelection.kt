package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.PlacementScore

/** Capacity for one task on a machine, selected from an offer. */
data class SelectedSlot(
    val partition: String,
    val machine: String,
)

/**
 * The selection among the offers for one placement request, by worst fit: the machine with room for the most tasks of the request is
 * filled first. The paper that docs/design.md follows calls this the "roomiest offer". [PlacementScore] decides between machines with the
 * same room.
 */
object OfferSelection {
    /**
     * Returns up to [maxTasks] slots, selected by worst fit.
     *
     * @param offers held slots by partition
     * @param maxTasksInZone returns the number of further tasks of the job that a zone may get (spread and single-zone jobs)
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

    /** Returns the zone that offers room for the most tasks, for a job whose tasks must share a zone. Null if there are no offers. */
    fun bestZone(
        offers: Map<String, List<HeldSlots>>,
        zoneOf: (String) -> String,
    ): String? =
        offers.entries
            .groupBy { zoneOf(it.key) }
            .maxByOrNull { (_, partitions) -> partitions.sumOf { partition -> partition.value.sumOf { it.count } } }
            ?.key
}
