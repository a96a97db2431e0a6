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
        val extraFaults: SimulatedCluster.(Int, Int) -> Unit = { _, _ -> },
    )

    private val variants =
        listOf(
            Variant("as the operators wrote it"),
            Variant("an outage just under the time of a cancellation", 39 * SECOND),
            Variant("an outage just over the time of a cancellation", 43 * SECOND),
            Variant("the confirmer ends at once and is back within a second") { _, confirmerId -> crash(confirmerId, 400 * MILLI) },
            Variant("so does the confirmer, and the third controller is refused before it has learned of it") { leader, confirmerId ->
                crash(confirmerId, 400 * MILLI)
                refuse(3 - leader - confirmerId, 14 * SECOND)
            },
            Variant(
                "the confirmer can't reach the leader, a third controller reaches both",
            ) { leader, confirmerId -> disconnect(leader, confirmerId, 70 * SECOND) },
            Variant("the leader is cut from all other controllers as well") { leader, confirmerId ->
                disconnect(leader, confirmerId, 70 * SECOND)
                disconnect(leader, 3 - leader - confirmerId, 70 * SECOND)
            },
            Variant(
                "the other owner of a partition is refused too",
            ) { leader, confirmerId -> refuse(3 - leader - confirmerId, 14 * SECOND) },
            Variant("another cancellation through the third controller") { leader, confirmerId -> cancel("j-1", 3 - leader - confirmerId) },
            Variant("the leader ends inside the outage and is back at once") { leader, _ ->
                script(nowUs + 20 * SECOND) {}
                crash(leader, 300 * MILLI)
            },
            Variant("a machine hangs and goes on") { _, _ -> repeat(9) { hang(it, 12 * SECOND) } },
        )

    private fun simulate(
        variant: Variant,
        seed: Long,
        mutation: Mutation = Mutation.NONE,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(seed, mutation)
        repeat(6) { n -> cluster.script(2 * SECOND) { submitLongRunning(n, 400 * SECOND) } }
        cluster.script(40 * SECOND) {
            assertEquals(2, runningTaskCount("j-0")) { "${variant.name}, seed $seed: j-0 does not run" }
            refuse(leader, 14 * SECOND)
        }
        cluster.script(40 * SECOND + 700 * MILLI) {
            val confirmerId = (leader + 1 + (seed % 2).toInt()) % 3
            val leaderId = leader
            cancel("j-0", confirmerId)
            variant.extraFaults(this, leaderId, confirmerId)
        }
        // The frame with the cancellation is lost: nothing may rest on it.
        cluster.script(40 * SECOND + 690 * MILLI) { (0..2).filter { it != leader }.forEach { disconnect(leader, it, 200 * MILLI) } }
        cluster.script(41 * SECOND) { beginOutage(variant.outageUs) }
        cluster.run(120 * SECOND, 30 * SECOND)
        return cluster
    }

    @Example
    fun `cancelled tasks are gone in time whatever meets the gap`() {
        for (variant in variants) {
            for (seed in 1L..SEEDS) {
                val cluster = simulate(variant, seed)
                assertTrue(cluster.checker.violations.isEmpty()) { "${variant.name}, seed $seed: ${cluster.checker.violations.take(3)}" }
            }
        }
    }

    @Example
    fun `what was not cancelled runs on through the outage`() {
        for (seed in 1L..SEEDS) {
            val cluster = simulate(variants.first(), seed)
            assertEquals(0, cluster.checker.tasksLost) { "seed $seed: ${cluster.checker.tasksLost} tasks were killed by their lease" }
        }
    }

    @Example
    fun `each guard is needed`() {
        val violatingVariants =
            mapOf(
                Mutation.LEASES_RENEWED_WITH_STALE_REPLICA to variants[0],
                Mutation.SYNC_REPLY_JOBS_IGNORED to variants[0],
                Mutation.REPLIED_FOR_EARLIER_PROCESS to variants[4],
            )
        for ((mutation, variant) in violatingVariants) {
            assertViolated("ran_cancelled", mutation, 1L..SEEDS) { seed -> simulate(variant, seed, mutation) }
        }
    }

    private companion object {
        const val SEEDS = 12L
    }
}
