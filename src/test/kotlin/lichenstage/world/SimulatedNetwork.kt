package lichenstage.world

import lichenstage.app.MILLI
import java.util.PriorityQueue
import java.util.Random

/** Virtual time, and messages between hosts that are late, held back, lost or repeated, as a seed and the cuts have it. */
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
    private val deafUntilUs = HashMap<String, Long>()
    private var slowStateUntilUs = 0L

    var now = 0L
        private set

    fun at(
        delayUs: Long,
        run: () -> Unit,
    ) {
        queue.add(Event(now + delayUs, events++, run))
    }

    /** Again and again, at odd times that are [periodUs] apart on average. */
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
            event.run()
        }
    }

    /** A message from one host to another; it may be late, held by a cut, lost with it, or repeated. */
    fun send(
        from: String,
        to: String,
        repeats: Boolean = true,
        deliver: () -> Unit,
    ) {
        val cut = cuts[pair(from, to)]?.takeIf { it.untilUs > now }
        val delay = (MILLI + random.nextInt(8000)) * if (to == STATE && now < slowStateUntilUs) 20 else 1
        // Nothing reaches a deaf machine; what is lost on the way is not sent again.
        if ((deafUntilUs[to] ?: 0) > now) return
        if (cut == null) {
            at(delay, deliver)
            if (repeats && random.nextInt(50) == 0) at(delay + random.nextInt(20_000_000), deliver)
        } else if (cut.held) {
            at(cut.untilUs - now + delay, deliver)
        }
    }

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
    fun deafen(
        host: String,
        forUs: Long,
    ) {
        deafUntilUs[host] = now + forUs
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
    }
}
