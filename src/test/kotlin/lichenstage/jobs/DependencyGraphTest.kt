package lichenstage.jobs

import net.jqwik.api.Example
import net.jqwik.api.ForAll
import net.jqwik.api.Property
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.Random

/** Guards against a readiness or a cancellation that depends on the order in which the dependency graph learns of the records. */
class DependencyGraphTest {
    /**
     * Guards against a job that is reported as pending although its dependency is known to have ended and the outcome is not known yet. The
     * simulated cluster found this after an outage longer than `cancel_s`.
     */
    @Example
    fun `the dependents of an ended job have an unknown state until its outcome is known`() {
        val dependencyGraph = DependencyGraph()
        dependencyGraph.onJobOpened("j-1", emptyList())
        dependencyGraph.onJobOpened("j-2", listOf("j-1"))
        dependencyGraph.onJobOpened("j-3", listOf("j-2"))

        fun readiness() =
            listOf("j-1" to emptyList(), "j-2" to listOf("j-1"), "j-3" to listOf("j-2")).map { (job, dependencies) ->
                dependencyGraph.readiness(job, dependencies)
            }
        assertEquals(listOf(Readiness.READY, Readiness.WAITING, Readiness.WAITING), readiness()) { "${readiness()}" }
        dependencyGraph.onJobClosed("j-1")
        assertEquals(listOf(Readiness.UNKNOWN, Readiness.UNKNOWN), readiness().drop(1)) { "${readiness()}" }
        dependencyGraph.onOutcomeRecorded("j-1", JobOutcome(EndStatus.CANCELLED, endedAtUs = null))
        assertEquals(listOf(Readiness.CANCELLED, Readiness.CANCELLED), readiness().drop(1)) { "${readiness()}" }
    }

    /**
     * Guards against a job that is reported as pending although its chain is cancelled. The simulated cluster found this for a job that was
     * submitted right after an outage, when its own record was not known yet.
     */
    @Example
    fun `a job whose record is not known yet has an unknown state if its dependency has ended`() {
        val dependencyGraph = DependencyGraph()
        dependencyGraph.onJobOpened("j-1", emptyList())
        dependencyGraph.onJobOpened("j-2", listOf("j-1"))
        assertEquals(Readiness.WAITING, dependencyGraph.readiness("j-3", listOf("j-2"))) { "must be waiting while its dependency is open" }
        dependencyGraph.onJobClosed("j-2")
        assertEquals(
            Readiness.UNKNOWN,
            dependencyGraph.readiness("j-3", listOf("j-2")),
        ) { "${dependencyGraph.readiness("j-3", listOf("j-2"))}" }
        dependencyGraph.onJobOpened("j-3", listOf("j-2"))
        dependencyGraph.onOutcomeRecorded("j-2", JobOutcome(EndStatus.CANCELLED, endedAtUs = null))
        assertEquals(
            Readiness.CANCELLED,
            dependencyGraph.readiness("j-3", listOf("j-2")),
        ) { "${dependencyGraph.readiness("j-3", listOf("j-2"))}" }
    }

    /**
     * Jobs depend on any earlier jobs. Ends and outcomes become known in any order. After each step, the graph must agree with a simple
     * model.
     */
    @Property(tries = 300, seed = "23")
    fun `readiness and orphans follow from the records alone`(
        @ForAll seed: Long,
    ) {
        val random = Random(seed)
        val dependencyGraph = DependencyGraph()
        val dependencies = LinkedHashMap<String, List<String>>()
        val openJobs = LinkedHashSet<String>()
        val isDoneByJob = HashMap<String, Boolean>()
        val resolvedJobs = HashSet<String>()
        val orphans = LinkedHashSet<String>()

        fun hasCancelledDependency(job: String): Boolean =
            dependencies.getValue(job).any {
                (it in resolvedJobs && isDoneByJob[it] == false) ||
                    (it in openJobs && (it in orphans || hasCancelledDependency(it)))
            }

        repeat(120) { step ->
            when (random.nextInt(4)) {
                0, 1 -> {
                    val job = "j-$step"
                    val jobs = dependencies.keys.toList()
                    dependencies[job] = List(if (jobs.isEmpty()) 0 else random.nextInt(4)) { jobs[random.nextInt(jobs.size)] }.distinct()
                    openJobs += job
                    dependencyGraph.onJobOpened(job, dependencies.getValue(job))
                }

                2 -> {
                    if (openJobs.isNotEmpty()) {
                        val job = openJobs.toList()[random.nextInt(openJobs.size)]
                        openJobs -= job
                        // A job can only be done if all its dependencies are done.
                        isDoneByJob[job] = random.nextInt(3) > 0 && dependencies.getValue(job).all { isDoneByJob[it] == true }
                        dependencyGraph.onJobClosed(job)
                    }
                }

                else -> {
                    for (job in dependencyGraph.findUnresolved(random.nextInt(3))) {
                        assertTrue(job in isDoneByJob) { "$job is unresolved but open" }
                        resolvedJobs += job
                        dependencyGraph.onOutcomeRecorded(job, outcome(isDoneByJob.getValue(job), step.toLong()))
                    }
                }
            }
            // The graph forgets outcomes that no open job depends on.
            resolvedJobs.removeIf { done -> openJobs.none { done in dependencies.getValue(it) } }
            // A job stays orphaned after its orphaned dependency is closed, even if the outcome of that dependency is never read.
            orphans += openJobs.filter(::hasCancelledDependency)
            orphans.retainAll(openJobs)
            assertEquals(
                orphans,
                dependencyGraph.findOrphans(1000).toSet(),
            ) { "seed $seed step $step: ${dependencyGraph.findOrphans(1000)}, not $orphans" }
            for (job in openJobs) {
                val isReady = dependencies.getValue(job).all { it in resolvedJobs && isDoneByJob[it] == true }
                assertEquals(isReady, (dependencyGraph.readySinceUs(dependencies.getValue(job)) != null)) { "seed $seed step $step: $job" }
            }
        }
        while (dependencyGraph.findUnresolved(10).isNotEmpty()) {
            dependencyGraph.findUnresolved(10).forEach { dependencyGraph.onOutcomeRecorded(it, outcome(isDoneByJob.getValue(it), 0)) }
        }
        openJobs.forEach { job ->
            assertTrue(dependencies.getValue(job).all { it in openJobs || it in isDoneByJob }) { "$job depends on an unknown job" }
        }
    }

    @Example
    fun `a change affects only the dependents of its job in chains and fans of thousands of jobs`() {
        val dependencyGraph = DependencyGraph()
        repeat(5000) { dependencyGraph.onJobOpened("j-$it", if (it == 0) emptyList() else listOf("j-${it - 1}")) }
        repeat(5000) { dependencyGraph.onJobOpened("j-1$it-f", listOf("j-0")) }
        dependencyGraph.onJobClosed("j-0")
        assertEquals(listOf("j-0"), dependencyGraph.findUnresolved(10)) { "${dependencyGraph.findUnresolved(10)}" }
        dependencyGraph.onOutcomeRecorded("j-0", JobOutcome(EndStatus.CANCELLED, endedAtUs = null))
        assertEquals(9999, dependencyGraph.findOrphans(20_000).size) { "${dependencyGraph.findOrphans(20_000).size}" }
        dependencyGraph.onJobClosed("j-1")
        assertEquals(9998, dependencyGraph.findOrphans(20_000).size) { "the end of one orphan must remove only that orphan" }
    }

    @Example
    fun `a job is ready since the latest recorded time of its dependencies`() {
        val dependencyGraph = DependencyGraph()
        dependencyGraph.onJobOpened("j-3", listOf("j-1", "j-2"))
        dependencyGraph.onOutcomeRecorded("j-1", JobOutcome(EndStatus.DONE, endedAtUs = 70))
        assertNull(dependencyGraph.readySinceUs(listOf("j-1", "j-2"))) { "one dependency is not done" }
        dependencyGraph.onOutcomeRecorded("j-2", JobOutcome(EndStatus.DONE, endedAtUs = null))
        assertTrue(dependencyGraph.readySinceUs(listOf("j-1", "j-2")) == 70L && dependencyGraph.readySinceUs(emptyList()) == 0L) {
            "must be the latest recorded time, or 0 without dependencies"
        }
    }

    private fun outcome(
        isDone: Boolean,
        endedAtUs: Long,
    ) = JobOutcome(if (isDone) EndStatus.DONE else EndStatus.CANCELLED, endedAtUs)
}
