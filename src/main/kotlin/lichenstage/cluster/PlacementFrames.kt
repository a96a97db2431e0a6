@file:OptIn(ExperimentalSerializationApi::class)

package lichenstage.cluster

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborArray
import lichenstage.model.JobRequirements

/**
 * A placement request: asks partitions to hold capacity for [count] tasks of one job. Partitions process requests in the order of their
 * [requestNumber]. With [isImageRequired], only machines that have the image are of use: on others, fetching the image would take a large
 * part of the run time.
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
    val isSpot: Boolean,
    val isImageRequired: Boolean = false,
)

/** Start the task [index] of the job of request [requestNumber] on a machine that is held for it. */
@Serializable
@CborArray
data class StartOrder(
    val requestNumber: Long,
    val machine: String,
    val index: Int,
    val attempt: Long,
)

/** An attempt on a machine that is to be stopped, or cleared from its list. */
@Serializable
@CborArray
data class AttemptOrder(
    val machine: String,
    val task: String,
    val attempt: Long,
)

/**
 * Stop a running task that can save a checkpoint, with [leewayUs] microseconds to do so. Versions that do not know this order let the task
 * run on.
 */
@Serializable
data class SaveOrder(
    val machine: String,
    val task: String,
    val attempt: Long,
    val leewayUs: Long,
)

/**
 * The orders of the leader to one partition. Partitions obey only the newest [term] (invariant 8), and of its frames only those with a
 * rising [seq]. [cordoned], the machines that get no more tasks, is null where it is as in the frames before.
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
    val requirements: Map<String, JobRequirements> = emptyMap(),
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
