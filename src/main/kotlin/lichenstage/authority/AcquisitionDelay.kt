package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Settings

/**
 * The delay before a controller acquires a key that has no holder.
 *
 * The home controller of a partition acquires it at once. Other controllers wait for different times, to avoid concurrent acquisitions.
 * Leadership costs about as much as the ownership of a partition, so controllers that hold fewer keys wait less.
 */
internal class AcquisitionDelay(
    private val settings: Settings,
) {
    private val rank = (settings.peers.map { it.label } + settings.label).sorted().indexOf(settings.label)

    /** Whether the home partition of this controller is no larger than others: the controller shares its zone, or no controllers do. */
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
     * [heldCount] is the number of keys that this controller holds, and [home] the home controller of the partition; null if there is
     * none. [isHomeHealthy] says that the home controller is reachable and receives replies from the state service: it is about to acquire
     * the partition itself. Waiting for it avoids a second change of owner. (Seen on Baile's lean "rough" day: all processes restarted
     * within a second, the first one acquired two partitions and the leadership, and released the second partition after 36 s.)
     */
    fun delayUs(
        isLeadership: Boolean,
        heldCount: Int,
        home: String?,
        hasEverBeenOwned: Boolean,
        isHomeHealthy: Boolean,
    ): Long =
        when {
            isLeadership -> heldCount * LEADERSHIP_PER_KEY_US + rank * LEADERSHIP_PER_RANK_US + if (isEvenlyShared) 0 else UNEVEN_SHARE_US
            home == settings.label -> 0
            home != null && (!hasEverBeenOwned || isHomeHealthy) -> HOME_FIRST_US + rank * HOME_FIRST_PER_RANK_US
            else -> FOREIGN_US + heldCount * FOREIGN_PER_KEY_US + rank * FOREIGN_PER_RANK_US
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
