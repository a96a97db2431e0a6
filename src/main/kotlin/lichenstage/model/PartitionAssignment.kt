package lichenstage.model

/**
 * How the machines are partitioned: a zone has one partition for each controller in it, and one where it has none.
 *
 * The part of a machine follows from its zone and its name alone, so that every controller sees the same without a table.
 * [controllers] are the labels of all controllers with their zones, as every controller's settings name them.
 */
class PartitionAssignment(
    zones: Collection<String>,
    controllers: Map<String, String>,
) {
    private val homeByPartition = LinkedHashMap<String, String?>()
    private val zoneByPartition = HashMap<String, String>()
    private val partitionsByZone = LinkedHashMap<String, List<String>>()

    init {
        for (zone in zones.sorted()) {
            val zoneControllers = controllers.filterValues { it == zone }.keys.sorted()
            partitionsByZone[zone] =
                List(maxOf(zoneControllers.size, 1)) { index ->
                    "$zone/$index".also {
                        homeByPartition[it] = zoneControllers.getOrNull(index)
                        zoneByPartition[it] = zone
                    }
                }
        }
    }

    val partitions: List<String> = homeByPartition.keys.toList()

    /** The controller that normally owns the partition; null where its zone has none. */
    fun homeController(partition: String): String? = homeByPartition[partition]

    /** The zone of a partition; null for one that the deployment does not have. */
    fun zoneOf(partition: String): String? = zoneByPartition[partition]

    /** Null for a zone that the deployment does not have. */
    fun partitionOf(
        machine: String,
        zone: String,
    ): String? {
        val partitions = partitionsByZone[zone] ?: return null
        return if (partitions.size == 1) partitions[0] else partitions[Math.floorMod(mixedHash(machine), partitions.size)]
    }

    /** Mixes the hash of a name: names that differ only in their last digit must not fall into one partition. */
    private fun mixedHash(name: String): Int {
        var hash = name.hashCode()
        hash = (hash xor (hash ushr FIRST_SHIFT)) * FIRST_FACTOR
        hash = (hash xor (hash ushr SECOND_SHIFT)) * SECOND_FACTOR
        return hash xor (hash ushr FIRST_SHIFT)
    }

    /** The finalizer of MurmurHash3. All versions must agree on it: it decides to which partition a machine belongs. */
    private companion object {
        const val FIRST_SHIFT = 16
        const val SECOND_SHIFT = 13
        const val FIRST_FACTOR = -0x7a143595
        const val SECOND_FACTOR = -0x3d4d51cb
    }
}
