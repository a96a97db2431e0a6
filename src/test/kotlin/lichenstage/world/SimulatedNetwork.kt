package lichenstage.world

import lichenstage.common.MILLI
import java.util.PriorityQueue
import java.util.Random

/** Virtual time, and messages between hosts that are delayed, held back, lost or repeated, as drawn from a seed and by the cuts. */
class SimulatedNetwork(
    private val random: Random,
) {
    private class Event(
        val atUs: Long,
        val order: Long,
        val run: () -> Unit,
    )

    /** Two hosts that can't talk until a time; messages are held, or lost. */
    private class Cut(
        val untilUs: Long,
        val held: Boolean,
    )

    private val queue = PriorityQueue<Event>(compareBy<Event> { it.atUs }.thenBy { it.order })
    private var events = 0L
    private val cuts = HashMap<String, Cut>()
    private val inboundBlockedUntilUs = HashMap<String, Long>()
    private var slowStateUntilUs = 0L
    private val frozenUntilUs = HashMap<String, Long>()

    /** The share of messages that come seconds late, behind newer ones. */
    var delayedMessageShare = 0.0

    var now = 0L
        private set

    /** A hash of the times and numbers of all events so far: equal for two versions of the code whose decisions were the same. */
    var eventDigest = 0L
        private set

    fun at(
        delayUs: Long,
        run: () -> Unit,
    ) {
        queue.add(Event(now + delayUs, events++, run))
    }

    /** Runs [run] repeatedly, at drawn times that are [periodUs] apart on average. */
    fun every(
        periodUs: Long,
        run: () -> Unit,
    ): Unit =
        at(random.nextInt(periodUs.toInt()).toLong()) {
            run()
            at(periodUs / 2 + random.nextInt(periodUs.toInt()).toLong()) { every(periodUs, run) }
        }

    /** Lets time pass until [endUs]. */
    fun runUntil(endUs: Long) {
        while (queue.isNotEmpty() && queue.peek().atUs <= endUs) {
            val event = queue.poll()
            now = event.atUs
            eventDigest = (eventDigest * DIGEST_FACTOR + event.atUs) * DIGEST_FACTOR + event.order
            event.run()
        }
    }

    /** Sends a message from one host to another; it may be delayed, held by a cut, lost with it, or repeated. */
    fun send(
        from: String,
        to: String,
        repeats: Boolean = true,
        deliver: () -> Unit,
    ) {
        val cut = cuts[pair(from, to)]?.takeIf { it.untilUs > now }
        val delay = (MILLI + random.nextInt(8000)) * if (to == STATE && now < slowStateUntilUs) 20 else 1
        // Nothing reaches a host whose inbound messages are blocked; what is lost on the way is not sent again.
        if ((inboundBlockedUntilUs[to] ?: 0) > now) return
        val slow = if (delayedMessageShare > 0 && random.nextDouble() < delayedMessageShare) random.nextInt(SLOWEST_US) else 0
        if (cut == null) {
            at(delay + slow) { arrive(to, deliver) }
            if (repeats && random.nextInt(50) == 0) at(delay + random.nextInt(20_000_000)) { arrive(to, deliver) }
        } else if (cut.held) {
            at(cut.untilUs - now + delay) { arrive(to, deliver) }
        }
    }

    /** A frozen host receives its messages once it goes on. */
    private fun arrive(
        host: String,
        deliver: () -> Unit,
    ) {
        val frozenUs = (frozenUntilUs[host] ?: 0) - now
        if (frozenUs > 0) at(frozenUs + MILLI) { arrive(host, deliver) } else deliver()
    }

    /** The host does nothing for a time, and then goes on as if none had passed. */
    fun freeze(
        host: String,
        forUs: Long,
    ) {
        frozenUntilUs[host] = now + forUs
    }

    fun isFrozen(host: String) = (frozenUntilUs[host] ?: 0) > now

    fun cut(
        one: String,
        other: String,
        forUs: Long,
        held: Boolean,
    ) {
        cuts[pair(one, other)] = Cut(now + forUs, held)
    }

    fun isCut(
        one: String,
        other: String,
    ) = (cuts[pair(one, other)]?.untilUs ?: 0) > now

    /** Nothing reaches the host. */
    fun blockInbound(
        host: String,
        forUs: Long,
    ) {
        inboundBlockedUntilUs[host] = now + forUs
    }

    /** The state service answers late. */
    fun slowState(forUs: Long) {
        slowStateUntilUs = now + forUs
    }

    private fun pair(
        one: String,
        other: String,
    ) = if (one < other) "$one $other" else "$other $one"

    companion object {
        /** The state service's name as a host. */
        const val STATE = "state"
        private const val SLOWEST_US = 3_500_000
        private const val DIGEST_FACTOR = 1_000_003L
    }
}
