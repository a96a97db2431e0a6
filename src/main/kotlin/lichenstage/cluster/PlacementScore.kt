package lichenstage.cluster

/**
 * The order of the roomiest offers ("roomiest offer" of the paper: worst fit), by which partitions hold room and the leader chooses.
 *
 * Room is counted in tasks of the request, and only as far as the request can use it: of two machines that both take all
 * that is left of it, neither is roomier. Among equals those with the image come first (a fetch takes as long as many
 * tasks run), then the fullest, so that small tasks don't take the last whole machines from large ones.
 */
object PlacementScore {
    /** Up to [count] tasks on the roomiest of [offers], each machine filled before the next. */
    fun selectRoomiest(
        offers: List<HeldSlots>,
        count: Int,
    ): List<HeldSlots> {
        if (count <= 0) return emptyList()
        val sorted = offers.filterTo(ArrayList()) { it.count > 0 }
        sorted.sortWith(ROOMIEST_FIRST)
        val selected = ArrayList<HeldSlots>()
        var remaining = count
        var next = 0
        // While the roomiest is used up whole, the order does not depend on how much is left.
        while (next < sorted.size && sorted[next].count <= remaining && remaining > 0) {
            val slots = sorted[next++]
            selected += slots
            remaining -= slots.count
        }
        // Of the rest, machines that take all that is left are alike.
        while (remaining > 0 && next < sorted.size) {
            var best = next
            for (i in next + 1 until sorted.size) if (isRoomier(sorted[i], sorted[best], remaining)) best = i
            val held = sorted[best]
            sorted[best] = sorted[next]
            next++
            val taken = minOf(held.count, remaining)
            selected += if (taken == held.count) held else held.copy(count = taken)
            remaining -= taken
        }
        return selected
    }

    private fun isRoomier(
        first: HeldSlots,
        second: HeldSlots,
        remaining: Int,
    ): Boolean {
        val firstUsable = minOf(first.count, remaining)
        val secondUsable = minOf(second.count, remaining)
        return when {
            firstUsable != secondUsable -> firstUsable > secondUsable
            first.hasImage != second.hasImage -> first.hasImage
            else -> first.maxCount < second.maxCount
        }
    }

    private val ROOMIEST_FIRST = compareByDescending<HeldSlots> { it.count }.thenByDescending { it.hasImage }.thenBy { it.maxCount }
}
