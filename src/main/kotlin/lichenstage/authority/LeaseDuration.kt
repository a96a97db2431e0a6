package lichenstage.authority

import lichenstage.common.SECOND
import lichenstage.config.Settings

/**
 * How long a process's lease lasts without renewal. Short, since no controller acquires the keys of a dead process before it has expired;
 * but longer than a live one stalls, which it does while it is cold: code is interpreted and compiled while all peers connect anew.
 *
 * Guards against controllers that lose their lease because they are slow: each loss moves their partitions, which makes the others
 * slow in turn. (Seen on Baile's lean "rough" day: eleven failovers within a minute after two crashes.)
 */
internal object LeaseDuration {
    /** Processor time that a cold process spends at a stretch before it looks at its timers again. */
    private const val STALL_CPU_TIME_US = SECOND / 2
    private const val MIN_UNSTALLED_US = 2 * SECOND
    private const val MAX_UNSTALLED_US = 4 * SECOND

    /** The part of a worker's lease where the process does not stall. */
    private const val UNSTALLED_WORKER_LEASE_DIVISOR = 4

    /** In so many parts of a worker's lease: failure detection, failover and the worker's way to its new owner. */
    private const val MAX_WORKER_LEASE_DIVISOR = 3

    /** The duration in microseconds under [settings]. */
    fun of(settings: Settings): Long = of(settings.workerLeaseUs, settings.coreShare)

    /** The duration in microseconds where workers' leases last [workerLeaseUs] and the process gets [coreShare] of a core. */
    fun of(
        workerLeaseUs: Long,
        coreShare: Double,
    ): Long {
        val unstalledUs = (workerLeaseUs / UNSTALLED_WORKER_LEASE_DIVISOR).coerceIn(MIN_UNSTALLED_US, MAX_UNSTALLED_US)
        val stallUs = (STALL_CPU_TIME_US / coreShare).toLong()
        return maxOf(unstalledUs, minOf(stallUs, workerLeaseUs / MAX_WORKER_LEASE_DIVISOR))
    }
}
