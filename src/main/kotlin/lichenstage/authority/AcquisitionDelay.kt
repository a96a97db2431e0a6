package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Settings

/**
 * The delay before a controller acquires a key that has no owner.
 *
 * The home controller of a partition acquires it at once. Other controllers wait for different times, to avoid concurrent acquisitions.
 * Leadership costs about as much as the ownership of a partition, so controllers that own fewer keys wait less.
 */
internal class AcquisitionDelay(
    private val settings: Settings,
) {
    private val rank = (settings.peers.map { it.label } + settings.label).sorted().indexOf(settings.label)

    /**
     * Whether the home partition of this controller is no larger than those of other controllers. This is the case if another controller
     * is in the same zone, or if no two controllers are in the same zone.
     */
    private val isEvenlyShared = isZoneShared() || zoneCount() > peerCount()

    private fun isZoneShared() = settings.peers.any { it.zone == settings.zone }

    private fun zoneCount() = (settings.peers.map { it.zone } + settings.zone).distinct().size

    private fun peerCount() =
        settings.peers
            .map { it.label }
            .distinct()
            .size

    /**
     * Returns the delay in microseconds.
     *
     * While the home controller is healthy, this controller waits longer, because the home controller is about to acquire the partition
     * itself. The wait avoids a second change of owner. Incident (Baile, lean, "rough" day): all processes restarted within a second. The
     * first one acquired two partitions and the leadership, and released the second partition after 36 s.
     *
     * @param ownedKeyCount the number of keys that this controller owns
     * @param homeController the home controller of the partition; null if there is none
     * @param isHomeHealthy whether the home controller is reachable and receives replies from the state service
     */
    fun delayUs(
        isLeadership: Boolean,
        ownedKeyCount: Int,
        homeController: String?,
        hasEverBeenOwned: Boolean,
        isHomeHealthy: Boolean,
    ): Long =
        when {
            isLeadership -> {
                ownedKeyCount * LEADERSHIP_PER_KEY_US + rank * LEADERSHIP_PER_RANK_US +
                    if (isEvenlyShared) 0 else UNEVEN_SHARE_US
            }

            homeController == settings.label -> {
                0
            }

            homeController != null && (!hasEverBeenOwned || isHomeHealthy) -> {
                HOME_FIRST_US + rank * HOME_FIRST_PER_RANK_US
            }

            else -> {
                FOREIGN_US + ownedKeyCount * FOREIGN_PER_KEY_US + rank * FOREIGN_PER_RANK_US
            }
        }

    companion object {
        private const val LEADERSHIP_PER_KEY_US = 150 * MILLI
        private const val LEADERSHIP_PER_RANK_US = 50 * MILLI
        private const val UNEVEN_SHARE_US = 400 * MILLI
        private const val HOME_FIRST_US = 6 * SECOND
        private const val HOME_FIRST_PER_RANK_US = 200 * MILLI
        private const val FOREIGN_US = 200 * MILLI
        private const val FOREIGN_PER_KEY_US = 250 * MILLI
        private const val FOREIGN_PER_RANK_US = 100 * MILLI
        private const val TOLERATED_LAG_US = 300 * MILLI
        private const val MAX_LAG_DELAY_US = 2 * SECOND

        /**
         * Returns the additional delay of a process whose event loop lags by [lagUs], in microseconds. It lets other controllers acquire
         * keys first, including the key of its home partition. The new owner releases this partition once this process is healthy.
         */
        fun lagDelayUs(lagUs: Long): Long = (lagUs - TOLERATED_LAG_US).coerceIn(0, MAX_LAG_DELAY_US)
    }
}
