package lichenstage.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.cloud.Cloud
import lichenstage.cloud.CloudReply
import lichenstage.cloud.ListedMachine
import lichenstage.fleet.CloudCall

/**
 * Carries out the fleet's calls to the cloud, one at a time and within its rate limit of [requestsPerSecond]. The answer comes as a
 * message through [tell].
 */
internal class CloudCaller(
    private val cloud: Cloud,
    private val requestsPerSecond: Double,
    private val scope: CoroutineScope,
    private val tell: (LeaderMessage) -> Unit,
) {
    private val minIntervalUs = (MICROS_PER_SECOND / (requestsPerSecond * USABLE_RATE_SHARE)).toLong()
    private var calling = false
    private var calledUs = Long.MIN_VALUE / 2

    /** A call may be made now: none is under way, and the last is long enough ago. */
    fun isReady(now: Long) = !calling && now - calledUs >= minIntervalUs

    /** Begins a call; [answered] has to be called when its answer has been taken. */
    fun call(
        call: CloudCall,
        now: Long,
    ) {
        calling = true
        calledUs = now
        scope.launch {
            when (call) {
                is CloudCall.Provision -> tell(LeaderMessage.ProvisionAnswered(call.request, cloud.provision(call.request)))
                is CloudCall.Terminate -> tell(LeaderMessage.TerminateAnswered(call.machines, cloud.terminate(call.machines)))
                CloudCall.ListAll -> tell(LeaderMessage.ListAnswered(listAll()))
            }
        }
    }

    /** The answer to the last call has come. */
    fun answered() {
        calling = false
    }

    /** Reads all pages of the list; one that can't be read makes the whole list unavailable. */
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

        /** The part of the cloud's rate limit that is used: bursts of an earlier leader may still count. */
        const val USABLE_RATE_SHARE = 0.7
    }
}
