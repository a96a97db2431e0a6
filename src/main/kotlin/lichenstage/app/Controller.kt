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

/** One controller process. It creates the actors and clients of the process and connects them. */
class Controller(
    vertx: Vertx,
    private val settings: Settings,
    private val operatorSettings: OperatorSettings,
    private val scope: CoroutineScope,
) {
    private val log = LoggerFactory.getLogger("lichenstage.app")
    private val clock = Clock.steady
    private val controllerCount = settings.peers.size + 1
    private val metrics = Metrics()
    private val connectionBudget =
        ConnectionBudget(
            settings.maxSockets,
            KeyValueStoreClient.MAX_CONNECTIONS + CloudClient.MAX_CONNECTIONS + settings.peers.size * SOCKETS_PER_PEER + SPARE_SOCKETS,
        )
    private val store =
        KeyValueStoreClient(
            vertx,
            settings.stateAddress,
            clock,
            controllerCount,
            settings.stateRps,
            settings.stateWriteRps,
            ::writeShare,
            metrics.counter("transactions_refused")::increment,
        )
    private val cloudClient = CloudClient(vertx, settings.cloudAddress)
    private val catalog = MachineCatalog(cloudClient, store, scope)
    private val authority: Authority =
        Authority(settings, store, clock, scope, { to, frame -> links.send(to, frame) }, { links.isHealthy(it) }, ::onOwnershipChanged)
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
    private val peerLabels = settings.peers.map { it.label }
    private val replica =
        JobReplica(
            timeOfDayUs(),
            peerLabels.toSet().takeIf { settings.controllerCount == controllerCount },
            JobReplica.maxStalenessUs(settings.cancellationTimeLimitUs, settings.workerLeaseUs),
        )
    private val dependencyGraph = DependencyGraph()
    private val replicaSync =
        JobReplicaSync(
            replica,
            dependencyGraph,
            PeerChannel(peerLabels) { to, frame -> links.send(to, frame) },
            store,
            clock,
            scope,
            object : JobEndListener {
                override fun onJobsEnded(jobs: List<String>) = leader?.tell(LeaderMessage.JobsFinished(jobs)) ?: Unit

                override fun onDependencyResolved() = leader?.tell(LeaderMessage.DependenciesResolved) ?: Unit
            },
        )
    private val recordLimits = RecordLimits(settings.maxTransactionOperations, settings.maxValueBytes)
    private val jobsActor =
        JobsActor(
            store,
            PeerFallback(forwarder, authority::isStateServiceAvailable),
            OpenJobs(replica, dependencyGraph),
            AdmissionPolicy(settings.teams, recordLimits, catalog::machineTypes),
            recordLimits.maxPreconditions,
            clock,
            scope,
            replicaSync::onJobCancelled,
        )
    private val partitionActor =
        PartitionActor(
            OwnedPartitions(settings, authority, replica, OrderEventRecorder(metrics, clock), clock, catalog::limitsOf),
            clock,
            scope,
            WorkerClient(vertx, clock, metrics.counter("orders"), connectionBudget::maxOrderConnections),
            authority,
            ::sendToLeader,
        )
    private val router = FrameRouter(authority, partitionActor, jobsActor, replicaSync, forwarder, links::send) { leader }
    private val api = HttpApi(vertx, settings.listenAddress, jobsActor, partitionActor, metrics, clock, connectionBudget, ::isHealthy)
    private var leader: LeaderActor? = null

    /** Joins the cluster, and starts the HTTP server as soon as this controller can reply to requests. */
    fun start() {
        if (settings.controllerCount != controllerCount) {
            log.error(
                "Configured controller count does not match the seeds configuredCount={} controllerCount={}",
                settings.controllerCount,
                controllerCount,
            )
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
        metrics.gauge("unsound_machines") { leader?.unsoundMachineCount ?: 0 }
        metrics.gauge("mistaken_jobs") { leader?.mistakenJobCount ?: 0 }
        metrics.gauge("machines") { partitionActor.machineCount }
        metrics.gauge("starts_unanswered") { partitionActor.indeterminateStartCount }
        metrics.gauge("oldest_unanswered_start_s") { partitionActor.oldestIndeterminateStartAtUs?.let { (clock.now() - it) / SECOND } ?: 0 }
        metrics.gauge("served_connections") { connectionBudget.servedConnections }
        metrics.gauge("heap_bytes") { Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() } }
    }

    /** Releases partitions whose home controller is a peer that has been healthy for a while. Repeats this until the scope is cancelled. */
    private suspend fun returnPartitions() {
        while (true) {
            delay(PARTITION_RETURN_CHECK_MS)
            for (partition in settings.assignment.partitions) {
                val home = settings.assignment.homeController(partition)
                if (home != null && home != settings.label && links.isStable(home)) authority.releasePartition(partition)
            }
        }
    }

    /**
     * Starts the HTTP server once this controller can reply to requests. Clients that find no server try another controller.
     *
     * If the server started earlier, hundreds of workers would connect at once and be refused. They would take the processor time that the
     * process needs to acquire its lease: on Baile's lean "rough" day, the lease was acquired 12 s after the server had started to listen.
     */
    private suspend fun serveOnceReady() {
        while (!authority.isReady() || !replica.isCurrent(clock.now())) delay(READY_CHECK_MS)
        api.start()
    }

    private suspend fun logMetrics() {
        while (true) {
            delay(METRICS_LOG_MS)
            log.debug("Metrics values={}", metrics.render().replace('\n', ';'))
        }
    }

    /**
     * Returns this controller's share of the writes per second that the state service allows. The leader's share is larger: it also
     * records completions and machines, while the other controllers write only for users.
     */
    private fun writeShare(): Double {
        val followerShare = EQUALLY_DIVIDED_SHARE / controllerCount
        return if (leader != null) 1 - followerShare * (controllerCount - 1) else followerShare
    }

    /**
     * Returns the result of the health check. During an outage of the state service all controllers stay healthy, so that users reach one
     * as soon as the outage ends. If only this controller can't reach the state service, it is unhealthy, so that its users go to others.
     */
    private fun isHealthy() =
        authority.isReady() && catalog.isLoaded && (authority.isStateServiceAvailable() || links.healthyPeer() == null)

    /**
     * Stops the leader actor when the term of the recorded leader changes, and starts one when this controller holds a new term. A pause of
     * this controller's authority does not end its leadership, because the leader's key still exists.
     */
    private fun onOwnershipChanged(ownership: OwnershipView) {
        val activeLeader = leader
        val recordedLeader = ownership.leader
        if (activeLeader != null && recordedLeader?.term != activeLeader.term) {
            activeLeader.stop()
            leader = null
        }
        val leadership = authority.currentLeadership() ?: return
        if (leader?.term == leadership.term) return
        leader =
            LeaderActor(
                settings,
                LeaderOptions(operatorSettings.adjustFleetPolicy(FleetPolicy()), operatorSettings.placement, operatorSettings.drains),
                LeaderServices(authority, store, cloudClient, catalog, clock, replicaSync, dependencyGraph, links::send),
                LeaderTerm(leadership.term, leadership.modRevision),
                scope,
            )
    }

    private fun sendToLeader(frame: PartitionFrame) {
        val recordedLeader = authority.ownershipView().leader ?: return
        links.send(recordedLeader.label, frame)
    }

    private companion object {
        const val PARTITION_RETURN_CHECK_MS = 3_000L
        const val READY_CHECK_MS = 50L
        const val METRICS_LOG_MS = 10_000L

        /** One connection in each direction, twice: the old connection may still be open while its replacement is opened. */
        const val SOCKETS_PER_PEER = 4

        /** Reserve for listening sockets and for sockets that are being closed. */
        const val SPARE_SOCKETS = 24

        /**
         * The share of the state service's write rate that is divided equally between all controllers. The leader gets the rest as well.
         */
        const val EQUALLY_DIVIDED_SHARE = 0.5
    }
}
