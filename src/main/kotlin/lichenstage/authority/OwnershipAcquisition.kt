package lichenstage.authority

import kotlinx.coroutines.delay
import lichenstage.common.Clock
import lichenstage.common.EventLoopLag
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.Settings
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.Precondition
import lichenstage.state.TransactionResult
import org.slf4j.LoggerFactory

/** The acquisition of leadership and partitions that no controller owns, each under a new term (invariant 1). */
internal class OwnershipAcquisition(
    private val settings: Settings,
    private val store: KeyValueStoreClient,
    private val clock: Clock,
    private val lease: ProcessLease,
    private val table: OwnershipTable,
    private val localOwnerships: LocalOwnerships,
    private val isPeerHealthy: (String) -> Boolean,
    private val onChange: () -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.authority")
    private val keys = settings.assignment.partitions.map(OwnershipRecords::partitionKey) + OwnershipRecords.LEADER_KEY
    private val acquisitionDelay = AcquisitionDelay(settings)
    private val lag = EventLoopLag()

    /** The moratoriums granted by this process, on which other controllers rely. While one is in force, it acquires nothing. */
    val localMoratorium = LocalMoratorium(clock.now())

    /** The times since which keys have had no owner, by key. A deferred key has a time in the future. */
    private val unownedSinceUs = HashMap<String, Long>()
    private val acquiredAtUs = HashMap<String, Long>()

    /** The time of the last acquisition with an unknown outcome. It may still succeed later. */
    private var lastIndeterminateAtUs = Long.MIN_VALUE / 2

    /** Whether a transaction that acquires a key is in progress. */
    var isInProgress = false
        private set

    /** Whether any key has no owner according to the records that this process has seen. */
    val isAnyKeyUnowned: Boolean get() = unownedSinceUs.isNotEmpty()

    /** Returns whether a transaction that this process has sent may still acquire a key at [nowUs]. */
    fun mayStillSucceed(nowUs: Long) = isInProgress || nowUs - lastIndeterminateAtUs < MAX_COMMIT_DELAY_US

    /** Returns the time in microseconds since this process acquired [key]. */
    fun ownershipDurationUs(key: String): Long = clock.now() - (acquiredAtUs[key] ?: 0)

    /** Leaves a key to other controllers: the acquisition delay of this process starts only after [delayUs]. */
    fun defer(
        key: String,
        delayUs: Long,
    ) {
        unownedSinceUs[key] = clock.now() + delayUs
    }

    /** Acquires unowned keys every [CHECK_INTERVAL_MS]. Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val dueUs = clock.now() + CHECK_INTERVAL_MS * MILLI
            delay(CHECK_INTERVAL_MS)
            lag.onTimerFired(dueUs, clock.now())
            acquireUnownedKeys()
        }
    }

    /** Acquires each key that has had no owner for at least the acquisition delay of this process. */
    suspend fun acquireUnownedKeys() {
        if (!table.isLoaded || !lease.isValid()) return
        val nowUs = clock.now()
        for (key in keys) {
            if (key in table) {
                unownedSinceUs.remove(key)
                continue
            }
            val sinceUs = unownedSinceUs.getOrPut(key) { nowUs }
            if (nowUs - sinceUs >= delayUs(key)) acquire(key)
        }
    }

    private fun delayUs(key: String): Long {
        val homeController = settings.assignment.homeController(OwnershipRecords.partitionOf(key))
        val isHomeHealthy = homeController != null && homeController != settings.label && isPeerHealthy(homeController)
        val isLeadership = key == OwnershipRecords.LEADER_KEY
        return acquisitionDelay.delayUs(
            isLeadership,
            localOwnerships.recordedKeyCount,
            homeController,
            table.hasEverBeenOwned(key),
            isHomeHealthy,
        ) +
            AcquisitionDelay.lagDelayUs(lag.currentUs)
    }

    private suspend fun acquire(key: String) {
        val leaseId = lease.id ?: return
        if (isInProgress || !localMoratorium.hasExpired(clock.now())) return
        isInProgress = true
        try {
            val counter = table.nextCounter(key)
            val counterEntry = Change.Put(OwnershipRecords.TERM_COUNTER_KEY, OwnershipRecords.encodeTermCounter(counter))
            val ownership = Change.Put(key, OwnershipRecords.encodeOwnership(settings.label, counter.term, leaseId), leaseId)
            val counterRevision = table.modRevision(OwnershipRecords.TERM_COUNTER_KEY) ?: Precondition.ABSENT
            val preconditions = listOf(Precondition(OwnershipRecords.TERM_COUNTER_KEY, counterRevision), Precondition.absent(key))
            val result = store.commit(preconditions, listOf(counterEntry, ownership))
            if (result is TransactionResult.Committed) {
                log.info("Ownership acquired key={} term={}", key, counter.term)
                onAcquired(counterEntry, ownership, result.revision)
            } else {
                unownedSinceUs[key] = clock.now()
                if (result is TransactionResult.Indeterminate) lastIndeterminateAtUs = clock.now()
            }
        } finally {
            isInProgress = false
        }
    }

    private fun onAcquired(
        counter: Change.Put,
        ownership: Change.Put,
        revision: Long,
    ) {
        table.put(Entry(counter.key, counter.value, revision))
        table.put(Entry(ownership.key, ownership.value, revision))
        unownedSinceUs.remove(ownership.key)
        acquiredAtUs[ownership.key] = clock.now()
        onChange()
    }

    private companion object {
        const val CHECK_INTERVAL_MS = 200L

        /** The time after which a transaction with an unknown outcome is no longer expected to be applied. */
        const val MAX_COMMIT_DELAY_US = 120 * SECOND
    }
}
