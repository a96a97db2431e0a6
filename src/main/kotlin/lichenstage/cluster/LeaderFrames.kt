@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.cluster

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import lichenstage.model.JobRequirements

/**
 * A request to a partition to hold capacity for [count] tasks of one job. Each partition processes the requests of a frame in the order of
 * their [requestNumber]. If [isImageRequired], the partition holds capacity only on machines that have the image, because fetching the
 * image would take a large part of the run time.
 */
@Serializable
@CborArray
data class PlacementRequest(
    val requestNumber: Long,
    val job: String,
    val requirements: JobRequirements,
    val count: Int,
    val allowedTypes: List<String>?,
    val zone: String?,
    val allowsSpot: Boolean,
    val isImageRequired: Boolean = false,
)

/** The command to start task [index] of the job of placement request [requestNumber] on [machine], which holds capacity for the request. */
@Serializable
@CborArray
data class StartCommand(
    val requestNumber: Long,
    val machine: String,
    val index: Int,
    val attemptNumber: Long,
)

/** The command to stop an attempt on [machine], or to clear it from the list of ended attempts. */
@Serializable
@CborArray
data class AttemptCommand(
    val machine: String,
    val taskId: String,
    val attemptNumber: Long,
)

/**
 * The command to stop a running attempt after it had [leewayUs] microseconds to save a checkpoint. Versions that do not support this
 * command ignore it, so the task continues to run.
 */
@Serializable
data class CheckpointStopCommand(
    val machine: String,
    @SerialName("task")
    val taskId: String,
    @SerialName("attempt")
    val attemptNumber: Long,
    val leewayUs: Long,
)

/**
 * A frame with the leader's placement requests and commands to one partition.
 *
 * A partition accepts frames only from the newest [term] it has seen (invariant 8), and within that term only with an increasing [seq].
 *
 * @property term the leadership term
 * @property acknowledgedTerm the term of the partition's owner to which [acknowledgedVersion] belongs; 0 without a frame of an owner
 * @property acknowledgedVersion the version of the partition's state up to which the leader has received all changes
 * @property addresses the addresses of the partition's recorded machines by name; empty once the owner has acknowledged them
 * @property releases the numbers of the placement requests whose holds are released
 * @property avoidedMachines the machines on which the partition holds no capacity for the requests of a job, by job id
 * @property completeJobs those jobs of the [clears] whose completion is recorded
 * @property cordoned the machines that get no more tasks; null means that the set is the same as in the previous frames
 */
@Serializable
@SerialName("lichenstage.cluster.LeaderFrame")
data class LeaderFrame(
    @SerialName("part")
    val partition: String,
    val term: Long,
    val seq: Long,
    @SerialName("ackTerm")
    val acknowledgedTerm: Long,
    @SerialName("ackVersion")
    val acknowledgedVersion: Long,
    @SerialName("facts")
    val requirements: Map<String, JobRequirements> = emptyMap(),
    val addresses: Map<String, String> = emptyMap(),
    @SerialName("asks")
    val requests: List<PlacementRequest> = emptyList(),
    @SerialName("starts")
    val starts: List<StartCommand> = emptyList(),
    val releases: List<Long> = emptyList(),
    val stops: List<AttemptCommand> = emptyList(),
    val clears: List<AttemptCommand> = emptyList(),
    @SerialName("closed")
    val cordoned: Set<String>? = null,
    /** Omitted from the frame if empty, so that the bytes equal those of versions without this field. */
    @EncodeDefault(EncodeDefault.Mode.NEVER)
    @SerialName("saves")
    val checkpointStops: List<CheckpointStopCommand> = emptyList(),
    /** Omitted from the frame if empty, like [checkpointStops]. Versions without this field may offer these machines. */
    @EncodeDefault(EncodeDefault.Mode.NEVER)
    @SerialName("avoid")
    val avoidedMachines: Map<String, Set<String>> = emptyMap(),
    /** Omitted from the frame if empty, like [checkpointStops]. Without it, attempts are cleared later. */
    @EncodeDefault(EncodeDefault.Mode.NEVER)
    @SerialName("complete")
    val completeJobs: Set<String> = emptySet(),
) : Frame
