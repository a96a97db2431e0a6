package lichenstage.authority

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.cluster.Frame
import lichenstage.cluster.MoratoriumGrant
import lichenstage.cluster.MoratoriumRequest
import lichenstage.common.Clock
import lichenstage.common.EventLoopLag
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.common.timeOfDayUs
import lichenstage.config.Settings
import lichenstage.state.Change
import lichenstage.state.Entry
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.LeaseGrant
import lichenstage.state.LeaseRenewal
import lichenstage.state.Precondition
import lichenstage.state.ScanResult
import lichenstage.state.TransactionResult
import lichenstage.state.WatchResult
import org.slf4j.LoggerFactory

/** Who leads and who owns which partition, as last seen. */
data class OwnershipView(
    val leader: Holder?,
    val owners: Map<String, Holder>,
)

/**
 * The process's lease, and the keys that hang on it: leadership and the ownership of partitions.
 *
 * Every ownership takes a new term from one counter in the same guarded transaction (invariant 1), and the lease is
 * counted from the sending of the last renewal that succeeded, less drift and a margin (invariant 2). While the state
 * service is away from all, it goes on for as long as all other controllers pledge to take nothing ([PeerMoratoriums]), else it pauses;
 * where the service comes back with the lease alive, nobody else can have held the keys.
 */
class Authority(
    private val settings: Settings,
    private val state: KeyValueStoreClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val send: (String, Frame) -> Unit,
    /** Another controller is in reach, and the state service answers it. */
    private val isWell: (String) -> Boolean,
    private val changed: (OwnershipView) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.authority")
    private val lifeUs = LeaseDuration.of(settings)
    private val renewalUs = minOf(lifeUs / 5, LONGEST_RENEWAL_US)
    private val lag = EventLoopLag()
    private val lease = LocalLease(lifeUs)
    private var renewedUs = Long.MIN_VALUE / 2
    private val incarnation = timeOfDayUs()
    private val others = settings.peers.map { it.label }.toSet()

    /** Where the seeds leave somebody out, nobody can pledge for all. */
    private val peerMoratoriums = PeerMoratoriums(if (settings.count == others.size + 1) others else emptySet())
    private val localMoratorium = LocalMoratorium(clock.now())

    /** A try to take a key had no answer at this time: it may still succeed. */
    private var lastIndeterminateUs = Long.MIN_VALUE / 2
    private val assignment = settings.assignment
    private val partitionKeys = assignment.partitions.map { PARTITION + it }
    private val keys = OwnershipTable()
    private val tokenReservation = FencingTokenReservation(state, keys)
    private val acquisitionOrder = AcquisitionDelay(settings)
    private val missingSinceUs = HashMap<String, Long>()
    private val takenUs = HashMap<String, Long>()
    private var watching = false

    /** Stamps of ownerships that this process has let go of. */
    private val relinquished = HashSet<Long>()

    /** True while this process may act on what it holds. Asked again at the moment of every answer. */
    fun hasAuthority() = lease.isValid(clock.now())

    /** The last renewal had no answer. */
    private var unanswered = false

    /** A renewal was answered not long ago. */
    fun isStateServiceAvailable() = lease.id != null && clock.now() - renewedUs < renewalUs + SECOND

    /** This process's leadership while it may act on it, else null. */
    fun heldLeadership(): Holder? = heldByThisProcess(LEADER)

    /** This process's ownership of a partition while it may act on it, else null. */
    fun heldPartition(partition: String): Holder? = heldByThisProcess(PARTITION + partition)

    /** Who owns a partition, as last seen. */
    fun ownerOf(partition: String): Holder? = holder(PARTITION + partition)

    /** Who leads and who owns which partition, as last seen. */
    fun ownership() =
        OwnershipView(
            holder(LEADER),
            assignment.partitions
                .mapNotNull { partition ->
                    holder(PARTITION + partition)?.let {
                        partition to it
                    }
                }.toMap(),
        )

    /** True once this process has seen the state of the keys at least once. */
    fun isReady() = watching && hasAuthority()

    /** Keeps the lease, follows the keys and takes what nobody holds. */
    fun start() {
        scope.launch { keepLease() }
        scope.launch { watch() }
        scope.launch { requestMoratoriums() }
        scope.launch {
            while (true) {
                val dueUs = clock.now() + LOOK_MS * MILLI
                delay(LOOK_MS)
                lag.ran(dueUs, clock.now())
                acquireMissing()
            }
        }
    }

    /**
     * While the state service answers nobody, all others are asked to take no key. Who has the service's answer, or may have a
     * transaction under way, does not promise: it may see our lease end and take over. One renewal without an answer is enough to
     * promise: who was refused alone before the others has little of its lease left when they notice.
     */
    private suspend fun requestMoratoriums() {
        while (true) {
            delay(PLEDGE_REQUEST_MS)
            if (isStateServiceAvailable() || !hasAuthority()) continue
            val question = MoratoriumRequest(incarnation, clock.now())
            others.forEach { send(it, question) }
        }
    }

    /** Another controller asks for a pledge; it is given only where this one can neither have nor take its keys. */
    fun onMoratoriumRequest(
        from: String,
        question: MoratoriumRequest,
    ) {
        val now = clock.now()
        if ((isStateServiceAvailable() && !unanswered) || acquiring || now - lastIndeterminateUs < INDETERMINATE_US) return
        localMoratorium.grant(now)
        send(from, MoratoriumGrant(question.incarnation, question.askedUs))
    }

    /** Another controller's pledge. */
    fun onMoratoriumGrant(
        from: String,
        answer: MoratoriumGrant,
    ) {
        if (answer.incarnation != incarnation) return
        peerMoratoriums.granted(from, answer.askedUs)
        lease.extendedByMoratoriums(peerMoratoriums.grantedUntilUs(), clock.now())
    }

    private fun heldByThisProcess(key: String) =
        holder(key)?.takeIf { it.label == settings.label && it.lease == lease.id && it.modRevision !in relinquished && hasAuthority() }

    private fun holder(key: String): Holder? = keys.holder(key)

    private suspend fun keepLease() {
        while (true) {
            val held = lease.id
            val sentUs = clock.now()
            if (held == null) {
                val grant = state.grantLease(lifeUs)
                if (grant is LeaseGrant.Granted) {
                    extended { lease.granted(grant.lease, sentUs) }
                    log.info("process lease {} granted", grant.lease)
                }
                delay(300)
            } else {
                when (state.renewLease(held)) {
                    LeaseRenewal.RENEWED -> {
                        extended { lease.renewed(sentUs) }
                    }

                    LeaseRenewal.EXPIRED -> {
                        log.info("process lease {} has ended", held)
                        lease.ended()
                        changed(ownership())
                        continue
                    }

                    LeaseRenewal.INDETERMINATE -> {
                        unanswered = true
                        log.info("process lease {} not renewed", held)
                    }
                }
                delay(if (hasAuthority() && clock.now() - sentUs < SECOND) renewalUs / MILLI else 300)
            }
        }
    }

    private fun extended(extend: () -> Unit) {
        val wasEntitled = hasAuthority()
        extend()
        renewedUs = clock.now()
        unanswered = false
        if (!wasEntitled) changed(ownership())
    }

    private suspend fun watch() {
        while (true) {
            val scan = state.scan(PREFIX)
            if (scan !is ScanResult.Complete) {
                delay(300)
                continue
            }
            keys.reset(scan.entries, scan.revision)
            if (!watching) revokePredecessor()
            watching = true
            changed(ownership())
            follow(scan.revision)
        }
    }

    /** Until the keys have to be read whole again. */
    private suspend fun follow(from: Long) {
        var since = from
        while (true) {
            when (val seen = state.watch(PREFIX, since, WATCH_MS)) {
                is WatchResult.Events -> {
                    since = seen.revision
                    take(seen)
                }

                WatchResult.Compacted -> {
                    return
                }

                WatchResult.Unavailable -> {
                    delay(UNAVAILABLE_MS)
                }
            }
        }
    }

    private suspend fun take(events: WatchResult.Events) {
        keys.change(events.puts, events.deletes)
        if (events.puts.isEmpty() && events.deletes.isEmpty()) return
        changed(ownership())
        acquireMissing()
    }

    /**
     * A process of this label that ran before is dead, or this one would not have been started: its lease is ended at
     * once so that nobody waits for it.
     */
    private suspend fun revokePredecessor() {
        val old = keys.holdersInForce.filter { it.label == settings.label }.map { it.lease }
        for (leaseId in old.distinct()) if (leaseId != lease.id) state.revokeLease(leaseId)
    }

    /**
     * Lets go of a partition whose own controller is well again: in its zone it reaches the workers even when the zone is cut off.
     *
     * Authority ends here before the delete is sent, and does not come back whatever becomes of it (invariant 2): an answer
     * to a worker after the new owner has begun would extend a lease that the new owner counts as run out. A delete without
     * an answer is sent again until the key is gone, or the partition would be nobody's.
     */
    suspend fun releasePartition(partition: String) {
        val held = heldPartition(partition) ?: return
        val key = PARTITION + partition
        // If its own controller does not take it although it seems well, the partition must not go round and round.
        if (clock.now() - (takenUs[key] ?: 0) < LEAST_HELD_US) return
        relinquished += held.modRevision
        changed(ownership())
        while (keys.modRevision(key) == held.modRevision) {
            if (state.commit(listOf(Precondition(key, held.modRevision)), listOf(Change.Delete(key))) is TransactionResult.Committed) {
                if (keys.modRevision(key) == held.modRevision) keys.remove(key, held.modRevision + 1)
            } else {
                delay(300)
            }
        }
        log.info("gave {} back to its own controller", key)
        // The home controller takes it at once; this one would only after a while.
        missingSinceUs[key] = clock.now() + HOME_FIRST_US
        changed(ownership())
    }

    private suspend fun acquireMissing() {
        if (!isReady()) return
        val now = clock.now()
        for (key in partitionKeys + LEADER) {
            if (key in keys) {
                missingSinceUs.remove(key)
                continue
            }
            val since = missingSinceUs.getOrPut(key) { now }
            if (now - since >= patience(key)) acquire(key)
        }
    }

    private fun patience(key: String): Long {
        val held = keys.holdersInForce.count { it.label == settings.label }
        val home = assignment.home(key.removePrefix(PARTITION))
        val homeIsHealthy = home != null && home != settings.label && isWell(home)
        return acquisitionOrder.delayUs(key == LEADER, held, home, keys.everOwned(key), homeIsHealthy) +
            AcquisitionDelay.lagDelayUs(lag.us)
    }

    /**
     * Tokens above all that were ever given out, for the owner of [partition] alone; null where they can't be had now. Where it is not
     * [isUrgent], not while a key is nobody's: who takes it needs the same counter.
     */
    suspend fun reserveFencingTokens(
        partition: String,
        count: Int,
        isUrgent: Boolean,
    ): LongRange? {
        val held = heldPartition(partition) ?: return null
        if (acquiring || (missingSinceUs.isNotEmpty() && !isUrgent)) return null
        return tokenReservation.reserve(PARTITION + partition, held, count)
    }

    private var acquiring = false

    private suspend fun acquire(key: String) {
        val held = lease.id ?: return
        if (acquiring || !localMoratorium.hasExpired(clock.now())) return
        acquiring = true
        try {
            val counter = keys.nextTerm(key)
            val value = JsonObject().put("label", settings.label).put("term", counter.term).put("lease", held)
            val preconditions =
                listOf(
                    Precondition(OwnershipTable.TERMS, keys.modRevision(OwnershipTable.TERMS) ?: Precondition.ABSENT),
                    Precondition.absent(key),
                )
            val changes = listOf(Change.Put(OwnershipTable.TERMS, counter.encode()), Change.Put(key, value, held))
            val outcome = state.commit(preconditions, changes)
            if (outcome is TransactionResult.Committed) {
                log.info("took {} under term {}", key, counter.term)
                keys.put(Entry(OwnershipTable.TERMS, counter.encode(), outcome.revision))
                keys.put(Entry(key, value, outcome.revision))
                missingSinceUs.remove(key)
                takenUs[key] = clock.now()
                changed(ownership())
            } else {
                missingSinceUs[key] = clock.now()
                if (outcome is TransactionResult.Indeterminate) lastIndeterminateUs = clock.now()
            }
        } finally {
            acquiring = false
        }
    }

    companion object {
        const val PREFIX = "c/"
        const val LEADER = "c/leader"
        const val PARTITION = "c/part/"
        private const val PLEDGE_REQUEST_MS = 400L
        private const val LOOK_MS = 200L

        /** A lease that lasts longer is renewed no less often: that is how an outage is noticed. */
        private const val LONGEST_RENEWAL_US = 800 * MILLI
        private const val WATCH_MS = 10_000L
        private const val UNAVAILABLE_MS = 250L
        private const val INDETERMINATE_US = 120 * SECOND
        private const val LEAST_HELD_US = 12 * SECOND
        private const val HOME_FIRST_US = 3 * SECOND
    }
}
