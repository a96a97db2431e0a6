package lichenstage.authority

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.app.Clock
import lichenstage.app.JsonHttp.Companion.parsed
import lichenstage.app.MILLI
import lichenstage.app.SECOND
import lichenstage.app.Settings
import lichenstage.cluster.Frame
import lichenstage.cluster.Pledge
import lichenstage.cluster.PledgeRequest
import lichenstage.state.Change
import lichenstage.state.Committed
import lichenstage.state.Entry
import lichenstage.state.StateClient
import lichenstage.state.Watched
import org.slf4j.LoggerFactory
import java.util.concurrent.TimeUnit

/** Who holds a key, under which term and process lease. */
data class Holder(
    val label: String,
    val term: Long,
    val lease: Long,
    val stamp: Long,
)

/** Who leads and who owns which part, as last seen. */
data class View(
    val leader: Holder?,
    val owners: Map<String, Holder>,
)

/**
 * The process's lease, and the keys that hang on it: leadership and the ownership of parts.
 *
 * Every ownership takes a new term from one counter in the same guarded transaction (invariant 1), and the lease is
 * counted from the sending of the last renewal that succeeded, less drift and a margin (invariant 2). While the state
 * service is away from all, it goes on for as long as all other controllers promise to take nothing ([CollectedPledges]), else it pauses;
 * where the service comes back with the lease alive, nobody else can have held the keys.
 */
class Authority(
    private val settings: Settings,
    private val state: StateClient,
    private val clock: Clock,
    private val scope: CoroutineScope,
    private val send: (String, Frame) -> Unit,
    private val changed: (View) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.authority")
    private val lifeUs = (settings.workerLeaseUs / 4).coerceIn(2 * SECOND, 4 * SECOND)
    private val lease = LocalLease(lifeUs)
    private var renewedUs = Long.MIN_VALUE / 2
    private val incarnation = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis())
    private val others = settings.peers.map { it.label }.toSet()

    /** Where the seeds leave somebody out, nobody can promise for all. */
    private val collectedPledges = CollectedPledges(if (settings.count == others.size + 1) others else emptySet())
    private val ownPledge = OwnPledge(clock.now())

    /** A try to take a key had no answer at this time: it may still succeed. */
    private var unclearUs = Long.MIN_VALUE / 2
    private val assignment = settings.assignment
    private val partitionKeys = assignment.partitions.map { PARTITION + it }
    private val keys = HashMap<String, Entry>()

    /** [keys] as holders, read once: they are asked for at every report. */
    private val holders = HashMap<String, Holder>()
    private val missingSinceUs = HashMap<String, Long>()
    private val takenUs = HashMap<String, Long>()
    private var watching = false

    /** Stamps of ownerships that this process has let go of. */
    private val givenUp = HashSet<Long>()

    /** True while this process may act on what it holds. Asked again at the moment of every answer. */
    fun entitled() = lease.valid(clock.now())

    /** The last renewal had no answer. */
    private var unanswered = false

    /** A renewal was answered not long ago. */
    fun stateAnswers() = lease.id != null && clock.now() - renewedUs < lifeUs / 5 + SECOND

    fun leading(): Holder? = mine(LEADER)

    fun owning(partition: String): Holder? = mine(PARTITION + partition)

    fun owner(partition: String): Holder? = holder(PARTITION + partition)

    fun view() =
        View(
            holder(LEADER),
            assignment.partitions
                .mapNotNull { partition ->
                    holder(PARTITION + partition)?.let {
                        partition to it
                    }
                }.toMap(),
        )

    /** True once this process has seen the state of the keys at least once. */
    fun ready() = watching && entitled()

    fun start() {
        scope.launch { keepLease() }
        scope.launch { watch() }
        scope.launch { requestPledges() }
        scope.launch {
            while (true) {
                delay(200)
                acquireMissing()
            }
        }
    }

    /**
     * While the state service answers nobody, all others are asked to take no key. Who has the service's answer, or may have a
     * transaction under way, does not promise: it may see our lease end and take over. One renewal without an answer is enough to
     * promise: who was refused alone before the others has little of its lease left when they notice.
     */
    private suspend fun requestPledges() {
        while (true) {
            delay(PLEDGE_REQUEST_MS)
            if (stateAnswers() || !entitled()) continue
            val question = PledgeRequest(incarnation, clock.now())
            others.forEach { send(it, question) }
        }
    }

    fun asked(
        from: String,
        question: PledgeRequest,
    ) {
        val now = clock.now()
        if ((stateAnswers() && !unanswered) || acquiring || now - unclearUs < UNCLEAR_US) return
        ownPledge.pledge(now)
        send(from, Pledge(question.incarnation, question.askedUs))
    }

    fun answered(
        from: String,
        answer: Pledge,
    ) {
        if (answer.incarnation != incarnation) return
        collectedPledges.pledged(from, answer.askedUs)
        lease.extendedByPledges(collectedPledges.pledgedUntilUs(), clock.now())
    }

    private fun mine(key: String) =
        holder(key)?.takeIf { it.label == settings.label && it.lease == lease.id && it.stamp !in givenUp && entitled() }

    private fun holder(key: String): Holder? = holders[key]

    private fun read(entry: Entry): Holder? =
        parsed {
            Holder(entry.value.getString("label")!!, entry.value.getLong("term")!!, entry.value.getLong("lease")!!, entry.stamp)
        }

    /** The key as of a newer change; null where it was deleted at [stamp]. */
    private fun take(
        key: String,
        entry: Entry?,
        stamp: Long,
    ) {
        if ((keys[key]?.stamp ?: 0) >= stamp) return
        if (entry == null) keys.remove(key) else keys[key] = entry
        val holder = if (entry == null || key == TERMS) null else read(entry)
        if (holder == null) holders.remove(key) else holders[key] = holder
    }

    private suspend fun keepLease() {
        while (true) {
            val held = lease.id
            val sentUs = clock.now()
            if (held == null) {
                val granted = state.grant(lifeUs)
                if (granted != null) {
                    extended { lease.granted(granted, sentUs) }
                    log.info("process lease {} granted", granted)
                }
                delay(300)
            } else {
                when (state.renew(held)) {
                    true -> {
                        extended { lease.renewed(sentUs) }
                    }

                    false -> {
                        log.info("process lease {} has ended", held)
                        lease.ended()
                        changed(view())
                        continue
                    }

                    null -> {
                        unanswered = true
                        log.info("process lease {} not renewed", held)
                    }
                }
                delay(if (entitled() && clock.now() - sentUs < SECOND) lifeUs / 5 / MILLI else 300)
            }
        }
    }

    private fun extended(extend: () -> Unit) {
        val wasEntitled = entitled()
        extend()
        renewedUs = clock.now()
        unanswered = false
        if (!wasEntitled) changed(view())
    }

    private suspend fun watch() {
        while (true) {
            val scan = state.scan(PREFIX)
            if (scan == null) {
                delay(300)
                continue
            }
            keys.clear()
            holders.clear()
            scan.entries.forEach { take(it.key, it, it.stamp) }
            if (!watching) revokePredecessor()
            watching = true
            changed(view())
            var since = scan.revision
            while (true) {
                val seen = state.changes(PREFIX, since, 10_000)
                if (seen is Watched.TooOld) break
                if (seen is Watched.Events) {
                    since = seen.revision
                    seen.deletes.forEach { take(it.key, null, it.stamp) }
                    seen.puts.forEach { take(it.key, it, it.stamp) }
                    if (seen.puts.isNotEmpty() || seen.deletes.isNotEmpty()) {
                        changed(view())
                        acquireMissing()
                    }
                } else {
                    delay(250)
                }
            }
        }
    }

    /**
     * A process of this label that ran before is dead, or this one would not have been started: its lease is ended at
     * once so that nobody waits for it.
     */
    private suspend fun revokePredecessor() {
        val old = keys.values.filter { it.value.getString("label") == settings.label }.mapNotNull { it.value.getLong("lease") }
        for (it in old.distinct()) if (it != lease.id) state.revoke(it)
    }

    /**
     * Lets go of a part whose own controller is well again: in its zone it reaches the workers even when the zone is cut off.
     *
     * Authority ends here before the delete is sent, and does not come back whatever becomes of it (invariant 2): an answer
     * to a worker after the new owner has begun would extend a lease that the new owner counts as run out. A delete without
     * an answer is sent again until the key is gone, or the part would be nobody's.
     */
    suspend fun release(partition: String) {
        val held = owning(partition) ?: return
        val key = PARTITION + partition
        // If its own controller does not take it although it seems well, the part must not go round and round.
        if (clock.now() - (takenUs[key] ?: 0) < LEAST_HELD_US) return
        givenUp += held.stamp
        changed(view())
        while (keys[key]?.stamp == held.stamp) {
            if (state.txn(mapOf(key to held.stamp), listOf(Change.Delete(key))) is Committed.Yes) {
                if (keys[key]?.stamp == held.stamp) take(key, null, held.stamp + 1)
            } else {
                delay(300)
            }
        }
        log.info("gave {} back to its own controller", key)
        // The home controller takes it at once; this one would only after a while.
        missingSinceUs[key] = clock.now() + HOME_FIRST_US
        changed(view())
    }

    private suspend fun acquireMissing() {
        if (!ready()) return
        val now = clock.now()
        for (key in partitionKeys + LEADER) {
            if (keys.containsKey(key)) {
                missingSinceUs.remove(key)
                continue
            }
            val since = missingSinceUs.getOrPut(key) { now }
            if (now - since >= patience(key)) acquire(key)
        }
    }

    /**
     * A part's own controller takes it at once; others wait a little, in an order that avoids collisions. To lead costs about as
     * much as a part: who has little else to do comes first.
     */
    private fun patience(key: String): Long {
        val labels = (settings.peers.map { it.label } + settings.label).sorted()
        val rank = labels.indexOf(settings.label)
        val held = holders.values.count { it.label == settings.label }
        val home = assignment.home(key.removePrefix(PARTITION))
        return when {
            key == LEADER -> held * 150 * MILLI + rank * 50 * MILLI + if (roomy) 0 else 400 * MILLI
            home == settings.label -> 0
            home != null && !everOwned(key) -> FIRST_PATIENCE_US + rank * 200 * MILLI
            else -> 200 * MILLI + held * 250 * MILLI + rank * 100 * MILLI
        }
    }

    /** Its own part is no larger than the others': it shares its zone, or nobody does. */
    private val roomy =
        settings.peers.any { it.zone == settings.zone } || (settings.peers.map { it.zone } + settings.zone).distinct().size > others.size

    /** Before anybody has owned a part its own controller is given time to start. */
    private fun everOwned(key: String) = (keys[TERMS]?.value?.getJsonArray("owned")?.contains(key)) == true

    private var acquiring = false

    private suspend fun acquire(key: String) {
        val held = lease.id ?: return
        if (acquiring || !ownPledge.free(clock.now())) return
        acquiring = true
        try {
            val counter = keys[TERMS]
            val term = (counter?.value?.getLong("term") ?: 0) + 1
            val owned = (counter?.value?.getJsonArray("owned")?.map { it as String } ?: emptyList()).toSortedSet().apply { add(key) }
            val value = JsonObject().put("label", settings.label).put("term", term).put("lease", held)
            val counted =
                JsonObject().put("term", term).put(
                    "owned",
                    io.vertx.core.json
                        .JsonArray(owned.toList()),
                )
            val outcome =
                state.txn(
                    mapOf(TERMS to (counter?.stamp ?: 0L), key to 0L),
                    listOf(Change.Put(TERMS, counted), Change.Put(key, value, held)),
                )
            if (outcome is Committed.Yes) {
                log.info("took {} under term {}", key, term)
                val mark = outcome.revision
                take(TERMS, Entry(TERMS, counted, mark), mark)
                take(key, Entry(key, value, mark), mark)
                missingSinceUs.remove(key)
                takenUs[key] = clock.now()
                changed(view())
            } else {
                missingSinceUs[key] = clock.now()
                if (outcome is Committed.Unknown) unclearUs = clock.now()
            }
        } finally {
            acquiring = false
        }
    }

    companion object {
        const val PREFIX = "c/"
        const val LEADER = "c/leader"
        const val PARTITION = "c/part/"
        private const val TERMS = "c/terms"
        private const val PLEDGE_REQUEST_MS = 400L
        private const val UNCLEAR_US = 120 * SECOND
        private const val LEAST_HELD_US = 12 * SECOND
        private const val HOME_FIRST_US = 3 * SECOND
        private const val FIRST_PATIENCE_US = 6 * SECOND
    }
}
