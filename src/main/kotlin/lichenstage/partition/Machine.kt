package lichenstage.partition

import it.unimi.dsi.fastutil.longs.Long2ObjectLinkedOpenHashMap
import it.unimi.dsi.fastutil.longs.LongArrayList
import lichenstage.cluster.MachineState
import lichenstage.cluster.TaskPhase
import lichenstage.model.JobRequirements
import lichenstage.model.Shape

/** A machine of this partition, as its worker's reports describe it. */
class Machine(
    val name: String,
    heartbeat: Heartbeat,
    cacheGb: Double,
) {
    var address = heartbeat.address
    val typeName = heartbeat.typeName
    val spot = heartbeat.spot
    var agentEpoch = heartbeat.agentEpoch
    var sequence = -1L
    var recallUs: Long? = null
    var lastMessageUs = 0L

    /**
     * When a report of its own came last. One that only answers orders reaches no controller with its reports, so that nothing renews
     * its lease: what was placed there would be lost with it.
     */
    var lastHeartbeatUs = 0L

    /** The latest report of its own in this session; the answers to orders have numbers between those of reports. */
    var heartbeatSequence = -1L

    /** When a 200 was last written to it: its lease can't run longer than from here. */
    var lastAnsweredUs = 0L

    /**
     * When this session was first heard of. Its lease runs from its beginning, whether or not a report of it was ever
     * answered: without this a machine known only from direct orders was held for lost while it ran tasks.
     */
    var agentEpochFirstSeenUs = 0L

    /** The token under which it is commanded: that of the partition's term, or a newer one that puts earlier orders out of force. */
    var fencingToken = 0L

    /** The highest token of this owner that it has shown; 0 where none. Whatever was sent under a lower one it refuses. */
    var observedFencingToken = 0L

    /** The worker has shown a token of this owner: its task list is the truth (invariant 3). */
    val tokenConfirmed get() = observedFencingToken > 0
    var silent = false
    var lost = false

    /** An order got no answer since it last heeded one: hearing it does not prove that it hears us, so its room is not offered. */
    var unresponsive = false

    /** Of the partition's versions, the one that last changed what the leader sees, and the one that the leader has acknowledged. */
    var version = 0L
        private set
    private var acked = 0L

    /** Attempts that it listed and lists no more, until the leader knows. */
    private val gone = LongArrayList()
    val attempts = Long2ObjectLinkedOpenHashMap<WorkerAttempt>()
    var orderInFlight = false

    /** After an order without an answer the report answers are the path, until a report has come. */
    var ordersBlocked = false

    /** A direct order may be sent to it now. */
    val acceptsOrders get() = tokenConfirmed && !lost && !unresponsive && !orderInFlight && !ordersBlocked

    private val images = Images(cacheGb)
    private val holds = Holds()
    private var used: Shape? = null
    private var usedValid = false

    /** A task with this image was placed or found here. */
    fun uses(requirements: JobRequirements) = images.use(requirements.image, requirements.imageGb)

    /** The image is most likely in its cache. */
    fun hasImage(image: String) = image in images

    /** What its tasks take has to be counted anew. */
    fun changed() {
        usedValid = false
    }

    /** Something of it has changed, as of this version. */
    fun touched(newVersion: Long) {
        version = newVersion
    }

    /** Takes attempts off its list; true where there were any. */
    fun drop(over: (WorkerAttempt) -> Boolean): Boolean =
        attempts.values.removeIf { attempt -> over(attempt).also { if (it) gone.add(attempt.number) } }

    /** The leader has heard all of this version. */
    fun acknowledged() {
        acked = version
        gone.clear()
    }

    /** A new leader knows nothing of it. */
    fun unknown() {
        acked = 0
        gone.clear()
    }

    /** What the leader is to be told. */
    fun view() =
        MachineState(
            name,
            address,
            typeName,
            spot,
            tokenConfirmed,
            unresponsive,
            silent,
            lost,
            recallUs,
            attempts.values.filter { it.version > acked }.map { it.view() },
            gone.toList(),
        )

    /** Holds room for [count] tasks more, or fewer where it is negative. */
    fun hold(
        shape: Shape,
        count: Int,
    ) = holds.add(shape, count)

    /** A new session begins with an empty machine; its cache may be empty too. */
    fun begin(newAgentEpoch: Long) {
        agentEpoch = newAgentEpoch
        heartbeatSequence = -1
        drop { true }
        images.clear()
        changed()
    }

    /** How many more tasks of [shape] it takes; none where something on it is of unknown size. */
    fun room(
        shape: Shape,
        capacity: Shape,
        factsOf: (String) -> JobRequirements?,
    ): Int {
        if (!usedValid) {
            used = count(factsOf)
            // What is of unknown size may become known without a word of this machine.
            usedValid = used != null
        }
        val taken = used ?: return 0
        return (capacity - taken - holds.total).fits(shape)
    }

    private fun count(factsOf: (String) -> JobRequirements?): Shape? {
        var cores = 0.0
        var cards = 0.0
        var mem = 0.0
        for (attempt in attempts.values) {
            if (attempt.phase == TaskPhase.ENDED) continue
            val shape = factsOf(attempt.job)?.shape ?: return null
            cores += shape.cores
            cards += shape.cards
            mem += shape.memGb
        }
        return Shape(cores, cards, mem)
    }
}

/** Room of a machine that is held for requests. */
private class Holds {
    private var count = 0
    var total = NONE
        private set

    fun add(
        shape: Shape,
        tasks: Int,
    ) {
        count += tasks
        // Back to nothing exactly: the rounding of many shares must not add up.
        total = if (count == 0) NONE else total - shape * -tasks
    }

    private companion object {
        val NONE = Shape(0.0, 0.0, 0.0)
    }
}

/** Images that were used on a machine, the latest last: most likely still in its cache. */
private class Images(
    private val cacheGb: Double,
) {
    private val sizes = LinkedHashMap<String, Double>()
    private var total = 0.0

    operator fun contains(image: String) = sizes.containsKey(image)

    fun use(
        image: String,
        gb: Double,
    ) {
        total += gb - (sizes.remove(image) ?: 0.0)
        sizes[image] = gb
        while (total > cacheGb && sizes.size > 1) total -= sizes.remove(sizes.keys.first())!!
    }

    fun clear() {
        sizes.clear()
        total = 0.0
    }
}
