package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Settings

/**
 * How long a controller waits before it acquires a key that has no holder. A partition's home controller acquires it at once; others wait
 * a little, in an order that avoids collisions. To lead costs about as much as to own a partition: who holds the fewest keys comes first.
 */
internal class AcquisitionDelay(
    private val settings: Settings,
) {
    private val rank = (settings.peers.map { it.label } + settings.label).sorted().indexOf(settings.label)

    /** This controller's home partition is no larger than the others': it shares its zone, or no controller does. */
    private val isEvenlyShared = isZoneShared() || zoneCount() > peerCount()

    private fun isZoneShared() = settings.peers.any { it.zone == settings.zone }

    private fun zoneCount() = (settings.peers.map { it.zone } + settings.zone).distinct().size

    private fun peerCount() =
        settings.peers
            .map { it.label }
            .distinct()
            .size

    /**
     * The delay in microseconds. [heldKeyCount]: how many keys this controller holds; [home]: the partition's home controller;
     * [isHomeHealthy]: it is reachable and the state service answers it, so that it is about to acquire the partition itself. (Seen on
     * Baile's lean "rough" day: all processes came back within a second, the first acquired two partitions and the leadership, and
     * released the second after 36 s.)
     */
    fun delayUs(
        isLeadership: Boolean,
        heldKeyCount: Int,
        home: String?,
        hasEverBeenOwned: Boolean,
        isHomeHealthy: Boolean,
    ): Long =
        when {
            isLeadership -> {
                heldKeyCount * LEADERSHIP_DELAY_PER_KEY_US + rank * LEADERSHIP_DELAY_PER_RANK_US +
                    if (isEvenlyShared) 0 else UNEVEN_SHARE_DELAY_US
            }

            home == settings.label -> {
                0
            }

            home != null && (!hasEverBeenOwned || isHomeHealthy) -> {
                HOME_FIRST_DELAY_US + rank * HOME_FIRST_DELAY_PER_RANK_US
            }

            else -> {
                FOREIGN_DELAY_US + heldKeyCount * FOREIGN_DELAY_PER_KEY_US + rank * FOREIGN_DELAY_PER_RANK_US
            }
        }

    companion object {
        private const val LEADERSHIP_DELAY_PER_KEY_US = 150 * MILLI
        private const val LEADERSHIP_DELAY_PER_RANK_US = 50 * MILLI
        private const val UNEVEN_SHARE_DELAY_US = 400 * MILLI
        private const val HOME_FIRST_DELAY_US = 6 * SECOND
        private const val HOME_FIRST_DELAY_PER_RANK_US = 200 * MILLI
        private const val FOREIGN_DELAY_US = 200 * MILLI
        private const val FOREIGN_DELAY_PER_KEY_US = 250 * MILLI
        private const val FOREIGN_DELAY_PER_RANK_US = 100 * MILLI
        private const val TOLERATED_LAG_US = 300 * MILLI
        private const val MAX_LAG_DELAY_US = 2 * SECOND

        /**
         * The additional delay of a process whose event loop lags by [lagUs]: it leaves keys to others, its home partition too, which is
         * released to it once it is healthy.
         */
        fun lagDelayUs(lagUs: Long): Long = (lagUs - TOLERATED_LAG_US).coerceIn(0, MAX_LAG_DELAY_US)
    }
}
