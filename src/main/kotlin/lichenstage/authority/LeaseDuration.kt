package lichenstage.authority

import lichenstage.common.SECOND
import lichenstage.config.Settings

/**
 * The duration of a process lease without renewal.
 *
 * The lease is short, since no controller can acquire the keys of a dead process before its lease expires. It must outlast the stalls
 * of a live process, which occur after its start, while its code is interpreted and compiled and all peers reconnect.
 *
 * This guards against controllers that lose their lease because they are slow. Each loss moves their partitions to other controllers and
 * slows those down. Incident (Baile, lean, "rough" day): eleven failovers within a minute after two crashes.
 */
internal object LeaseDuration {
    /** The CPU time that a newly started process uses without a break before it runs its timers again. */
    private const val STALL_CPU_TIME_US = SECOND / 2
    private const val MIN_UNSTALLED_US = 2 * SECOND
    private const val MAX_UNSTALLED_US = 4 * SECOND

    /** Divides the worker lease to get the process lease where stalls are short. */
    private const val UNSTALLED_WORKER_LEASE_DIVISOR = 4

    /**
     * Divides the worker lease to get the maximum process lease. Within one worker lease, the failure must be detected, the partition must
     * fail over and the worker must reach the new owner.
     */
    private const val MAX_WORKER_LEASE_DIVISOR = 3

    /** Returns the duration in microseconds under [settings]. */
    fun of(settings: Settings): Long = of(settings.workerLeaseUs, settings.coreShare)

    /** Returns the duration in microseconds for worker leases of [workerLeaseUs] and a process that gets [coreShare] of a core. */
    fun of(
        workerLeaseUs: Long,
        coreShare: Double,
    ): Long {
        val unstalledUs = (workerLeaseUs / UNSTALLED_WORKER_LEASE_DIVISOR).coerceIn(MIN_UNSTALLED_US, MAX_UNSTALLED_US)
        val stallUs = (STALL_CPU_TIME_US / coreShare).toLong()
        return maxOf(unstalledUs, minOf(stallUs, workerLeaseUs / MAX_WORKER_LEASE_DIVISOR))
    }
}
