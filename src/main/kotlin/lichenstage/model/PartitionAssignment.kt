package lichenstage.model

/**
 * The assignment of machines to partitions, and of partitions to their home controllers. A zone has one partition for each controller in
 * it, or one partition if it has no controller.
 *
 * The partition of a machine depends only on the zone and the name of the machine, so all controllers agree on it without a shared table.
 *
 * @param controllers the zone of each controller by the controller's label; the settings of all controllers contain the same zones
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

    /** The ids of all partitions, in the order of their zones. */
    val partitions: List<String> = homeByPartition.keys.toList()

    /** Returns the label of the controller that normally owns the partition; null if its zone has no controller. */
    fun homeController(partition: String): String? = homeByPartition[partition]

    /** Returns the zone of a partition; null if the deployment has no such partition. */
    fun zoneOf(partition: String): String? = zoneByPartition[partition]

    /** Returns the id of the partition of a machine; null if the deployment has no such zone. */
    fun partitionOf(
        machine: String,
        zone: String,
    ): String? {
        val partitions = partitionsByZone[zone] ?: return null
        return if (partitions.size == 1) partitions[0] else partitions[Math.floorMod(mixedHash(machine), partitions.size)]
    }

    /**
     * Returns a well-mixed hash of a name, so that names that differ only in their last digits are spread over the partitions of a zone.
     */
    private fun mixedHash(name: String): Int {
        var hash = name.hashCode()
        hash = (hash xor (hash ushr FIRST_SHIFT)) * FIRST_FACTOR
        hash = (hash xor (hash ushr SECOND_SHIFT)) * SECOND_FACTOR
        return hash xor (hash ushr FIRST_SHIFT)
    }

    /** Constants of the MurmurHash3 finalizer. They must never change, because all versions must assign a machine to the same partition. */
    private companion object {
        const val FIRST_SHIFT = 16
        const val SECOND_SHIFT = 13
        const val FIRST_FACTOR = -0x7a143595
        const val SECOND_FACTOR = -0x3d4d51cb
    }
}
