package lichenstage.app

import io.vertx.core.buffer.Buffer
import lichenstage.cluster.FrameCodec
import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.PartitionFrame
import lichenstage.common.SECOND
import lichenstage.config.Settings
import lichenstage.config.Team
import lichenstage.jobs.JobRecordCodec
import lichenstage.model.JobSpec
import lichenstage.model.MachineLimits
import lichenstage.model.PartitionAssignment
import lichenstage.model.Priority
import lichenstage.model.Resources
import lichenstage.partition.HeartbeatOutcome
import lichenstage.partition.PartitionCore
import lichenstage.partition.PartitionParameters
import lichenstage.partition.WorkerCodec
import lichenstage.placement.Job
import lichenstage.placement.LeaderCore
import lichenstage.placement.LeaderEffect
import lichenstage.placement.LeaderLookups
import lichenstage.placement.LeaderSettings
import lichenstage.placement.LeaderTerm
import lichenstage.placement.PlacementSettings
import lichenstage.placement.ServiceObjectives
import java.io.File
import java.io.IOException
import java.net.ServerSocket
import java.net.Socket
import java.util.zip.ZipFile

/**
 * Starts a controller on loopback during the build, so that the JVM can record a class-data archive. The archive contains the classes that
 * a controller loads at its start, as the leader and as the owner of partitions. Later starts map the archive instead of reading the
 * classes. Returns the exit status.
 */
internal fun warmUp(): Int {
    loadApplicationClasses()
    val servePort = freePort()
    val servicesPort = freePort()
    WarmUpServices(servicesPort).start()
    serve(Settings.parse(warmUpSettings(servePort, clusterPort = freePort(), servicesPort)))
    exerciseDecisions()
    for (request in listOf("GET /healthz", "GET /api/jobs/j-1", "POST /api/jobs")) sendRequest(servePort, request)
    // The controller acquires partitions only after a delay. Heartbeats are accepted as soon as it owns the worker's partition.
    for (sequence in 1..HEARTBEATS) {
        sendRequest(servePort, "POST /agent/beat", warmUpHeartbeat(servicesPort, sequence, tasks = ""))
        Thread.sleep(PAUSE_MS)
    }
    sendRequest(servePort, "POST /api/jobs", WARM_UP_JOB)
    sendRequest(servePort, "GET /api/jobs/j-000001")
    Thread.sleep(PAUSE_MS * PAUSES_FOR_JOB)
    return 0
}

/** Loads all classes of the application, so that the archive also contains those that only a leader or a reply of another service needs. */
private fun loadApplicationClasses() {
    val jar =
        File(
            Settings::class.java.protectionDomain.codeSource.location
                .toURI(),
        )
    if (!jar.isFile) return
    val classNames =
        ZipFile(jar).use { zip ->
            zip
                .entries()
                .asSequence()
                .map { it.name }
                .filter { it.endsWith(CLASS_FILE_EXTENSION) }
                .toList()
        }
    classNames.forEach { Class.forName(it.removeSuffix(CLASS_FILE_EXTENSION).replace('/', '.'), false, Settings::class.java.classLoader) }
}

private const val CLASS_FILE_EXTENSION = ".class"

private fun freePort(): Int = ServerSocket(0).use { it.localPort }

/** Returns the heartbeat of a worker that takes direct orders at [port]. */
internal fun warmUpHeartbeat(
    port: Int,
    sequence: Int,
    tasks: String,
): String = """{"holdfast":"m","addr":"127.0.0.1:$port","build":"b","yard":"z","tenure":1,"tally":$sequence,"warrant":2,"parts":[$tasks]}"""

private const val WARM_UP_JOB =
    """{"uid":"j-000001","batchline":"c","owner":"t","shape":"batch","urgency":"high","parts":2,"cores":1.0,"cards":0.0,"mem_gb":1.0,
        "bundle":"i","image_gb":1.0,"builds":null,"yard":null,"same_place":false,"spread":false,"loaners":true,"guess_s":10.0,
        "snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":60.0}"""

/** Returns settings of a controller whose peers and services are all on loopback. */
internal fun warmUpSettings(
    servePort: Int,
    clusterPort: Int,
    servicesPort: Int,
): String =
    """
    {"label":"a","area":"z","serve_on":"127.0.0.1:$servePort","cluster_listen":"127.0.0.1:$clusterPort",
     "seeds":[{"label":"b","area":"y","addr":"127.0.0.1:$clusterPort"}],
     "endpoints":{"cloud":"127.0.0.1:$servicesPort","state":"127.0.0.1:$servicesPort"},
     "settings":{"count":2,"zones":["z","y"],"teams":[{"name":"t"}],"objectives":[],
      "workers":{"report_s":3,"lease_s":20,"cancel_s":40},"state":{"rps":100,"write_rps":50,"txn_ops":10},
      "cloud":{"rps":4,"list_lag_s":4}}}
    """

/** Returns a leader that encodes each frame it sends, decodes it again and adds it to [sentFrames]. */
private fun warmUpLeader(
    resources: Resources,
    sentFrames: MutableList<LeaderFrame>,
) = LeaderCore(
    LeaderTerm(1, 1),
    LeaderSettings(
        PartitionAssignment(listOf("z"), emptyMap()),
        mapOf("t" to Team("t", 0.0, 99.0, 0.0, 99.0)),
        SECOND,
        PlacementSettings(),
        ServiceObjectives(emptyList()),
        maxChangesPerTransaction = 10,
    ),
    LeaderLookups({ resources }),
) {
    if (it is LeaderEffect.SendFrame) sentFrames += FrameCodec.decode(FrameCodec.encode(it.frame)) as LeaderFrame
}

/** Runs the decisions of a leader and of a partition, with their frames, so that the archive contains their classes. */
private fun exerciseDecisions() {
    val resources = Resources(1.0, 0.0, 1.0)
    val sentFrames = ArrayList<LeaderFrame>()
    val leader = warmUpLeader(resources, sentFrames)
    val spec =
        JobSpec("j-1", "c", "t", Priority.HIGH, 1, resources, null, null, false, false, true, "i", 1.0, SECOND, 0, 0, null, 0)
    leader.addJob(Job(JobRecordCodec.decode(JobRecordCodec.encode(spec)), 1, 0))
    leader.onMachinesRegistered(mapOf("m" to "z/0"))
    val partition = PartitionCore(PartitionParameters("z/0", "z", 2, 20 * SECOND, SECOND, 0)) { MachineLimits("b", resources) }
    for (nowS in 1L..6L) {
        val tasks = if (nowS < 5) "" else """{"part":"j-1/0","try":4294967297,"status":"ended","cause":"done"}"""
        val heartbeat = warmUpHeartbeat(port = 1, nowS.toInt(), tasks)
        (partition.onHeartbeat(WorkerCodec.decodeHeartbeat(Buffer.buffer(heartbeat)), nowS * SECOND) as HeartbeatOutcome.Accepted)
            .let { WorkerCodec.encodeCommands(it.fencingToken, it.commands) }
        leader.tick(nowS * SECOND)
        sentFrames.forEach { partition.onLeaderFrame(it, nowS * SECOND) }
        sentFrames.clear()
        partition.nextDirectOrders(nowS * SECOND)
        partition.tick(nowS * SECOND)
        partition.nextFrame(nowS * SECOND)?.let {
            leader.onPartitionFrame(
                FrameCodec.decode(FrameCodec.encode(it)) as PartitionFrame,
                nowS * SECOND,
            )
        }
    }
}

/**
 * Sends a request and reads its response. Retries while the server does not accept connections, which can take long on a busy machine.
 * Gives up without an error, because a missing archive should not fail the build.
 */
private fun sendRequest(
    port: Int,
    request: String,
    body: String = "{}",
) {
    repeat(MAX_TRIES) {
        try {
            Socket("127.0.0.1", port).use {
                val requestHead = "$request HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n"
                it.getOutputStream().write((requestHead + body).toByteArray())
                it.getInputStream().readAllBytes()
            }
            return
        } catch (_: IOException) {
            Thread.sleep(PAUSE_MS)
        }
    }
}

private const val MAX_TRIES = 100
private const val PAUSE_MS = 100L
private const val HEARTBEATS = 40
private const val PAUSES_FOR_JOB = 15
