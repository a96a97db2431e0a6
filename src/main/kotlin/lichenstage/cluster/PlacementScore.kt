package lichenstage.cluster

/**
 * The worst-fit order of machines (the "roomiest offer" of the paper that docs/design.md follows). Partitions use it to hold capacity, and
 * the leader uses it to choose among offers.
 *
 * Free capacity is counted in tasks of the request, up to the number of tasks still to place: two machines that can each take all of
 * these tasks rank equal. Among equals, machines with the image come first, since fetching an image takes as long as many tasks run. The
 * fullest machines come next, so that small tasks don't take the last empty machines from large ones.
 */
object PlacementScore {
    /** Returns slots for up to [count] tasks on the roomiest of [offers], filling each machine before the next. */
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
        // While the roomiest machine is filled completely, the order does not depend on the remaining number of tasks.
        while (next < sorted.size && sorted[next].count <= remaining && remaining > 0) {
            val slots = sorted[next++]
            selected += slots
            remaining -= slots.count
        }
        // Machines that can take all remaining tasks rank equal, so the order now depends on the remaining number.
        while (remaining > 0 && next < sorted.size) {
            var best = next
            for (i in next + 1 until sorted.size) if (isRoomier(sorted[i], sorted[best], remaining)) best = i
            val bestSlots = sorted[best]
            sorted[best] = sorted[next]
            next++
            val taken = minOf(bestSlots.count, remaining)
            selected += if (taken == bestSlots.count) bestSlots else bestSlots.copy(count = taken)
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
