package lichenstage.placement

import kotlinx.coroutines.runBlocking
import lichenstage.cloud.Cloud
import lichenstage.cloud.CloudReply
import lichenstage.cloud.ListedMachine
import lichenstage.cloud.ListedStatus
import lichenstage.cloud.MachinePage
import lichenstage.cloud.ProvisionRequest
import lichenstage.cloud.ProvisionResult
import lichenstage.cloud.TerminateResult
import lichenstage.common.SECOND
import lichenstage.fleet.CloudCall
import lichenstage.model.MachineType
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

class CloudCallerTest {
    private val machines = List(3) { ListedMachine("m$it", "t", "z", true, ListedStatus.RUNNING, 0) }

    /**
     * A cloud that returns its machine list in [pages]. The key of a page is the last machine name of the previous page, or null for the
     * first page.
     */
    private class PagedCloud(
        private val pages: Map<String?, CloudReply<MachinePage>>,
    ) : Cloud {
        override suspend fun listMachineTypes(): CloudReply<List<MachineType>> = CloudReply.Unavailable

        override suspend fun provision(request: ProvisionRequest) = ProvisionResult.NoCapacity

        override suspend fun terminate(machines: List<String>) = TerminateResult.TERMINATED

        override suspend fun listMachines(after: String?) = pages.getValue(after)
    }

    private fun replyTo(
        call: CloudCall,
        pages: Map<String?, CloudReply<MachinePage>> = emptyMap(),
    ): LeaderMessage {
        val replies = ArrayList<LeaderMessage>()
        runBlocking { CloudCaller(PagedCloud(pages), requestsPerSecond = 1000.0, this, replies::add).call(call, 0) }
        return replies.single()
    }

    @Example
    fun `a reply carries the request that it belongs to`() {
        val request = ProvisionRequest("h3-1", "t", "z", true, 1)
        assertEquals(LeaderMessage.ProvisionReplyReceived(request, ProvisionResult.NoCapacity), replyTo(CloudCall.Provision(request)))
        assertEquals(
            LeaderMessage.TerminateReplyReceived(listOf("m1"), TerminateResult.TERMINATED),
            replyTo(CloudCall.Terminate(listOf("m1"))),
        )
    }

    @Example
    fun `the machine list contains all pages, and reading it fails if one page cannot be read`() {
        val firstPage = CloudReply.Success(MachinePage(machines.take(2), hasMore = true))
        val lastPage = CloudReply.Success(MachinePage(machines.drop(2), hasMore = false))
        val completeList = replyTo(CloudCall.ListAll, mapOf(null to firstPage, "m1" to lastPage))
        assertEquals(LeaderMessage.MachineListReceived(CloudReply.Success(machines)), completeList)
        for (failure in listOf(CloudReply.Unavailable, CloudReply.Refused(429))) {
            assertEquals(LeaderMessage.MachineListReceived(failure), replyTo(CloudCall.ListAll, mapOf(null to firstPage, "m1" to failure)))
        }
    }

    @Example
    fun `the next call has to wait for the reply and for the interval of 70 percent of the rate limit`() {
        runBlocking {
            val caller = CloudCaller(PagedCloud(emptyMap()), requestsPerSecond = 2.0, this) {}
            assertTrue(caller.canCall(0))
            caller.call(CloudCall.Terminate(listOf("m1")), 0)
            assertFalse(caller.canCall(10 * SECOND), "allowed a second call before the reply to the first")
            caller.onReplyReceived()
            assertFalse(caller.canCall(714_284))
            assertTrue(caller.canCall(714_285))
        }
    }
}
