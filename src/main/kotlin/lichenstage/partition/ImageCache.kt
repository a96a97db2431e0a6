package lichenstage.partition

/**
 * An estimate of the images in a machine's cache: those that were used there last.
 *
 * @property capacityGb the size of the cache in GB
 */
internal class ImageCache(
    private val capacityGb: Double,
) {
    /** Sizes in GB, the image that was used last at the end. */
    private val sizes = LinkedHashMap<String, Double>()
    private var totalGb = 0.0

    operator fun contains(image: String) = sizes.containsKey(image)

    /** Records a use of [image]; the images that were used longest ago make room. */
    fun recordUse(
        image: String,
        gb: Double,
    ) {
        totalGb += gb - (sizes.remove(image) ?: 0.0)
        sizes[image] = gb
        while (totalGb > capacityGb && sizes.size > 1) totalGb -= sizes.remove(sizes.keys.first())!!
    }

    fun clear() {
        sizes.clear()
        totalGb = 0.0
    }
}
