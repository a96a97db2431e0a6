package lichenstage.app

import io.vertx.core.buffer.Buffer
import lichenstage.cluster.FrameCodec
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
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
 * A start on loopback for the class-data archive: the classes that a controller loads at its start, as a leader and as an owner of
 * partitions are written down while the build is made, so that every later start maps them instead of reading them.
 */
internal fun warmUp(): Int {
    loadOwnClasses()
    val servePort = freePort()
    val servicesPort = freePort()
    WarmUpServices(servicesPort).start()
    serve(Settings.parse(warmUpSettings(servePort, clusterPort = freePort(), servicesPort)))
    decide()
    for (request in listOf("GET /healthz", "GET /api/jobs/j-1", "POST /api/jobs")) ask(servePort, request)
    // The process takes keys only after a while; the worker is answered as soon as it owns the worker's partition.
    for (sequence in 1..REPORTS) {
        ask(servePort, "POST /agent/beat", warmUpReport(servicesPort, sequence, tasks = ""))
        Thread.sleep(PAUSE_MS)
    }
    ask(servePort, "POST /api/jobs", WARM_UP_JOB)
    ask(servePort, "GET /api/jobs/j-000001")
    Thread.sleep(PAUSE_MS * PAUSES_FOR_JOB)
    return 0
}

/** The classes that only a leader, or an answer of another service, would bring in: they are in the archive as well. */
private fun loadOwnClasses() {
    val jar =
        File(
            Settings::class.java.protectionDomain.codeSource.location
                .toURI(),
        )
    if (!jar.isFile) return
    val names =
        ZipFile(jar).use { zip ->
            zip
                .entries()
                .asSequence()
                .map { it.name }
                .filter { it.endsWith(CLASS_FILE) }
                .toList()
        }
    names.forEach { Class.forName(it.removeSuffix(CLASS_FILE).replace('/', '.'), false, Settings::class.java.classLoader) }
}

private const val CLASS_FILE = ".class"

private fun freePort(): Int = ServerSocket(0).use { it.localPort }

/** The report of a worker that answers at [port]. */
internal fun warmUpReport(
    port: Int,
    sequence: Int,
    tasks: String,
): String = """{"holdfast":"m","addr":"127.0.0.1:$port","build":"b","yard":"z","tenure":1,"tally":$sequence,"warrant":2,"parts":[$tasks]}"""

private const val WARM_UP_JOB =
    """{"uid":"j-000001","batchline":"c","owner":"t","shape":"batch","urgency":"high","parts":2,"cores":1.0,"cards":0.0,"mem_gb":1.0,
        "bundle":"i","image_gb":1.0,"builds":null,"yard":null,"same_place":false,"spread":false,"loaners":true,"guess_s":10.0,
        "snapshot_every_s":0.0,"snapshot_s":0.0,"due_s":60.0}"""

/** Settings of a controller whose every neighbour is a port of its own machine. */
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

/** A leader whose frames are encoded, decoded and added to [sent]. */
private fun warmUpLeader(
    resources: Resources,
    sent: MutableList<PlacementFrame>,
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
    if (it is LeaderEffect.SendFrame) sent += FrameCodec.decode(FrameCodec.encode(it.frame)) as PlacementFrame
}

/** Has the decisions of a leader and a partition run once, with their frames, so that their classes are in the archive too. */
private fun decide() {
    val resources = Resources(1.0, 0.0, 1.0)
    val sent = ArrayList<PlacementFrame>()
    val leader = warmUpLeader(resources, sent)
    val spec =
        JobSpec("j-1", "c", "t", Priority.HIGH, 1, resources, null, null, false, false, true, "i", 1.0, SECOND, 0, 0, null, 0)
    leader.addJob(Job(JobRecordCodec.decode(JobRecordCodec.encode(spec)), 1, 0))
    leader.onMachinesRegistered(mapOf("m" to "z/0"))
    val partition = PartitionCore(PartitionParameters("z/0", "z", 2, 20 * SECOND, SECOND, 0)) { MachineLimits("b", resources) }
    for (now in 1L..6L) {
        val tasks = if (now < 5) "" else """{"part":"j-1/0","try":4294967297,"status":"ended","cause":"done"}"""
        val heartbeat = warmUpReport(port = 1, now.toInt(), tasks)
        (partition.onHeartbeat(WorkerCodec.decodeHeartbeat(Buffer.buffer(heartbeat)), now * SECOND) as HeartbeatOutcome.Accepted)
            .let { WorkerCodec.encodeCommands(it.fencingToken, it.commands) }
        leader.tick(now * SECOND)
        sent.forEach { partition.onLeaderFrame(it, now * SECOND) }
        sent.clear()
        partition.nextDirectOrders(now * SECOND)
        partition.tick(now * SECOND)
        partition.nextFrame(now * SECOND)?.let {
            leader.onPartitionFrame(
                FrameCodec.decode(FrameCodec.encode(it)) as PartitionFrame,
                now * SECOND,
            )
        }
    }
}

/** Asks once the server is up. On a busy machine that can take long; the archive is no reason to fail a build. */
private fun ask(
    port: Int,
    request: String,
    body: String = "{}",
) {
    repeat(TRIES) {
        try {
            Socket("127.0.0.1", port).use {
                val head = "$request HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: ${body.length}\r\n\r\n"
                it.getOutputStream().write((head + body).toByteArray())
                it.getInputStream().readAllBytes()
            }
            return
        } catch (_: IOException) {
            Thread.sleep(PAUSE_MS)
        }
    }
}

private const val TRIES = 100
private const val PAUSE_MS = 100L
private const val REPORTS = 40
private const val PAUSES_FOR_JOB = 15
