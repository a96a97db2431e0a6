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
    private val sizesGb = LinkedHashMap<String, Double>()
    private var totalGb = 0.0

    operator fun contains(image: String) = sizesGb.containsKey(image)

    /** Records a use of [image]; the images that were used longest ago make room. */
    fun recordUse(
        image: String,
        sizeGb: Double,
    ) {
        totalGb += sizeGb - (sizesGb.remove(image) ?: 0.0)
        sizesGb[image] = sizeGb
        while (totalGb > capacityGb && sizesGb.size > 1) totalGb -= sizesGb.remove(sizesGb.keys.first())!!
    }

    fun clear() {
        sizesGb.clear()
        totalGb = 0.0
    }
}
