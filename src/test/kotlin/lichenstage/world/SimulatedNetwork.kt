package lichenstage.world

import lichenstage.common.MILLI
import java.util.PriorityQueue
import java.util.Random

/** Virtual time and the messages between hosts. Messages are delayed or repeated at random; cuts, blocks and freezes hold or lose them. */
class SimulatedNetwork(
    private val random: Random,
) {
    private class Event(
        val atUs: Long,
        val order: Long,
        val run: () -> Unit,
    )

    /** A cut between two hosts; messages between them are held until it ends, or lost. */
    private class Cut(
        val untilUs: Long,
        val holdsMessages: Boolean,
    )

    private val queue = PriorityQueue<Event>(compareBy<Event> { it.atUs }.thenBy { it.order })
    private var events = 0L
    private val cuts = HashMap<String, Cut>()
    private val inboundBlockedUntilUs = HashMap<String, Long>()
    private var slowStateUntilUs = 0L
    private val frozenUntilUs = HashMap<String, Long>()

    /** The share of messages that arrive seconds late, after newer ones. */
    var delayedMessageShare = 0.0

    var nowUs = 0L
        private set

    /** A hash of the times and sequence numbers of all events so far. It stays the same if a change of the code changes no decision. */
    var eventDigest = 0L
        private set

    fun after(
        delayUs: Long,
        run: () -> Unit,
    ) {
        queue.add(Event(nowUs + delayUs, events++, run))
    }

    /** Runs [run] repeatedly, at random times that are [periodUs] apart on average. */
    fun every(
        periodUs: Long,
        run: () -> Unit,
    ): Unit =
        after(random.nextInt(periodUs.toInt()).toLong()) {
            run()
            after(periodUs / 2 + random.nextInt(periodUs.toInt()).toLong()) { every(periodUs, run) }
        }

    /** Runs all events until [endUs]. */
    fun runUntil(endUs: Long) {
        while (queue.isNotEmpty() && queue.peek().atUs <= endUs) {
            val event = queue.poll()
            nowUs = event.atUs
            eventDigest = (eventDigest * DIGEST_FACTOR + event.atUs) * DIGEST_FACTOR + event.order
            event.run()
        }
    }

    /** Sends a message from one host to another. It may be delayed, and repeated if [canRepeat] is set. A cut holds or loses it. */
    fun send(
        from: String,
        to: String,
        canRepeat: Boolean = true,
        deliver: () -> Unit,
    ) {
        val cut = cuts[hostPairKey(from, to)]?.takeIf { it.untilUs > nowUs }
        val delayUs = (MILLI + random.nextInt(8000)) * if (to == STATE && nowUs < slowStateUntilUs) 20 else 1
        // A message to a host whose inbound messages are blocked is lost without a repeat.
        if ((inboundBlockedUntilUs[to] ?: 0) > nowUs) return
        val extraDelayUs =
            if (delayedMessageShare > 0 &&
                random.nextDouble() < delayedMessageShare
            ) {
                random.nextInt(MAX_EXTRA_DELAY_US)
            } else {
                0
            }
        if (cut == null) {
            after(delayUs + extraDelayUs) { arrive(to, deliver) }
            if (canRepeat && random.nextInt(50) == 0) after(delayUs + random.nextInt(20_000_000)) { arrive(to, deliver) }
        } else if (cut.holdsMessages) {
            after(cut.untilUs - nowUs + delayUs) { arrive(to, deliver) }
        }
    }

    /** Delivers a message. A frozen host receives it when the freeze ends. */
    private fun arrive(
        host: String,
        deliver: () -> Unit,
    ) {
        val frozenUs = (frozenUntilUs[host] ?: 0) - nowUs
        if (frozenUs > 0) after(frozenUs + MILLI) { arrive(host, deliver) } else deliver()
    }

    /** Pauses a host; it then goes on as if no time had passed. */
    fun freeze(
        host: String,
        durationUs: Long,
    ) {
        frozenUntilUs[host] = nowUs + durationUs
    }

    fun isFrozen(host: String) = (frozenUntilUs[host] ?: 0) > nowUs

    fun cut(
        hostA: String,
        hostB: String,
        durationUs: Long,
        holdsMessages: Boolean,
    ) {
        cuts[hostPairKey(hostA, hostB)] = Cut(nowUs + durationUs, holdsMessages)
    }

    fun isCut(
        hostA: String,
        hostB: String,
    ) = (cuts[hostPairKey(hostA, hostB)]?.untilUs ?: 0) > nowUs

    /** Lets no message reach the host for [durationUs]. */
    fun blockInbound(
        host: String,
        durationUs: Long,
    ) {
        inboundBlockedUntilUs[host] = nowUs + durationUs
    }

    /** Lets requests to the state service arrive late for [durationUs]. */
    fun slowDownState(durationUs: Long) {
        slowStateUntilUs = nowUs + durationUs
    }

    private fun hostPairKey(
        hostA: String,
        hostB: String,
    ) = if (hostA < hostB) "$hostA $hostB" else "$hostB $hostA"

    companion object {
        /** The host name of the state service. */
        const val STATE = "state"
        private const val MAX_EXTRA_DELAY_US = 3_500_000
        private const val DIGEST_FACTOR = 1_000_003L
    }
}
