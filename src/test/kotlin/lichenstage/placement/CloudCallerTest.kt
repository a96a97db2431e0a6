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

    /** Lists its pages, the first one after no name and each other one after the last name of the one before. */
    private class PagedCloud(
        private val pages: Map<String?, CloudReply<MachinePage>>,
    ) : Cloud {
        override suspend fun listMachineTypes(): CloudReply<List<MachineType>> = CloudReply.Unavailable

        override suspend fun provision(request: ProvisionRequest) = ProvisionResult.NoCapacity

        override suspend fun terminate(machines: List<String>) = TerminateResult.TERMINATED

        override suspend fun listMachines(after: String?) = pages.getValue(after)
    }

    private fun answerTo(
        call: CloudCall,
        pages: Map<String?, CloudReply<MachinePage>> = emptyMap(),
    ): LeaderMessage {
        val answers = ArrayList<LeaderMessage>()
        runBlocking { CloudCaller(PagedCloud(pages), requestsPerSecond = 1000.0, this, answers::add).call(call, 0) }
        return answers.single()
    }

    @Example
    fun `the answer names the call that it belongs to`() {
        val request = ProvisionRequest("h3-1", "t", "z", true, 1)
        assertEquals(LeaderMessage.ProvisionAnswered(request, ProvisionResult.NoCapacity), answerTo(CloudCall.Provision(request)))
        assertEquals(
            LeaderMessage.TerminateAnswered(listOf("m1"), TerminateResult.TERMINATED),
            answerTo(CloudCall.Terminate(listOf("m1"))),
        )
    }

    @Example
    fun `all pages of the list are read, and one that can't be read makes the list unavailable`() {
        val first = CloudReply.Success(MachinePage(machines.take(2), hasMore = true))
        val last = CloudReply.Success(MachinePage(machines.drop(2), hasMore = false))
        val whole = answerTo(CloudCall.ListAll, mapOf(null to first, "m1" to last))
        assertEquals(LeaderMessage.ListAnswered(CloudReply.Success(machines)), whole)
        for (failure in listOf(CloudReply.Unavailable, CloudReply.Refused(429))) {
            assertEquals(LeaderMessage.ListAnswered(failure), answerTo(CloudCall.ListAll, mapOf(null to first, "m1" to failure)))
        }
    }

    @Example
    fun `one call is under way at a time, and seven tenths of the rate limit are used`() {
        runBlocking {
            val caller = CloudCaller(PagedCloud(emptyMap()), requestsPerSecond = 2.0, this) {}
            assertTrue(caller.isReady(0))
            caller.call(CloudCall.Terminate(listOf("m1")), 0)
            assertFalse(caller.isReady(10 * SECOND), "no answer has come")
            caller.answered()
            assertFalse(caller.isReady(714_284))
            assertTrue(caller.isReady(714_285))
        }
    }
}
