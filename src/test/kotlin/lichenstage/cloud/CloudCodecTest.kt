package lichenstage.cloud

import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException
import lichenstage.common.SECOND
import lichenstage.model.MachineType
import lichenstage.model.Resources
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows

/** Guards the names and values in the JSON documents of the cloud's API. */
class CloudCodecTest {
    @Example
    fun `a provision request contains name, type, zone, spot flag and number of machines`() {
        assertEquals(
            """{"hire":"h3-1","build":"g8","yard":"a","loaners":true,"number":12}""",
            CloudCodec.encodeProvision(ProvisionRequest("h3-1", "g8", "a", isSpot = true, count = 12)).encode(),
        )
    }

    @Example
    fun `a termination request contains the names of the machines`() {
        assertEquals("""{"holdfasts":["vm-1","vm-2"]}""", CloudCodec.encodeTerminate(listOf("vm-1", "vm-2")).encode())
    }

    @Example
    fun `the path of a page asks for 500 machines after the last name`() {
        assertEquals("/hosts?most=500", CloudCodec.listPath(null))
        assertEquals("/hosts?since=vm-7&most=500", CloudCodec.listPath("vm-7"))
    }

    @Example
    fun `the result of a provision request depends on the status and the error of the reply`() {
        val provisioned = CloudCodec.decodeProvision(200, JsonObject("""{"holdfasts":["vm-1"]}"""))
        assertEquals(ProvisionResult.Provisioned(listOf("vm-1")), provisioned)
        assertEquals(ProvisionResult.NoCapacity, CloudCodec.decodeProvision(503, JsonObject("""{"error":"no capacity"}""")))
        assertEquals(ProvisionResult.NoCapacity, CloudCodec.decodeProvision(400, JsonObject()), "malformed")
        assertEquals(ProvisionResult.Indeterminate, CloudCodec.decodeProvision(503, JsonObject("""{"error":"trouble"}""")), "outage")
        assertEquals(ProvisionResult.Indeterminate, CloudCodec.decodeProvision(429, JsonObject()), "rate limit")
        assertThrows(JsonDecodingException::class.java) { CloudCodec.decodeProvision(200, JsonObject()) }
    }

    @Example
    fun `a machine type is decoded with defaults for optional fields`() {
        val full =
            """{"name":"g8","cores":16,"cards":8,"mem_gb":64,"hourly":2.0,"low_price":0.5,"boot_s":1.5,"cache_gb":50,""" +
                """"pull_gb_per_s":0.5,"yards":["a","b"]}"""
        val least = """{"name":"c4","cores":4,"mem_gb":8.5,"hourly":1,"boot_s":30,"cache_gb":0,"pull_gb_per_s":0,"yards":[]}"""
        assertEquals(
            listOf(
                MachineType("g8", Resources(16.0, 8.0, 64.0), 2.0, 0.5, 1_500_000, 50.0, 0.5, listOf("a", "b")),
                MachineType("c4", Resources(4.0, 0.0, 8.5), 1.0, 1.0, 30 * SECOND, Double.POSITIVE_INFINITY, 1.0, emptyList()),
            ),
            CloudCodec.decodeMachineTypes(JsonObject("""{"builds":[$full,$least]}""")),
        )
    }

    @Example
    fun `a page is decoded with the status of each machine and whether another page follows`() {
        fun row(
            name: String,
            status: String,
        ) = """{"uid":"$name","addr":"10.1.0.232:9000","build":"g8","yard":"a","loaners":true,"status":"$status","age_s":61.5}"""
        val rows = listOf(row("m1", "starting"), row("m2", "running"), row("m3", "failed"), row("m4", "hibernated")).joinToString(",")
        val page = CloudCodec.decodePage(JsonObject("""{"holdfasts":[$rows],"truncated":true}"""))
        assertEquals(true, page.hasMore)
        assertEquals(
            listOf(ListedStatus.STARTING, ListedStatus.RUNNING, ListedStatus.FAILED, ListedStatus.OTHER),
            page.machines.map { it.status },
        )
        assertEquals(ListedMachine("m1", "g8", "a", true, ListedStatus.STARTING, 61_500_000), page.machines.first())
        val bare = CloudCodec.decodePage(JsonObject("""{"holdfasts":[{"uid":"m","build":"g","yard":"a","status":"running"}]}"""))
        assertEquals(MachinePage(listOf(ListedMachine("m", "g", "a", false, ListedStatus.RUNNING, 0)), false), bare)
    }

    @Example
    fun `a document of an unexpected form is rejected with the name of the wrong field`() {
        for (
        (document, field) in
        listOf(
            """{}""" to "holdfasts",
            """{"holdfasts":[null]}""" to "holdfasts",
            """{"holdfasts":["vm-1"]}""" to "holdfasts",
            """{"holdfasts":[],"truncated":"no"}""" to "truncated",
            """{"holdfasts":[{"uid":"m","build":"g","yard":"a"}]}""" to "status",
            """{"holdfasts":[{"uid":"m","build":"g","yard":"a","status":"running","age_s":"old"}]}""" to "age_s",
        )
        ) {
            val error = assertThrows(JsonDecodingException::class.java, { CloudCodec.decodePage(JsonObject(document)) }, document)
            assertEquals(field, error.field, document)
        }
    }
}
