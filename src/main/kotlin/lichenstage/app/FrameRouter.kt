package lichenstage.app

import lichenstage.authority.Authority
import lichenstage.cluster.CompletionSyncReply
import lichenstage.cluster.CompletionSyncRequest
import lichenstage.cluster.ForwardedReply
import lichenstage.cluster.ForwardedRequest
import lichenstage.cluster.Frame
import lichenstage.cluster.Hello
import lichenstage.cluster.JobsEnded
import lichenstage.cluster.LeaderFrame
import lichenstage.cluster.MoratoriumGrant
import lichenstage.cluster.MoratoriumRequest
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.Ping
import lichenstage.cluster.RelayedFrame
import lichenstage.cluster.RequestForwarder
import lichenstage.cluster.TaskCounts
import lichenstage.jobs.JobReplicaSync
import lichenstage.jobs.JobsActor
import lichenstage.jobs.JobsMessage
import lichenstage.partition.PartitionActor
import lichenstage.partition.PartitionMessage
import lichenstage.placement.LeaderActor
import lichenstage.placement.LeaderMessage

/** Passes each frame from another controller to the actor that handles it. */
internal class FrameRouter(
    private val authority: Authority,
    private val partitionActor: PartitionActor,
    private val jobsActor: JobsActor,
    private val replicaSync: JobReplicaSync,
    private val forwarder: RequestForwarder,
    private val send: (String, Frame) -> Unit,
    /** Returns the leader actor of this process, or null while this controller is not the leader. */
    private val leader: () -> LeaderActor?,
) {
    /** Handles a frame from the controller [from]. */
    fun onFrame(
        from: String,
        frame: Frame,
    ) {
        when (frame) {
            // The peer links handle these frames themselves.
            is Hello, is Ping, is RelayedFrame -> Unit

            is LeaderFrame -> partitionActor.tell(PartitionMessage.LeaderFrameReceived(frame))

            is PartitionFrame -> leader()?.tell(LeaderMessage.PartitionFrameReceived(frame))

            is ForwardedRequest -> onForwardedRequest(from, frame)

            is ForwardedReply -> forwarder.onReply(frame)

            is MoratoriumRequest -> authority.onMoratoriumRequest(from, frame)

            is MoratoriumGrant -> authority.onMoratoriumGrant(from, frame)

            is CompletionSyncRequest -> replicaSync.onSyncRequest(from, frame)

            is CompletionSyncReply -> replicaSync.onSyncReply(from, frame)

            is JobsEnded -> replicaSync.onJobsEnded(frame)

            is TaskCounts -> jobsActor.tell(JobsMessage.TaskCountsReceived(frame))
        }
    }

    private fun onForwardedRequest(
        from: String,
        frame: ForwardedRequest,
    ) = jobsActor.tell(
        JobsMessage.UserRequest(frame.verb, frame.text, isForwarded = true) {
            send(from, ForwardedReply(frame.number, it.status, it.body.encode(), it.retryAfterS))
        },
    )
}
