@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.cluster

import it.unimi.dsi.fastutil.longs.LongOpenHashSet
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import kotlinx.serialization.cbor.CborArray

/** The phase of an attempt on its machine. Frames carry the entry names, so the names must not change between versions. */
@Serializable
enum class TaskPhase { PENDING, FETCHING, RUNNING, SAVING, ENDED }

/** The state of one attempt, as its worker reports it. [cause] says why the attempt has ended (see [TaskEndCause]). */
@Serializable
@CborArray
data class TaskState(
    val taskId: String,
    val attemptNumber: Long,
    val phase: TaskPhase,
    val cause: String? = null,
) {
    /** The ID of the job. [job] and [index] are parsed once, since both are read at every change on the machine. */
    @Transient
    val job = taskId.substringBefore('/')

    /** The index of the task in its job; -1 if [taskId] has none. */
    @Transient
    val index = taskId.substringAfter('/', "").toIntOrNull() ?: -1
}

/**
 * The state of a machine as the owner of its partition sees it.
 *
 * - [isTokenConfirmed]: the worker has reported a fencing token of the partition's current owner.
 * - [isUnresponsive]: it is doubtful that commands reach the worker, for example because a direct order got no reply.
 * - [isSilent]: no message of the worker has arrived for several heartbeat intervals.
 * - [isLost]: the worker's lease has expired, so nothing runs on the machine any more.
 * - [timeUntilReclaimUs]: the time until the cloud provider reclaims the spot machine, in microseconds; null without such a notice.
 *
 * A frame carries only changes: [tasks] contains the attempts that changed since the leader last acknowledged this machine, and
 * [removedAttempts] the numbers of the attempts that the owner has removed since then. If frames carried complete states, the end of one
 * task would resend all tasks of the machine.
 */
@Serializable
@CborArray
data class MachineState(
    val name: String,
    val address: String,
    val typeName: String,
    val isSpot: Boolean,
    val isTokenConfirmed: Boolean,
    val isUnresponsive: Boolean,
    val isSilent: Boolean,
    val isLost: Boolean,
    val timeUntilReclaimUs: Long?,
    val tasks: List<TaskState>,
    val removedAttempts: List<Long> = emptyList(),
) {
    /** Returns the complete state of the machine: [previous] with the changes of this state applied. */
    fun applyTo(previous: MachineState?): MachineState {
        if (previous == null) return if (removedAttempts.isEmpty()) this else copy(removedAttempts = emptyList())
        val changed = LongOpenHashSet(removedAttempts)
        tasks.forEach { changed.add(it.attemptNumber) }
        return copy(tasks = previous.tasks.filterNot { changed.contains(it.attemptNumber) } + tasks, removedAttempts = emptyList())
    }
}

/**
 * A machine's part of a hold: capacity reserved for [count] tasks of a placement request. [maxCount] is the number of tasks of the request
 * that would fit on the machine. [hasImage] says whether the machine probably has the request's image or is fetching it.
 */
@Serializable
@CborArray
data class HeldSlots(
    val machine: String,
    val count: Int,
    val maxCount: Int,
    val hasImage: Boolean,
)

/** The capacity that a partition holds for the placement request [requestNumber]; [slots] is empty if the partition holds none. */
@Serializable
@CborArray
data class Offer(
    val requestNumber: Long,
    val slots: List<HeldSlots>,
)

/**
 * The state of a partition for the leader: the machines that changed after the version that the leader has acknowledged, in the order of
 * their changes, up to [version].
 *
 * A state that does not fit into one frame is split into partial frames and a final frame ([isFinal]), for example after a failover, when
 * it covers all machines. Only after a final frame may the leader draw conclusions from the absence of a machine or task. For the same
 * reason, only a final frame may advance [seq] to the newest leader frame that the partition has received ([receivedSeq]). The effects of
 * the leader frames up to [seq] are completely contained in the state (invariant 17).
 *
 * @property term the term under which the sender owns the partition
 * @property ageUs the time since the sender acquired the partition, in microseconds
 * @property leaderTerm the term of the leader for which the frame is meant
 * @property since the version up to which the leader has acknowledged changes
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
    val isFinal: Boolean,
    val machines: List<MachineState>,
    val offers: List<Offer>,
) : Frame
