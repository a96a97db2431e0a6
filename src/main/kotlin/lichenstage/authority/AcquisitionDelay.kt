package lichenstage.authority

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Settings

/**
 * How long a controller waits before it takes a key that nobody holds. A partition's own controller takes it at once; others wait a
 * little, in an order that avoids collisions. To lead costs about as much as a partition: who has little else to do comes first.
 */
internal class AcquisitionDelay(
    private val settings: Settings,
) {
    private val rank = (settings.peers.map { it.label } + settings.label).sorted().indexOf(settings.label)

    /** Its own partition is no larger than the others': it shares its zone, or nobody does. */
    private val evenlyShared =
        settings.peers.any { it.zone == settings.zone } ||
            (settings.peers.map { it.zone } + settings.zone).distinct().size >
            settings.peers
                .map { it.label }
                .distinct()
                .size

    /**
     * [held]: how many keys this process holds; [home]: the controller that normally owns the partition; [homeIsHealthy]: it is in reach and
     * the state service answers it, so that it is about to take the partition itself. (Seen on Baile's lean "rough" day: all processes came
     * back within a second, the first took two partitions and the leadership, and gave the second back after 36 s.)
     */
    fun delayUs(
        leadership: Boolean,
        held: Int,
        home: String?,
        everOwned: Boolean,
        homeIsHealthy: Boolean,
    ): Long =
        when {
            leadership -> held * 150 * MILLI + rank * 50 * MILLI + if (evenlyShared) 0 else 400 * MILLI
            home == settings.label -> 0
            home != null && (!everOwned || homeIsHealthy) -> FIRST_PATIENCE_US + rank * 200 * MILLI
            else -> 200 * MILLI + held * 250 * MILLI + rank * 100 * MILLI
        }

    companion object {
        private const val FIRST_PATIENCE_US = 6 * SECOND
        private const val TOLERATED_LAG_US = 300 * MILLI
        private const val MOST_LAG_PATIENCE_US = 2 * SECOND

        /** A process that runs late leaves keys to others that don't, its own partition too: it gets that back once it is well. */
        fun lagDelayUs(lagUs: Long): Long = (lagUs - TOLERATED_LAG_US).coerceIn(0, MOST_LAG_PATIENCE_US)
    }
}
