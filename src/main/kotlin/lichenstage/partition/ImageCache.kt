package lichenstage.partition

/**
 * An estimate of the images in a machine's cache. It assumes that the cache keeps the most recently used images.
 *
 * @property capacityGb the size of the cache in GB
 */
internal class ImageCache(
    private val capacityGb: Double,
) {
    /** The size of each image in GB. The most recently used image comes last. */
    private val sizesGb = LinkedHashMap<String, Double>()
    private var totalGb = 0.0

    operator fun contains(image: String) = sizesGb.containsKey(image)

    /** Records a use of [image] and evicts the least recently used images if the cache is full. The image itself is never evicted. */
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
