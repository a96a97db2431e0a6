package lichenstage.jobs

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

class DependencyGraphTest {
    /** Found by the simulated world: after an outage longer than cancel_s a waiting job was called pending at that moment. */
    @Example
    fun `between the word that a job has ended and the word how, nothing is said of what waits for it`() {
        val dependencyGraph = DependencyGraph()
        dependencyGraph.jobOpened("j-1", emptyList())
        dependencyGraph.jobOpened("j-2", listOf("j-1"))
        dependencyGraph.jobOpened("j-3", listOf("j-2"))

        fun readiness() =
            listOf("j-1" to emptyList(), "j-2" to listOf("j-1"), "j-3" to listOf("j-2")).map { (job, dependencies) ->
                dependencyGraph.readiness(job, dependencies)
            }
        assertEquals(listOf(Readiness.READY, Readiness.WAITING, Readiness.WAITING), readiness()) { "${readiness()}" }
        dependencyGraph.jobClosed("j-1")
        assertEquals(listOf(Readiness.UNKNOWN, Readiness.UNKNOWN), readiness().drop(1)) { "${readiness()}" }
        dependencyGraph.outcomeRecorded("j-1", JobOutcome(EndStatus.CANCELLED, atUs = null))
        assertEquals(listOf(Readiness.CANCELLED, Readiness.CANCELLED), readiness().drop(1)) { "${readiness()}" }
    }

    /** Found by the simulated world: a job that was submitted right after an outage was called pending although its chain was cancelled. */
    @Example
    fun `nothing is said of a job that the watch has not brought, where what it needs has ended before`() {
        val dependencyGraph = DependencyGraph()
        dependencyGraph.jobOpened("j-1", emptyList())
        dependencyGraph.jobOpened("j-2", listOf("j-1"))
        assertEquals(Readiness.WAITING, dependencyGraph.readiness("j-3", listOf("j-2"))) { "it can wait" }
        dependencyGraph.jobClosed("j-2")
        assertEquals(
            Readiness.UNKNOWN,
            dependencyGraph.readiness("j-3", listOf("j-2")),
        ) { "${dependencyGraph.readiness("j-3", listOf("j-2"))}" }
        dependencyGraph.jobOpened("j-3", listOf("j-2"))
        dependencyGraph.outcomeRecorded("j-2", JobOutcome(EndStatus.CANCELLED, atUs = null))
        assertEquals(
            Readiness.CANCELLED,
            dependencyGraph.readiness("j-3", listOf("j-2")),
        ) { "${dependencyGraph.readiness("j-3", listOf("j-2"))}" }
    }

    /** Jobs that need any that came before; ends become known, and how they ended, in any order. A simple model says what follows. */
    @Property(tries = 300, seed = "23")
    fun `who is ready and who is orphaned follows from what is recorded`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val dependencyGraph = DependencyGraph()
        val dependencies = LinkedHashMap<String, List<String>>()
        val open = LinkedHashSet<String>()
        val ended = HashMap<String, Boolean>()
        val resolved = HashSet<String>()
        val orphans = LinkedHashSet<String>()

        fun cancelledBefore(job: String): Boolean =
            dependencies.getValue(job).any {
                (it in resolved && ended[it] == false) ||
                    (it in open && (it in orphans || cancelledBefore(it)))
            }

        repeat(120) { step ->
            when (random.nextInt(4)) {
                0, 1 -> {
                    val job = "j-$step"
                    val all = dependencies.keys.toList()
                    dependencies[job] = List(if (all.isEmpty()) 0 else random.nextInt(4)) { all[random.nextInt(all.size)] }.distinct()
                    open += job
                    dependencyGraph.jobOpened(job, dependencies.getValue(job))
                }

                2 -> {
                    if (open.isNotEmpty()) {
                        val job = open.toList()[random.nextInt(open.size)]
                        open -= job
                        // Only what has all that it needs can be done.
                        ended[job] = random.nextInt(3) > 0 && dependencies.getValue(job).all { ended[it] == true }
                        dependencyGraph.jobClosed(job)
                    }
                }

                else -> {
                    for (job in dependencyGraph.unresolved(random.nextInt(3))) {
                        assertTrue(job in ended) { "asks how $job ended, which is open" }
                        resolved += job
                        dependencyGraph.outcomeRecorded(job, outcome(ended.getValue(job), step.toLong()))
                    }
                }
            }
            // What nobody waits for is looked up by nobody, and forgotten.
            resolved.removeIf { done -> open.none { done in dependencies.getValue(it) } }
            // Once orphaned, always: what it needs may be recorded as cancelled later without being looked up.
            orphans += open.filter(::cancelledBefore)
            orphans.retainAll(open)
            assertEquals(
                orphans,
                dependencyGraph.orphans(1000).toSet(),
            ) { "seed $seed step $step: ${dependencyGraph.orphans(1000)}, not $orphans" }
            for (job in open) {
                val ready = dependencies.getValue(job).all { it in resolved && ended[it] == true }
                assertEquals(ready, (dependencyGraph.readySinceUs(dependencies.getValue(job)) != null)) { "seed $seed step $step: $job" }
            }
        }
        while (dependencyGraph.unresolved(10).isNotEmpty()) {
            dependencyGraph.unresolved(10).forEach { dependencyGraph.outcomeRecorded(it, outcome(ended.getValue(it), 0)) }
        }
        open.forEach { job -> assertTrue(dependencies.getValue(job).all { it in open || it in ended }) { "lost" } }
    }

    @Example
    fun `a change costs by who waits for it, in chains of thousands and fans of thousands`() {
        val dependencyGraph = DependencyGraph()
        repeat(5000) { dependencyGraph.jobOpened("j-$it", if (it == 0) emptyList() else listOf("j-${it - 1}")) }
        repeat(5000) { dependencyGraph.jobOpened("j-1$it-f", listOf("j-0")) }
        dependencyGraph.jobClosed("j-0")
        assertEquals(listOf("j-0"), dependencyGraph.unresolved(10)) { "${dependencyGraph.unresolved(10)}" }
        dependencyGraph.outcomeRecorded("j-0", JobOutcome(EndStatus.CANCELLED, atUs = null))
        assertEquals(9999, dependencyGraph.orphans(20_000).size) { "${dependencyGraph.orphans(20_000).size}" }
        dependencyGraph.jobClosed("j-1")
        assertEquals(9998, dependencyGraph.orphans(20_000).size) { "an end changes others" }
    }

    @Example
    fun `the times count from the last record, where one says when`() {
        val dependencyGraph = DependencyGraph()
        dependencyGraph.jobOpened("j-3", listOf("j-1", "j-2"))
        dependencyGraph.outcomeRecorded("j-1", JobOutcome(EndStatus.DONE, atUs = 70))
        assertNull(dependencyGraph.readySinceUs(listOf("j-1", "j-2"))) { "one is not done" }
        dependencyGraph.outcomeRecorded("j-2", JobOutcome(EndStatus.DONE, atUs = null))
        assertTrue(dependencyGraph.readySinceUs(listOf("j-1", "j-2")) == 70L && dependencyGraph.readySinceUs(emptyList()) == 0L) { "when" }
    }

    private fun outcome(
        isDone: Boolean,
        atUs: Long,
    ) = JobOutcome(if (isDone) EndStatus.DONE else EndStatus.CANCELLED, atUs)
}
