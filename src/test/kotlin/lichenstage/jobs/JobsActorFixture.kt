package lichenstage.jobs

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestCoroutineScheduler
import kotlinx.coroutines.withTimeoutOrNull
import lichenstage.cluster.RequestForwarder
import lichenstage.cluster.UserVerb
import lichenstage.common.Clock
import lichenstage.common.MILLI
import lichenstage.config.Team
import lichenstage.model.MachineType
import lichenstage.model.Resources
import lichenstage.state.KeyValueStore
import java.util.Random

/** Creates controllers that reply to users from one shared state service. */
@OptIn(ExperimentalCoroutinesApi::class)
abstract class JobsActorFixture {
    /** Creates the actor of a controller that has its own, possibly late, view of the open jobs in [store]. */
    internal fun actor(
        store: KeyValueStore,
        scope: CoroutineScope,
    ): JobsActor {
        val machineTypes = mapOf("t" to MachineType("t", Resources(8.0, 0.0, 64.0), 1.0, 0.3, 1, 50.0, 1.0, listOf("a")))
        val teams = mapOf("red" to Team("red", 0.0, 16.0, 0.0, Double.POSITIVE_INFINITY))
        val replica = JobReplica(1, null, 1)
        val dependencyGraph = DependencyGraph()
        val clock = Clock { scope.coroutineContext[TestCoroutineScheduler]!!.currentTime * MILLI }
        if (store is UnreliableStore) scope.launch { followStore(store, replica, dependencyGraph, clock) }
        val limits = RecordLimits(12, 8192)
        val forwarder = RequestForwarder({ null }) { _, _ -> }
        return JobsActor(
            store,
            PeerFallback(forwarder) { true },
            OpenJobs(replica, dependencyGraph),
            AdmissionPolicy(teams, limits) { machineTypes },
            limits.maxPreconditions,
            clock,
            scope,
            replica::recordEnd,
        )
    }

    /** Follows the store as [JobReplicaSync] does, but late: now and then no change arrives for 8 seconds. */
    private suspend fun followStore(
        store: UnreliableStore,
        replica: JobReplica,
        dependencyGraph: DependencyGraph,
        clock: Clock,
    ) {
        val random = Random(7)
        while (true) {
            delay(if (random.nextInt(40) == 0) 8000 else 50 + random.nextLong(300))
            val open = store.entries.filterKeys { it.startsWith("j/") }.mapKeys { it.key.removePrefix("j/") }
            open.forEach { (id, entry) -> dependencyGraph.onJobOpened(id, JobRecordCodec.decodeDependencies(entry.value)) }
            replica.replaceAll(open.mapValues { it.value.modRevision }, store.revision, clock.now()).forEach(dependencyGraph::onJobClosed)
            for (id in dependencyGraph.findUnresolved(8)) {
                val record = store.entries["x/$id"]?.value ?: continue
                dependencyGraph.onOutcomeRecorded(id, JobRecordCodec.decodeFinished(record).outcome)
            }
        }
    }

    /** Sends a user's request to a controller. Returns null if no reply arrives in time. */
    internal suspend fun JobsActor.ask(
        verb: UserVerb,
        text: String,
    ): Reply? {
        val reply = CompletableDeferred<Reply>()
        tell(JobsMessage.UserRequest(verb, text) { reply.complete(it) })
        // Users give up after 5 seconds; a later reply is ignored.
        return withTimeoutOrNull(5000) { reply.await() }
    }
}
