@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.cluster

import it.unimi.dsi.fastutil.longs.LongOpenHashSet
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.Transient
import kotlinx.serialization.cbor.CborArray

/** The phase of a task on its machine. The names are part of the frames between versions. */
@Serializable
enum class TaskPhase { PENDING, FETCHING, RUNNING, SAVING, ENDED }

/** An attempt at a task as its machine lists it; [cause] says why it has ended. */
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
 * The state of a machine as the owner of its partition sees it.
 *
 * - [isTokenConfirmed]: the worker has reported the fencing token of its partition.
 * - [isUnresponsive]: the worker sends heartbeats but does not reply to direct orders.
 * - [isSilent]: several heartbeats are overdue.
 * - [isLost]: the machine has been silent for longer than its lease, so nothing runs on it any more.
 * - [timeUntilReclaimUs]: the time until the cloud takes the spot machine back; null without such a notice.
 *
 * In a frame, [tasks] are those that have changed since the leader last acknowledged this machine, and [removedAttempts] the attempts that
 * it no longer lists: a machine of many tasks must not cost all of them whenever one ends.
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
    /** The complete state of the machine, where [previous] is the state that this one names the changes since. */
    fun applyTo(previous: MachineState?): MachineState {
        if (previous == null) return if (removedAttempts.isEmpty()) this else copy(removedAttempts = emptyList())
        val changed = LongOpenHashSet(removedAttempts)
        tasks.forEach { changed.add(it.attempt) }
        return copy(tasks = previous.tasks.filterNot { changed.contains(it.attempt) } + tasks, removedAttempts = emptyList())
    }
}

/**
 * Room for [count] tasks of a request that is held on a machine, which has [maxCount] for as many in all. [hasImage]: it has the request's
 * image, or is fetching it.
 */
@Serializable
@CborArray
data class HeldSlots(
    val machine: String,
    val count: Int,
    val maxCount: Int,
    val hasImage: Boolean,
)

/** What a partition holds for the request with this [requestNumber]. */
@Serializable
@CborArray
data class Offer(
    val requestNumber: Long,
    val slots: List<HeldSlots>,
)

/**
 * The state of a partition for the leader: the machines that changed after the version that the leader has acknowledged, in the order of
 * their changes up to [version]. After a failover those are all machines, in several frames: only a frame that brings the last piece
 * ([isFinal]) lets the leader conclude something from a missing machine or task, and only then [seq] goes on (invariant 17).
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
