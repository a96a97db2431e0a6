package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.Priority
import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import net.jqwik.api.constraints.IntRange
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

class ObjectiveOrderTest {
    private fun spec(
        number: Int,
        priority: Priority,
        tasks: Int = 4,
    ) = oneCoreSpec(number, "c", priority, tasks, estimatedRunTimeUs = 10 * SECOND)

    private fun queuedJob(
        number: Int,
        work: Double,
        vararg dueTimesUs: Long,
        priority: Priority = Priority.HIGH,
    ) = QueuedJob(Job(spec(number, priority), number.toLong(), 0), work, dueTimesUs.map { PlannedObjective(it, 1.0) }, number * SECOND)

    private fun ids(jobs: List<Job>) = jobs.map { it.spec.id }

    @Example
    fun `if all objectives can be met, the job with the earliest due time comes first, whatever its priority`() {
        val order = ObjectiveOrder.sort(listOf(queuedJob(1, 5.0, 100), queuedJob(2, 5.0, 50, priority = Priority.LOW)), 1.0, 0)
        assertEquals(listOf("j-2", "j-1"), ids(order)) { "${ids(order)}" }
    }

    @Example
    fun `if not all objectives can be met, the largest job of the lowest priority is postponed`() {
        val queuedJobs =
            listOf(
                queuedJob(1, 60.0, 70),
                queuedJob(2, 20.0, 80),
                queuedJob(3, 20.0, 90),
                queuedJob(4, 5.0, 60, priority = Priority.STANDARD),
                queuedJob(5, 9.0, 65, priority = Priority.STANDARD),
            )
        assertEquals(listOf("j-2", "j-3", "j-1", "j-5", "j-4"), ids(ObjectiveOrder.sort(queuedJobs, 1.0, 0))) {
            "${ids(ObjectiveOrder.sort(queuedJobs, 1.0, 0))}"
        }
    }

    @Example
    fun `a large job is not postponed for its size if its start objective counts per task`() {
        val largeJob = QueuedJob(Job(spec(1, Priority.HIGH), 1, 0), 60.0, listOf(PlannedObjective(70, 6.0)), SECOND)
        val smallJob = QueuedJob(Job(spec(2, Priority.HIGH), 2, 0), 20.0, listOf(PlannedObjective(75, 1.0)), SECOND)
        assertEquals(listOf("j-1", "j-2"), ids(ObjectiveOrder.sort(listOf(largeJob, smallJob), 1.0, 0))) { "the large job was postponed" }
    }

    @Example
    fun `a postponed job is planned for its next objective`() {
        val queuedJobs = listOf(queuedJob(1, 60.0, 70, 200), queuedJob(2, 20.0, 75), queuedJob(3, 30.0, 300))
        assertEquals(
            listOf("j-2", "j-1", "j-3"),
            ids(ObjectiveOrder.sort(queuedJobs, 1.0, 0)),
        ) { "${ids(ObjectiveOrder.sort(queuedJobs, 1.0, 0))}" }
    }

    @Property(tries = 200, seed = "31")
    fun `every job appears exactly once in the order`(
        @ForAll @IntRange(min = 0, max = 40) count: Int,
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val queuedJobs =
            List(count) {
                val dueTimesUs = LongArray(random.nextInt(4)) { random.nextInt(1000).toLong() }.apply { sort() }
                queuedJob(it, random.nextDouble() * 200, *dueTimesUs, priority = Priority.entries[random.nextInt(4)])
            }
        val order = ObjectiveOrder.sort(queuedJobs, 1.0, random.nextInt(500).toLong())
        assertTrue(order.toSet() == queuedJobs.map { it.job }.toSet() && order.size == count) { "seed $seed" }
    }
}
