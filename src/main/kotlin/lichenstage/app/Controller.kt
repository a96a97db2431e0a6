package lichenstage.app

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.authority.Authority
import lichenstage.authority.OwnershipView
import lichenstage.cloud.CloudClient
import lichenstage.cloud.MachineCatalog
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PeerLinks
import lichenstage.cluster.RequestForwarder
import lichenstage.common.Clock
import lichenstage.common.ConnectionBudget
import lichenstage.common.Metrics
import lichenstage.common.SECOND
import lichenstage.common.timeOfDayUs
import lichenstage.config.Settings
import lichenstage.fleet.FleetPolicy
import lichenstage.jobs.AdmissionPolicy
import lichenstage.jobs.DependencyGraph
import lichenstage.jobs.JobEndListener
import lichenstage.jobs.JobReplica
import lichenstage.jobs.JobReplicaSync
import lichenstage.jobs.JobsActor
import lichenstage.jobs.OpenJobs
import lichenstage.jobs.PeerChannel
import lichenstage.jobs.PeerFallback
import lichenstage.jobs.RecordLimits
import lichenstage.partition.OrderEventRecorder
import lichenstage.partition.OwnedPartitions
import lichenstage.partition.PartitionActor
import lichenstage.partition.WorkerClient
import lichenstage.placement.LeaderActor
import lichenstage.placement.LeaderMessage
import lichenstage.placement.LeaderOptions
import lichenstage.placement.LeaderServices
import lichenstage.placement.LeaderTerm
import lichenstage.state.KeyValueStoreClient
import org.slf4j.LoggerFactory

/** One controller process: creates its actors and clients and connects them. */
class Controller(
    vertx: Vertx,
    private val settings: Settings,
    private val operator: OperatorSettings,
    private val scope: CoroutineScope,
) {
    private val log = LoggerFactory.getLogger("lichenstage.app")
    private val clock = Clock.steady
    private val controllers = settings.peers.size + 1
    private val metrics = Metrics()
    private val connectionBudget =
        ConnectionBudget(
            settings.maxSockets,
            KeyValueStoreClient.MAX_CONNECTIONS + CloudClient.MAX_CONNECTIONS + settings.peers.size * PEER_SOCKETS + SPARE_SOCKETS,
        )
    private val state =
        KeyValueStoreClient(vertx, settings.state, clock, controllers, settings.stateRps, settings.stateWriteRps, ::writeShare)
    private val cloud = CloudClient(vertx, settings.cloud)
    private val catalog = MachineCatalog(cloud, state, scope)
    private val authority: Authority =
        Authority(settings, state, clock, scope, { to, frame -> links.send(to, frame) }, { links.isHealthy(it) }, ::ownershipChanged)
    private val links: PeerLinks =
        PeerLinks(
            vertx,
            settings,
            clock,
            scope,
            authority::isStateServiceAvailable,
            metrics.counter("frames"),
            metrics.counter("frame_bytes"),
            { from, frame -> router.onFrame(from, frame) },
        )
    private val forwarder = RequestForwarder({ links.healthyPeer() }) { to, frame -> links.send(to, frame) }
    private val others = settings.peers.map { it.label }
    private val replica =
        JobReplica(
            timeOfDayUs(),
            others.toSet().takeIf { settings.count == controllers },
            JobReplica.maxStalenessUs(settings.cancelUs, settings.workerLeaseUs),
        )
    private val dependencyGraph = DependencyGraph()
    private val replicaSync =
        JobReplicaSync(
            replica,
            dependencyGraph,
            PeerChannel(others) { to, frame -> links.send(to, frame) },
            state,
            clock,
            scope,
            object : JobEndListener {
                override fun onJobsEnded(jobs: List<String>) = leader?.tell(LeaderMessage.JobsFinished(jobs)) ?: Unit

                override fun onDependencyResolved() = leader?.tell(LeaderMessage.DependenciesResolved) ?: Unit
            },
        )
    private val recordLimits = RecordLimits(settings.txnOps, settings.valueBytes)
    private val jobs =
        JobsActor(
            state,
            PeerFallback(forwarder, authority::isStateServiceAvailable),
            OpenJobs(replica, dependencyGraph),
            AdmissionPolicy(settings.teams, recordLimits, catalog::machineTypes),
            recordLimits.maxPreconditions,
            clock,
            scope,
            replicaSync::onJobCancelled,
        )
    private val partition =
        PartitionActor(
            OwnedPartitions(settings, authority, replica, OrderEventRecorder(metrics, clock), clock, catalog::limitsOf),
            clock,
            scope,
            WorkerClient(vertx, clock, metrics.counter("orders"), connectionBudget::maxOrderConnections),
            authority,
            ::toLeader,
        )
    private val router = FrameRouter(authority, partition, jobs, replicaSync, forwarder, links::send) { leader }
    private val api = HttpApi(vertx, settings.listen, jobs, partition, metrics, clock, connectionBudget, ::isHealthy)
    private var leader: LeaderActor? = null

    /** Starts serving, and takes part in the cluster from now on. */
    fun start() {
        if (settings.count != controllers) {
            log.error("Number of controllers differs from the seeds count={} controllers={}", settings.count, controllers)
        }
        registerGauges()
        links.start()
        authority.start()
        catalog.start()
        replicaSync.start()
        scope.launch { serveOnceReady() }
        if (log.isDebugEnabled) scope.launch { logMetrics() }
        scope.launch { returnPartitions() }
    }

    private fun registerGauges() {
        metrics.gauge("leading") { if (leader != null) 1 else 0 }
        metrics.gauge("open_jobs") { leader?.openJobCount ?: 0 }
        metrics.gauge("machines") { partition.machineCount }
        metrics.gauge("starts_unanswered") { partition.indeterminateStartCount }
        metrics.gauge("oldest_unanswered_start_s") { partition.oldestIndeterminateStartAtUs?.let { (clock.now() - it) / SECOND } ?: 0 }
        metrics.gauge("served_connections") { connectionBudget.servedConnections }
        metrics.gauge("heap_bytes") { Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() } }
    }

    /** Releases partitions whose home controller has been healthy for a while. */
    private suspend fun returnPartitions() {
        while (true) {
            delay(RETURN_CHECK_MS)
            for (partition in settings.assignment.partitions) {
                val home = settings.assignment.home(partition)
                if (home != null && home != settings.label && links.isStable(home)) authority.releasePartition(partition)
            }
        }
    }

    /**
     * Starts the HTTP server once requests can be answered. Guards against a start that is delayed by its own clients: hundreds of workers
     * that connect at once, only to be refused, took the processor time that the process lease needed. (Seen on Baile's lean "rough" day:
     * 12 s from the start of listening to the lease.) Clients that find no server try another controller.
     */
    private suspend fun serveOnceReady() {
        while (!authority.isReady() || !replica.isCurrent(clock.now())) delay(READY_CHECK_MS)
        api.start()
    }

    private suspend fun logMetrics() {
        while (true) {
            delay(METRICS_LOG_MS)
            log.debug("{}", metrics.render().replace('\n', ';'))
        }
    }

    /** This controller's share of the allowed changes: the leader also records completions and machines, the others serve users only. */
    private fun writeShare(): Double {
        val other = OTHERS_SHARE / controllers
        return if (leader != null) 1 - other * (controllers - 1) else other
    }

    /**
     * During an outage of the state service all controllers stay healthy, so that users find one as soon as it is over. A controller that
     * alone gets no answer is unhealthy, which sends its users to the others.
     */
    private fun isHealthy() =
        authority.isReady() && catalog.isLoaded && (authority.isStateServiceAvailable() || links.healthyPeer() == null)

    /** Leadership lasts as long as its key: a pause of authority does not end it, a new term does. */
    private fun ownershipChanged(ownership: OwnershipView) {
        val current = leader
        val holder = ownership.leader
        if (current != null && holder?.term != current.term) {
            current.stop()
            leader = null
        }
        val mine = authority.heldLeadership() ?: return
        if (leader?.term == mine.term) return
        leader =
            LeaderActor(
                settings,
                LeaderOptions(operator.fleet(FleetPolicy()), operator.placement, operator.drains),
                LeaderServices(authority, state, cloud, catalog, clock, replicaSync, dependencyGraph, links::send),
                LeaderTerm(mine.term, mine.modRevision),
                scope,
            )
    }

    private fun toLeader(frame: PartitionFrame) {
        val holder = authority.ownershipView().leader ?: return
        links.send(holder.label, frame)
    }

    private companion object {
        const val RETURN_CHECK_MS = 3_000L
        const val READY_CHECK_MS = 50L
        const val METRICS_LOG_MS = 10_000L

        /** A connection in each direction, and for each one that is being replaced. */
        const val PEER_SOCKETS = 4

        /** Listening sockets, and some that are closing. */
        const val SPARE_SOCKETS = 24

        /** The part of the state service's allowed changes that is divided equally; the leader has the rest. */
        const val OTHERS_SHARE = 0.5
    }
}
