package lichenstage.placement

import lichenstage.cluster.HeldSlots
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.PlacementScore

/** A held place that may be chosen. */
data class Place(
    val part: String,
    val machine: String,
)

/** What the leader picks of the offers for one request. */
object Choice {
    /**
     * The [most] places on the roomiest of the held machines; [offers] are by part.
     *
     * [zoneRoom] says how many more tasks of the job a zone may get (spread and one-zone jobs).
     */
    fun roomiest(
        offers: Map<String, List<HeldSlots>>,
        most: Int,
        zoneOf: (String) -> String,
        zoneRoom: (String) -> Int,
    ): List<Place> {
        val partOf = HashMap<String, String>()
        for ((part, held) in offers) held.forEach { partOf[it.machine] = part }
        val allowed =
            offers.entries
                .groupBy({ zoneOf(it.key) }, { it.value })
                .flatMap { (zone, held) -> PlacementScore.take(held.flatten(), minOf(most, zoneRoom(zone))) }
        return PlacementScore
            .take(allowed, most)
            .flatMap { held -> List(held.count) { Place(partOf.getValue(held.machine), held.machine) } }
    }

    /** For a job whose tasks must share a zone: the zone that offers most. */
    fun bestZone(
        offers: Map<String, List<HeldSlots>>,
        zoneOf: (String) -> String,
    ): String? =
        offers.entries
            .groupBy { zoneOf(it.key) }
            .maxByOrNull { (_, parts) -> parts.sumOf { part -> part.value.sumOf { it.count } } }
            ?.key
}

/** Requests that were broadcast together, and what the parts have answered so far. */
class Round(
    val requests: List<Pair<PlacementRequest, Job>>,
    now: Long,
    alphaUs: Long,
) {
    private val stamps = requests.mapTo(HashSet()) { it.first.stamp }
    private val offers = HashMap<Long, HashMap<String, List<HeldSlots>>>()
    private val answered = HashSet<String>()
    var deadlineUs = now + alphaUs
        private set

    /** Takes an offer; after each, the wait is [betaUs] from now. */
    fun offered(
        part: String,
        stamp: Long,
        held: List<HeldSlots>,
        now: Long,
        betaUs: Long,
    ) {
        if (stamp !in stamps) return
        offers.getOrPut(stamp) { HashMap() }[part] = held
        if (answered.add(part)) deadlineUs = now + betaUs
    }

    fun heardFrom(parts: Set<String>) = answered.containsAll(parts)

    fun of(stamp: Long): Map<String, List<HeldSlots>> = offers[stamp] ?: emptyMap()
}
