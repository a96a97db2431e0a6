package lichenstage.world

import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue

/**
 * Guards against a cancelled job that keeps running because the leader has missed the cancellation. The state service refuses only the
 * leader while another controller confirms a cancellation. Then the state service is unavailable to all for longer than the time limit
 * of a cancellation. All controllers grant moratoriums, so the leader keeps its authority, but it must not renew worker leases for jobs
 * whose cancellation it may have missed.
 */
class RefusedLeaderTest {
    private class Variant(
        val name: String,
        val outageUs: Long = 58 * SECOND,
        /** Injects further faults at the time of the cancellation. The arguments are the leader and the confirming controller. */
        val extraFaults: SimulatedCluster.(Int, Int) -> Unit = { _, _ -> },
    )

    private val variants =
        listOf(
            Variant("the sequence described by the operators"),
            Variant("an outage slightly shorter than the time limit of a cancellation", 39 * SECOND),
            Variant("an outage slightly longer than the time limit of a cancellation", 43 * SECOND),
            Variant("the confirming controller crashes at once and is back within a second") { _, confirmerId ->
                crash(
                    confirmerId,
                    400 * MILLI,
                )
            },
            Variant(
                "the confirming controller crashes, and the third one is refused before it learns of the cancellation",
            ) { leaderId, confirmerId ->
                crash(confirmerId, 400 * MILLI)
                refuse(3 - leaderId - confirmerId, 14 * SECOND)
            },
            Variant(
                "the confirming controller cannot reach the leader, but the third one reaches both",
            ) { leaderId, confirmerId -> disconnect(leaderId, confirmerId, 70 * SECOND) },
            Variant("the leader is also cut off from all other controllers") { leaderId, confirmerId ->
                disconnect(leaderId, confirmerId, 70 * SECOND)
                disconnect(leaderId, 3 - leaderId - confirmerId, 70 * SECOND)
            },
            Variant(
                "the state service also refuses the third controller",
            ) { leaderId, confirmerId -> refuse(3 - leaderId - confirmerId, 14 * SECOND) },
            Variant(
                "the third controller confirms another cancellation",
            ) { leaderId, confirmerId -> cancel("j-1", 3 - leaderId - confirmerId) },
            Variant("the leader crashes just before the outage and is back when it begins") { leaderId, _ ->
                script(nowUs + 20 * SECOND) {}
                crash(leaderId, 300 * MILLI)
            },
            Variant("all machines hang and go on") { _, _ -> repeat(9) { hang(it, 12 * SECOND) } },
        )

    private fun simulate(
        variant: Variant,
        seed: Long,
        mutation: Mutation = Mutation.NONE,
    ): SimulatedCluster {
        val cluster = SimulatedCluster(seed, mutation)
        repeat(6) { n -> cluster.script(2 * SECOND) { submitLongRunning(n, 400 * SECOND) } }
        cluster.script(40 * SECOND) {
            assertEquals(2, runningTaskCount("j-0")) { "${variant.name}, seed $seed: expected both tasks of j-0 to run" }
            refuse(leaderId, 14 * SECOND)
        }
        cluster.script(40 * SECOND + 700 * MILLI) {
            val confirmerId = (leaderId + 1 + (seed % 2).toInt()) % 3
            val refusedId = leaderId
            cancel("j-0", confirmerId)
            variant.extraFaults(this, refusedId, confirmerId)
        }
        // The message that tells the leader of the cancellation is lost: no rule may depend on its arrival.
        cluster.script(40 * SECOND + 690 * MILLI) { (0..2).filter { it != leaderId }.forEach { disconnect(leaderId, it, 200 * MILLI) } }
        cluster.script(41 * SECOND) { beginOutage(variant.outageUs) }
        cluster.run(120 * SECOND, 30 * SECOND)
        return cluster
    }

    @Example
    fun `tasks of a cancelled job stop in time whatever further fault occurs`() {
        for (variant in variants) {
            for (seed in 1L..SEEDS) {
                val cluster = simulate(variant, seed)
                assertTrue(cluster.checker.violations.isEmpty()) { "${variant.name}, seed $seed: ${cluster.checker.violations.take(3)}" }
            }
        }
    }

    @Example
    fun `jobs that are not cancelled run on through the outage`() {
        for (seed in 1L..SEEDS) {
            val cluster = simulate(variants.first(), seed)
            assertEquals(0, cluster.checker.tasksLost) {
                "seed $seed: ${cluster.checker.tasksLost} tasks were killed by an expired worker lease, expected none"
            }
        }
    }

    @Example
    fun `without one of the guards a task of a cancelled job runs too long`() {
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
