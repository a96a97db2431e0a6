package lichenstage.app

import io.vertx.core.Vertx
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import lichenstage.authority.Authority
import lichenstage.authority.OwnershipView
import lichenstage.cloud.CloudClient
import lichenstage.cloud.MachineCatalog
import lichenstage.cluster.CompletionSyncReply
import lichenstage.cluster.CompletionSyncRequest
import lichenstage.cluster.ForwardedReply
import lichenstage.cluster.ForwardedRequest
import lichenstage.cluster.Frame
import lichenstage.cluster.Hello
import lichenstage.cluster.JobsEnded
import lichenstage.cluster.MoratoriumGrant
import lichenstage.cluster.MoratoriumRequest
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PeerLinks
import lichenstage.cluster.Ping
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.RelayedFrame
import lichenstage.cluster.RequestForwarder
import lichenstage.cluster.TaskCounts
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
import lichenstage.jobs.JobsMessage
import lichenstage.jobs.OpenJobs
import lichenstage.jobs.PeerChannel
import lichenstage.jobs.PeerFallback
import lichenstage.jobs.RecordLimits
import lichenstage.partition.OrderJournal
import lichenstage.partition.OwnedPartitions
import lichenstage.partition.PartitionActor
import lichenstage.partition.PartitionMessage
import lichenstage.partition.WorkerClient
import lichenstage.placement.LeaderActor
import lichenstage.placement.LeaderMessage
import lichenstage.placement.LeaderOptions
import lichenstage.placement.LeaderServices
import lichenstage.placement.LeaderTerm
import lichenstage.state.KeyValueStoreClient
import org.slf4j.LoggerFactory

/** Wires the actors of one process together. */
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
            KeyValueStoreClient.MAX_CONNECTIONS + CloudClient.SOCKETS + settings.peers.size * PEER_SOCKETS + SPARE_SOCKETS,
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
            ::received,
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
                override fun jobsEnded(jobs: List<String>) = leader?.tell(LeaderMessage.JobsEnded(jobs)) ?: Unit

                override fun dependencyResolved() = leader?.tell(LeaderMessage.DependenciesResolved) ?: Unit
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
            replicaSync::jobCancelled,
        )
    private val partition =
        PartitionActor(
            OwnedPartitions(settings, authority, replica, OrderJournal(metrics, clock), clock, catalog::limits),
            clock,
            scope,
            WorkerClient(vertx, clock, metrics.counter("orders"), connectionBudget::maxOrderConnections),
            authority,
            ::toLeader,
        )
    private val api = HttpApi(vertx, settings.listen, jobs, partition, metrics, clock, connectionBudget, ::isHealthy)
    private var leader: LeaderActor? = null

    /** Starts serving, and takes part in the cluster from now on. */
    fun start() {
        if (settings.count != controllers) {
            log.error("settings.count is {}, but with this one seeds name {} controllers", settings.count, controllers)
        }
        metrics.gauge("leading") { if (leader != null) 1 else 0 }
        metrics.gauge("open_jobs") { leader?.openJobs ?: 0 }
        metrics.gauge("machines") { partition.machineCount }
        metrics.gauge("starts_unanswered") { partition.indeterminateStartCount }
        metrics.gauge("oldest_unanswered_start_s") { partition.oldestIndeterminateStartUs?.let { (clock.now() - it) / SECOND } ?: 0 }
        metrics.gauge("served_connections") { connectionBudget.servedConnections }
        metrics.gauge("heap_bytes") { Runtime.getRuntime().let { it.totalMemory() - it.freeMemory() } }
        links.start()
        authority.start()
        catalog.start()
        replicaSync.start()
        scope.launch { serveOnceReady() }
        if (log.isDebugEnabled) scope.launch { describe() }
        scope.launch {
            while (isActive) {
                delay(HAND_BACK_MS)
                for (partition in settings.assignment.partitions) {
                    val home = settings.assignment.home(partition)
                    if (home != null && home != settings.label && links.isStable(home)) authority.releasePartition(partition)
                }
            }
        }
    }

    /**
     * Listens from when something can be answered. Guards against a start that is held up by those who wait for it: hundreds of workers
     * that connect at once, to be told that nothing can be said yet, came before the process's own lease. (Seen on Baile's lean "rough"
     * day: 12 s from the start of listening to the lease.) Who finds nobody listening tries another controller.
     */
    private suspend fun serveOnceReady() {
        while (!authority.isReady() || !replica.isCurrent(clock.now())) delay(READY_CHECK_MS)
        api.start()
    }

    private suspend fun describe() {
        while (true) {
            delay(DESCRIBE_MS)
            log.debug("{}", metrics.render().replace('\n', ';'))
        }
    }

    /** The leader records what is done and which machines there are; the others write for their users alone. */
    private fun writeShare(): Double {
        val other = OTHERS_SHARE / controllers
        return if (leader != null) 1 - other * (controllers - 1) else other
    }

    /**
     * While the state service is away from everybody, all stay healthy, so that users come back to somebody as soon as it
     * is back; a node that it alone does not answer sends its users to the others.
     */
    private fun isHealthy() =
        authority.isReady() && catalog.isLoaded && (authority.isStateServiceAvailable() || links.healthyPeer() == null)

    /** Leadership lasts while its key does; a pause of authority doesn't end it, a new term does. */
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
        val holder = authority.ownership().leader ?: return
        links.send(holder.label, frame)
    }

    private fun answer(
        from: String,
        frame: ForwardedRequest,
    ) = jobs.tell(
        JobsMessage.UserRequest(frame.verb, frame.text, forwarded = true) {
            links.send(from, ForwardedReply(frame.number, it.status, it.body.encode(), it.retryAfterS))
        },
    )

    private fun received(
        from: String,
        frame: Frame,
    ) {
        when (frame) {
            is Hello, is Ping, is RelayedFrame -> Unit
            is PlacementFrame -> partition.tell(PartitionMessage.LeaderFrameReceived(frame))
            is PartitionFrame -> leader?.tell(LeaderMessage.PartitionFrameReceived(frame))
            is ForwardedRequest -> answer(from, frame)
            is ForwardedReply -> forwarder.onReply(frame)
            is MoratoriumRequest -> authority.onMoratoriumRequest(from, frame)
            is MoratoriumGrant -> authority.onMoratoriumGrant(from, frame)
            is CompletionSyncRequest -> replicaSync.onSyncRequest(from, frame)
            is CompletionSyncReply -> replicaSync.onSyncReply(from, frame)
            is JobsEnded -> replicaSync.onJobsEnded(frame)
            is TaskCounts -> jobs.tell(JobsMessage.TaskCountsReceived(frame))
        }
    }

    private companion object {
        const val HAND_BACK_MS = 3_000L
        const val READY_CHECK_MS = 50L
        const val DESCRIBE_MS = 10_000L

        /** Both ways to another controller, each with one that is just being replaced. */
        const val PEER_SOCKETS = 4

        /** What listens, and some that are closing. */
        const val SPARE_SOCKETS = 24

        /** The part of the state service's changes that is shared equally; the leader has the rest. */
        const val OTHERS_SHARE = 0.5
    }
}
