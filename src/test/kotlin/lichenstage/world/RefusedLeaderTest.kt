package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * The state service refuses the leader alone, another controller confirms a cancellation, and then nobody is answered for longer than a
 * cancellation has, while all grant moratoriums: authority lasts, but must not keep alive what its holder has not learned of.
 */
class RefusedLeaderTest {
    private class Variant(
        val name: String,
        val outageUs: Long = 58 * SECOND,
        /** What happens besides, at the time of the cancellation and with the leader and the one that confirms it. */
        val besides: SimulatedCluster.(Int, Int) -> Unit = { _, _ -> },
    )

    private val variants =
        listOf(
            Variant("as the operators wrote it"),
            Variant("an outage just under the time of a cancellation", 39 * SECOND),
            Variant("an outage just over the time of a cancellation", 43 * SECOND),
            Variant("the confirmer ends at once and is back within a second") { _, by -> crash(by, 400 * MILLI) },
            Variant("so does the confirmer, and the third controller is refused before it has learned of it") { leader, by ->
                crash(by, 400 * MILLI)
                refuse(3 - leader - by, 14 * SECOND)
            },
            Variant(
                "the confirmer can't reach the leader, a third controller reaches both",
            ) { leader, by -> disconnect(leader, by, 70 * SECOND) },
            Variant("the leader is cut from all other controllers as well") { leader, by ->
                disconnect(leader, by, 70 * SECOND)
                disconnect(leader, 3 - leader - by, 70 * SECOND)
            },
            Variant("the other owner of a partition is refused too") { leader, by -> refuse(3 - leader - by, 14 * SECOND) },
            Variant("another cancellation through the third controller") { leader, by -> cancel("j-1", 3 - leader - by) },
            Variant("the leader ends inside the outage and is back at once") { leader, _ ->
                script(now + 20 * SECOND) {}
                crash(leader, 300 * MILLI)
            },
            Variant("a machine hangs and goes on") { _, _ -> repeat(9) { hang(it, 12 * SECOND) } },
        )

    private fun play(
        variant: Variant,
        seed: Long,
        mutation: Mutation = Mutation.NONE,
    ): SimulatedCluster {
        val world = SimulatedCluster(seed, mutation)
        repeat(6) { n -> world.script(2 * SECOND) { submitLong(n, 400 * SECOND) } }
        world.script(40 * SECOND) {
            assertEquals(2, running("j-0")) { "${variant.name}, seed $seed: j-0 does not run" }
            refuse(leader, 14 * SECOND)
        }
        world.script(40 * SECOND + 700 * MILLI) {
            val by = (leader + 1 + (seed % 2).toInt()) % 3
            val leads = leader
            cancel("j-0", by)
            variant.besides(this, leads, by)
        }
        // The frame with the cancellation is lost: nothing may rest on it.
        world.script(40 * SECOND + 690 * MILLI) { (0..2).filter { it != leader }.forEach { disconnect(leader, it, 200 * MILLI) } }
        world.script(41 * SECOND) { outage(variant.outageUs) }
        world.run(120 * SECOND, 30 * SECOND)
        return world
    }

    @Example
    fun `cancelled tasks are gone in time whatever meets the gap`() {
        for (variant in variants) {
            for (seed in 1L..SEEDS) {
                val world = play(variant, seed)
                assertTrue(world.checker.violations.isEmpty()) { "${variant.name}, seed $seed: ${world.checker.violations.take(3)}" }
            }
        }
    }

    @Example
    fun `what was not cancelled runs on through the outage`() {
        for (seed in 1L..SEEDS) {
            val world = play(variants.first(), seed)
            assertEquals(0, world.checker.tasksLost) { "seed $seed: ${world.checker.tasksLost} tasks were killed by their lease" }
        }
    }

    @Example
    fun `each guard is needed`() {
        val needed =
            mapOf(
                Mutation.ANSWERED_UNINFORMED to variants[0],
                Mutation.HANDOVER_DROPPED to variants[0],
                Mutation.SPOKEN_FOR_PREDECESSOR to variants[4],
            )
        for ((mutation, variant) in needed) {
            assertViolated("ran_cancelled", mutation, 1L..SEEDS) { seed -> play(variant, seed, mutation) }
        }
    }

    private companion object {
        const val SEEDS = 12L
    }
}
