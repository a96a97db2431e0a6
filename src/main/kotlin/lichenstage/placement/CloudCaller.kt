package lichenstage.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.cloud.Cloud
import lichenstage.cloud.CloudReply
import lichenstage.cloud.ListedMachine
import lichenstage.fleet.CloudCall

/**
 * Makes the fleet's calls to the cloud, one at a time and within the cloud's rate limit of [requestsPerSecond]. Each reply is delivered to
 * the leader as a message through [tell].
 */
internal class CloudCaller(
    private val cloud: Cloud,
    private val requestsPerSecond: Double,
    private val scope: CoroutineScope,
    private val tell: (LeaderMessage) -> Unit,
) {
    private val minIntervalUs = (MICROS_PER_SECOND / (requestsPerSecond * USABLE_RATE_SHARE)).toLong()
    private var isCallInFlight = false
    private var lastCallAtUs = Long.MIN_VALUE / 2

    /** Returns whether a call may be made now: no call is in flight, and the last call was long enough ago. */
    fun canCall(nowUs: Long) = !isCallInFlight && nowUs - lastCallAtUs >= minIntervalUs

    /** Starts a call. [onReplyReceived] has to be called once the reply has been handled. */
    fun call(
        call: CloudCall,
        nowUs: Long,
    ) {
        isCallInFlight = true
        lastCallAtUs = nowUs
        scope.launch {
            when (call) {
                is CloudCall.Provision -> tell(LeaderMessage.ProvisionReplyReceived(call.request, cloud.provision(call.request)))
                is CloudCall.Terminate -> tell(LeaderMessage.TerminateReplyReceived(call.machines, cloud.terminate(call.machines)))
                CloudCall.ListAll -> tell(LeaderMessage.MachineListReceived(listAll()))
            }
        }
    }

    /** Marks the call in flight as finished. */
    fun onReplyReceived() {
        isCallInFlight = false
    }

    /** Reads all pages of the machine list. If one page cannot be read, returns that failure in place of the list. */
    private suspend fun listAll(): CloudReply<List<ListedMachine>> {
        val machines = ArrayList<ListedMachine>()
        while (true) {
            when (val reply = cloud.listMachines(machines.lastOrNull()?.name)) {
                is CloudReply.Refused -> {
                    return reply
                }

                CloudReply.Unavailable -> {
                    return CloudReply.Unavailable
                }

                is CloudReply.Success -> {
                    machines += reply.value.machines
                    if (!reply.value.hasMore || reply.value.machines.isEmpty()) return CloudReply.Success(machines)
                }
            }
            delay((MILLIS_PER_SECOND / requestsPerSecond).toLong())
        }
    }

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000
        const val MILLIS_PER_SECOND = 1_000

        /**
         * The share of the cloud's rate limit that this leader uses. The rest is reserved for calls of an earlier leader, which may still
         * count towards the limit.
         */
        const val USABLE_RATE_SHARE = 0.7
    }
}
