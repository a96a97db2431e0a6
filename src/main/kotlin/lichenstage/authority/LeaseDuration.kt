package lichenstage.authority

import lichenstage.common.SECOND
import lichenstage.config.Settings

/**
 * How long a process's lease lasts. Short, since nobody takes over from a dead process before it has ended; but longer than a live one
 * stalls, which it does at most while it is cold: code is interpreted and compiled while everybody connects anew.
 *
 * Guards against controllers that lose their lease because they are slow: each loss moves their partitions, which makes the others
 * slow in turn. (Seen on Baile's lean "rough" day: eleven takeovers within a minute after two crashes.)
 */
internal object LeaseDuration {
    /** Processor time that a cold process spends at a stretch before it looks at its timers again. */
    private const val STALL_CORE_US = SECOND / 2
    private const val SHORTEST_US = 2 * SECOND
    private const val LONGEST_UNSTALLED_US = 4 * SECOND

    /** In so many parts of a worker's lease: detection, takeover and the worker's way to its new owner. */
    private const val PARTS_OF_WORKER_LEASE = 3

    /** The life of the lease under [settings]. */
    fun of(settings: Settings): Long = of(settings.workerLeaseUs, settings.coreShare)

    /** The life of the lease where workers' leases last [workerLeaseUs] and the process gets [coreShare] of a core. */
    fun of(
        workerLeaseUs: Long,
        coreShare: Double,
    ): Long {
        val unstalledUs = (workerLeaseUs / 4).coerceIn(SHORTEST_US, LONGEST_UNSTALLED_US)
        val stallUs = (STALL_CORE_US / coreShare).toLong()
        return maxOf(unstalledUs, minOf(stallUs, workerLeaseUs / PARTS_OF_WORKER_LEASE))
    }
}
