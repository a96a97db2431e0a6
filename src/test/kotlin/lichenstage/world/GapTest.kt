package lichenstage.world

import lichenstage.app.MILLI
import lichenstage.app.SECOND
import net.jqwik.api.Example
import org.junit.platform.commons.util.Preconditions.condition

/**
 * The state service refuses the leader alone, another controller confirms a cancellation, and then nobody is answered for longer than a
 * cancellation has, while all promise to take no key: authority lasts, but must not keep alive what its holder has not heard of.
 */
class GapTest {
    private class Gap(
        val name: String,
        val outageUs: Long = 58 * SECOND,
        /** What happens besides, at the time of the cancellation and with the leader and the one that confirms it. */
        val besides: World.(Int, Int) -> Unit = { _, _ -> },
    )

    private val gaps =
        listOf(
            Gap("as the operators wrote it"),
            Gap("an outage just under the time of a cancellation", 39 * SECOND),
            Gap("an outage just over the time of a cancellation", 43 * SECOND),
            Gap("the confirmer ends at once and is back within a second") { _, by -> crash(by, 400 * MILLI) },
            Gap("so does the confirmer, and the third controller is refused before it has heard") { leader, by ->
                crash(by, 400 * MILLI)
                refuse(3 - leader - by, 14 * SECOND)
            },
            Gap("the confirmer can't reach the leader, a third controller reaches both") { leader, by -> apart(leader, by, 70 * SECOND) },
            Gap("the leader is cut from all other controllers as well") { leader, by ->
                apart(leader, by, 70 * SECOND)
                apart(leader, 3 - leader - by, 70 * SECOND)
            },
            Gap("the other owner of a part is refused too") { leader, by -> refuse(3 - leader - by, 14 * SECOND) },
            Gap("another cancellation through the third controller") { leader, by -> cancel("j-1", 3 - leader - by) },
            Gap("the leader ends inside the outage and is back at once") { leader, _ ->
                script(now + 20 * SECOND) {}
                crash(leader, 300 * MILLI)
            },
            Gap("a machine hangs and goes on") { _, _ -> repeat(9) { hang(it, 12 * SECOND) } },
        )

    private fun play(
        gap: Gap,
        seed: Long,
        sabotage: Sabotage = Sabotage.NONE,
    ): World {
        val world = World(seed, sabotage)
        repeat(6) { n -> world.script(2 * SECOND) { submitLong(n, 400 * SECOND) } }
        world.script(40 * SECOND) {
            condition(running("j-0") == 2) { "${gap.name}, seed $seed: j-0 does not run" }
            refuse(leader, 14 * SECOND)
        }
        world.script(40 * SECOND + 700 * MILLI) {
            val by = (leader + 1 + (seed % 2).toInt()) % 3
            val leads = leader
            cancel("j-0", by)
            gap.besides(this, leads, by)
        }
        // The frame that tells of the cancellation is lost: nothing may rest on it.
        world.script(40 * SECOND + 690 * MILLI) { (0..2).filter { it != leader }.forEach { apart(leader, it, 200 * MILLI) } }
        world.script(41 * SECOND) { outage(gap.outageUs) }
        world.run(120 * SECOND, 30 * SECOND)
        return world
    }

    @Example
    fun `cancelled tasks are gone in time whatever meets the gap`() {
        for (gap in gaps) {
            for (seed in 1L..SEEDS) {
                val world = play(gap, seed)
                condition(world.checker.broken.isEmpty()) { "${gap.name}, seed $seed: ${world.checker.broken.take(3)}" }
            }
        }
    }

    @Example
    fun `what was not cancelled runs on through the outage`() {
        for (seed in 1L..SEEDS) {
            val world = play(gaps.first(), seed)
            condition(world.checker.lost == 0) { "seed $seed: ${world.checker.lost} tasks were killed by their lease" }
        }
    }

    @Example
    fun `each guard is needed`() {
        val needed =
            mapOf(
                Sabotage.ANSWERED_UNINFORMED to gaps[0],
                Sabotage.HANDOVER_DROPPED to gaps[0],
                Sabotage.SPOKEN_FOR_PREDECESSOR to gaps[4],
            )
        for ((sabotage, gap) in needed) {
            val seen = (1L..SEEDS).any { seed -> play(gap, seed, sabotage).checker.broken.any { it.startsWith("ran_cancelled") } }
            condition(seen) { "without its guard $sabotage no gap broke ran_cancelled" }
        }
    }

    private companion object {
        const val SEEDS = 12L
    }
}
