package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.PlacementScore

/** A held place that may be chosen. */
data class SelectedSlot(
    val partition: String,
    val machine: String,
)

/** What the leader picks of the offers for one request. */
object OfferSelection {
    /**
     * The [most] places on the roomiest of the held machines; [offers] are by partition.
     *
     * [zoneRoom] says how many more tasks of the job a zone may get (spread and one-zone jobs).
     */
    fun selectRoomiest(
        offers: Map<String, List<HeldSlots>>,
        most: Int,
        zoneOf: (String) -> String,
        zoneRoom: (String) -> Int,
    ): List<SelectedSlot> {
        val partitionOf = HashMap<String, String>()
        for ((partition, held) in offers) held.forEach { partitionOf[it.machine] = partition }
        val allowed =
            offers.entries
                .groupBy({ zoneOf(it.key) }, { it.value })
                .flatMap { (zone, held) -> PlacementScore.take(held.flatten(), minOf(most, zoneRoom(zone))) }
        return PlacementScore
            .take(allowed, most)
            .flatMap { held -> List(held.count) { SelectedSlot(partitionOf.getValue(held.machine), held.machine) } }
    }

    /** For a job whose tasks must share a zone: the zone that offers most. */
    fun bestZone(
        offers: Map<String, List<HeldSlots>>,
        zoneOf: (String) -> String,
    ): String? =
        offers.entries
            .groupBy { zoneOf(it.key) }
            .maxByOrNull { (_, partitions) -> partitions.sumOf { partition -> partition.value.sumOf { it.count } } }
            ?.key
}
