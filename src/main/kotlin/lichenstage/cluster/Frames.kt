@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.cluster

import it.unimi.dsi.fastutil.longs.LongOpenHashSet
import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.cbor.CborArray

/** What a task takes of its machine. */
@Serializable
@CborArray
data class Shape(
    val cores: Double,
    val cards: Double,
    val memGb: Double,
) {
    /** How often [need] fits into this. */
    fun fits(need: Shape): Int = minOf(times(cores, need.cores), times(cards, need.cards), times(memGb, need.memGb))

    operator fun minus(other: Shape) = Shape(cores - other.cores, cards - other.cards, memGb - other.memGb)

    operator fun times(count: Int) = Shape(cores * count, cards * count, memGb * count)

    /** With room for the rounding of many small shares. */
    private fun times(
        free: Double,
        need: Double,
    ): Int = if (need <= 0.0 || free == Double.POSITIVE_INFINITY) Int.MAX_VALUE else ((free + 1e-6) / need).toInt()
}

/** What a part must know of a job whose tasks are on its machines. */
@Serializable
@CborArray
data class JobRequirements(
    val shape: Shape,
    val image: String,
    val imageGb: Double = 0.0,
)

/** What passes between controllers. Every frame can be lost, late or repeated; each carries what is needed to see that. */
@Serializable
sealed interface Frame

/** Says who connects. [incarnation] rises from process to process: what an earlier one had under way is not heard any more. */
@Serializable
@SerialName("lichenstage.cluster.Hello")
data class Hello(
    val label: String,
    @SerialName("life")
    val incarnation: Long = 0,
) : Frame

/**
 * A placement request: [count] tasks of one shape. [stamp] orders the requests at every part. [imageOnly]: it is for room on machines
 * with the image, since others would first spend a good part of the run time on fetching it.
 */
@Serializable
@CborArray
data class PlacementRequest(
    val stamp: Long,
    val job: String,
    val facts: JobRequirements,
    val count: Int,
    val allowedTypes: List<String>?,
    val zone: String?,
    val spot: Boolean,
    val imageOnly: Boolean = false,
)

/** Start the task [index] of the job of request [stamp] on a machine that is held for it. */
@Serializable
@CborArray
data class StartOrder(
    val stamp: Long,
    val machine: String,
    val index: Int,
    val attempt: Long,
)

@Serializable
@CborArray
data class AttemptOrder(
    val machine: String,
    val task: String,
    val attempt: Long,
)

/** Stop a running task that can save its progress, with [leewayUs] to do so. Versions that do not know it let the task run on. */
@Serializable
data class SaveOrder(
    val machine: String,
    val task: String,
    val attempt: Long,
    val leewayUs: Long,
)

/**
 * The leader's word to one part. Parts obey only the newest [term], and of its frames only those with a rising [seq]. [cordoned],
 * the machines that get no more tasks, is null where it is as in the frames before.
 */
@Serializable
@SerialName("lichenstage.cluster.LeaderFrame")
data class PlacementFrame(
    @SerialName("part")
    val partition: String,
    val term: Long,
    val seq: Long,
    @SerialName("ackTerm")
    val ackTerm: Long,
    @SerialName("ackVersion")
    val ackVersion: Long,
    @SerialName("facts")
    val facts: Map<String, JobRequirements> = emptyMap(),
    val addresses: Map<String, String> = emptyMap(),
    @SerialName("asks")
    val requests: List<PlacementRequest> = emptyList(),
    @SerialName("starts")
    val starts: List<StartOrder> = emptyList(),
    val releases: List<Long> = emptyList(),
    val stops: List<AttemptOrder> = emptyList(),
    val clears: List<AttemptOrder> = emptyList(),
    @SerialName("closed")
    val cordoned: Set<String>? = null,
    /** Left out where there are none, so that such a frame is, byte for byte, that of versions without it. */
    @EncodeDefault(EncodeDefault.Mode.NEVER)
    val saves: List<SaveOrder> = emptyList(),
) : Frame

@Serializable
enum class TaskPhase { PENDING, FETCHING, RUNNING, SAVING, ENDED }

@Serializable
@CborArray
data class TaskState(
    val task: String,
    val attempt: Long,
    val phase: TaskPhase,
    val cause: String? = null,
) {
    /** Read off the name once: both are asked for whenever something on the machine changes. */
    @Transient
    val job = task.substringBefore('/')

    @Transient
    val index = task.substringAfter('/', "").toIntOrNull() ?: -1
}

/**
 * A machine as its part knows it. [unresponsive]: orders to it go unheeded although it reports. [silent]: several reports are overdue. [lost]: silent for longer than its lease, so that
 * nothing runs on it any more.
 *
 * In a frame, [tasks] are those that have changed since the leader last acknowledged this machine, and [gone] the attempts that it no
 * longer lists: a machine of many tasks must not cost all of them whenever one ends.
 */
@Serializable
@CborArray
data class MachineState(
    val name: String,
    val address: String,
    val typeName: String,
    val spot: Boolean,
    val settled: Boolean,
    val unresponsive: Boolean,
    val silent: Boolean,
    val lost: Boolean,
    val recallUs: Long?,
    val tasks: List<TaskState>,
    val gone: List<Long> = emptyList(),
) {
    /** The whole machine, where [before] is what was known of it and this tells what has changed since. */
    fun after(before: MachineState?): MachineState {
        if (before == null) return if (gone.isEmpty()) this else copy(gone = emptyList())
        val told = LongOpenHashSet(gone)
        tasks.forEach { told.add(it.attempt) }
        return copy(tasks = before.tasks.filterNot { told.contains(it.attempt) } + tasks, gone = emptyList())
    }
}

/** Room held on a machine. [hasImage]: it has the request's image, or is fetching it. */
@Serializable
@CborArray
data class HeldSlots(
    val machine: String,
    val count: Int,
    val room: Int,
    val hasImage: Boolean,
)

@Serializable
@CborArray
data class Offer(
    val stamp: Long,
    val held: List<HeldSlots>,
)

/**
 * A part's word to the leader: the machines that changed after the version the leader has acknowledged, in the order of their
 * changes up to [version]. After a takeover that is all of them, in several frames: only when a frame brings the last piece
 * ([whole]) does a missing machine or task mean something, and only then [seq] goes on.
 */
@Serializable
@SerialName("lichenstage.cluster.PartFrame")
data class PartitionFrame(
    @SerialName("part")
    val partition: String,
    val term: Long,
    val ageUs: Long,
    val leaderTerm: Long,
    val seq: Long,
    @SerialName("heardSeq")
    val receivedSeq: Long,
    val since: Long,
    val version: Long,
    @SerialName("whole")
    val whole: Boolean,
    val machines: List<MachineState>,
    val offers: List<Offer>,
) : Frame

/** Says that the sender is there, and whether the state service answers it. */
@Serializable
@SerialName("lichenstage.cluster.Ping")
data class Ping(
    val stateAnswers: Boolean,
) : Frame

/** Asks the receiver to take no key for a moment. [incarnation] and [askedUs] are the asker's, and come back with the answer. */
@Serializable
@SerialName("lichenstage.cluster.Bind")
data class PledgeRequest(
    @SerialName("life")
    val incarnation: Long,
    val askedUs: Long,
) : Frame

@Serializable
@SerialName("lichenstage.cluster.Bound")
data class Pledge(
    @SerialName("life")
    val incarnation: Long,
    val askedUs: Long,
) : Frame

/**
 * Asks for all ends of jobs after [revision] that the receiver has learned of. [logIncarnation] and [upTo]: the process whose log the asker has
 * taken in so far, and how much of it. [incarnation] and [askedUs] are the asker's, and come back with the answer.
 */
@Serializable
@SerialName("lichenstage.cluster.EndsSince")
data class CompletionSyncRequest(
    @SerialName("life")
    val incarnation: Long,
    val askedUs: Long,
    val revision: Long,
    @SerialName("logLife")
    val logIncarnation: Long,
    @SerialName("upTo")
    val upTo: Long,
) : Frame

/** A piece of the sender's log, from [since] to [upTo]; [whole] where that is all of it. */
@Serializable
@SerialName("lichenstage.cluster.EndsOf")
data class CompletionSyncReply(
    @SerialName("life")
    val incarnation: Long,
    val askedUs: Long,
    @SerialName("logLife")
    val logIncarnation: Long,
    val since: Long,
    @SerialName("upTo")
    val upTo: Long,
    val jobs: List<String>,
    @SerialName("whole")
    val whole: Boolean,
) : Frame

/** These jobs have ended, as the sender is about to tell a user: so that their tasks stop early. Nothing rests on its arrival. */
@Serializable
@SerialName("lichenstage.cluster.Ended")
data class JobsEnded(
    val jobs: List<String>,
) : Frame

/** A frame on its way through a third controller, for a pair that can't reach each other (the paper's intermediate agent). */
@Serializable
@SerialName("lichenstage.cluster.Relayed")
data class RelayedFrame(
    val from: String,
    val to: String,
    val frame: Frame,
) : Frame

@Serializable
enum class UserVerb { SUBMIT, SHOW, CANCEL }

/** A user's request that a controller passes to another because the state service does not answer it. */
@Serializable
@SerialName("lichenstage.cluster.Forward")
data class ForwardedRequest(
    val number: Long,
    val verb: UserVerb,
    val text: String,
) : Frame

/** The other's answer to request [number]. */
@Serializable
@SerialName("lichenstage.cluster.Forwarded")
data class ForwardedReply(
    val number: Long,
    val status: Int,
    val body: String,
    val retryAfterS: Int?,
) : Frame

/** For display: how many tasks of each open job are done and running. */
@Serializable
@SerialName("lichenstage.cluster.Counts")
data class TaskCounts(
    val term: Long,
    val jobs: Map<String, List<Int>>,
) : Frame

/**
 * What comes by the hundred in a frame is written as arrays: with the names of the fields each machine's tasks took twice the bytes,
 * and the leader read them from every part ten times a second.
 */
object FrameCodec {
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            // An array has no names to tell which of its fields were left out.
            encodeDefaults = true
        }

    fun encode(frame: Frame): ByteArray = cbor.encodeToByteArray(Frame.serializer(), frame)

    fun decode(bytes: ByteArray): Frame = cbor.decodeFromByteArray(Frame.serializer(), bytes)
}
