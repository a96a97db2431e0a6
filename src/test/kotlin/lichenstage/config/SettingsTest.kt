package lichenstage.config

import io.vertx.core.json.JsonObject
import lichenstage.app.OperatorSettings
import lichenstage.app.warmUpSettings
import lichenstage.common.Address
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

class SettingsTest {
    private val text =
        """
        {"label":"n0","area":"a","serve_on":"10.0.0.1:8080","cluster_listen":"10.0.0.1:8081","surprise":1,
         "seeds":[{"label":"n1","area":"b","addr":"10.0.0.2:8081"}],
         "endpoints":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
         "settings":{"count":2,"zones":["a","b"],"teams":[{"name":"red","cpus":4,"cpus_max":0.0}],
          "objectives":[{"kind":"wait","class":"x","within_s":15.0},{"kind":"unheard of"}],
          "workers":{"report_s":3.0,"lease_s":17.5,"cancel_s":47.0},"state":{"rps":200,"write_rps":80,"txn_ops":12},"cloud":{"rps":4,"list_lag_s":5}}}
        """

    private fun complaint(parse: () -> Unit): String? =
        try {
            parse()
            null
        } catch (e: InvalidSettingsException) {
            e.message
        }

    @Example
    fun `the platform's file is read`() {
        val settings = Settings.parse(text)
        assertTrue(settings.workerLeaseUs == 17_500_000L && settings.cancellationDeadlineUs == 47_000_000L) { "$settings" }
        assertEquals(Double.POSITIVE_INFINITY, settings.teams.getValue("red").coresMax) { "a limit of 0 means none" }
        assertEquals(Address("10.0.0.2", 8081), settings.peers.single().address) { "$settings" }
    }

    /** The start that makes the class archive has settings of its own: a field that they lack ends it, and each later start is slow. */
    @Example
    fun `the settings of the warm-up start can be used`() {
        val complaint = complaint { Settings.parse(warmUpSettings(servePort = 8080, clusterPort = 8081, servicesPort = 8082)) }
        assertNull(complaint) { "$complaint" }
    }

    @Example
    fun `what is wrong is named with its path and value`() {
        fun changed(change: (JsonObject) -> Unit) = complaint { Settings.parse(JsonObject(text).apply(change).encode()) }
        assertEquals(
            "settings.workers.lease_s: a number of at least 0.001 is needed, found soon",
            changed { it.getJsonObject("settings").getJsonObject("workers").put("lease_s", "soon") },
        ) { "lease_s" }
        assertEquals("serve_on: an address HOST:PORT is needed, found here", changed { it.put("serve_on", "here") }) { "serve_on" }
        assertEquals("label: a text is needed, found null", changed { it.remove("label") }) { "label" }
        assertEquals(
            "seeds[0].addr: a text is needed, found 5",
            changed { it.getJsonArray("seeds").getJsonObject(0).put("addr", 5) },
        ) { "seeds" }
        assertEquals("not a JSON object", complaint { Settings.parse("[1]") }) { "an array" }
    }

    @Example
    fun `limits that are to come hold from the start where they are smaller`() {
        fun with(next: JsonObject?) =
            Settings.parse(JsonObject(text).also { it.getJsonObject("settings").getJsonObject("state").put("next", next) }.encode())
        val today = with(null)
        val small = with(JsonObject().put("value_kb", 2.0).put("txn_ops", 4).put("write_rps", 70.0))
        assertTrue(
            small.maxValueBytes == 2048 && small.maxTransactionOperations == 4 && small.stateWriteRps == 70.0 &&
                small.stateRps == today.stateRps,
        ) { "$small" }
        assertEquals(today, with(JsonObject().put("txn_ops", 99))) { "a larger limit to come does not hold yet" }
        for (wrong in listOf<Any>("x", 0, -1)) {
            val complaint = complaint { with(JsonObject().put("txn_ops", wrong)) }
            assertEquals("settings.state.next.txn_ops: a number of at least 2.0 is needed, found $wrong", complaint) { "$complaint" }
        }
    }

    @Example
    fun `operators' settings are HCL and checked`() {
        val operator = OperatorSettings.parse("placement {\n  alpha_ms = 500\n}\nfleet {\n  settle_s = 7\n}\n")
        assertTrue(operator.placement.alphaUs == 500 * MILLI && operator.placement.betaUs == 300 * MILLI) { "$operator" }
        val policy = operator.adjustFleetPolicy(lichenstage.fleet.FleetPolicy())
        assertEquals(7 * SECOND, policy.scaleInDelayUs) { "$policy" }
        val unknown = complaint { OperatorSettings.parse("placement {\n  alpha = \"x\"\n}") }
        assertEquals("placement.alpha: unknown key, found x", unknown) { "$unknown" }
        assertTrue(
            complaint { OperatorSettings.parse("fleet {\n  backlog_s = 0\n}") }!!.startsWith("fleet.backlog_s: a whole number from 1"),
        ) { "range" }
        assertTrue(
            complaint { OperatorSettings.parse("fleet {\n  settle_s = \"soon\"\n}") }!!.startsWith("fleet.settle_s: a whole number"),
        ) { "settle" }
    }

    @Example
    fun `drains are off without their block, and budgets are checked`() {
        assertNull(OperatorSettings.parse("fleet {\n}\n").drains) { "on by themselves" }
        val policy =
            OperatorSettings
                .parse(
                    """
                    drains {
                      replacement_failures = 2
                      default {
                        jobs = 3
                      }
                      teams {
                        red {
                          share_percent = 20
                          hours = "22-6"
                          never = ["invoice-draft"]
                        }
                      }
                    }
                    """,
                ).drains!!
        assertTrue(policy.defaultBudget.maxJobs == 3 && policy.maxReplacementFailures == 2) { "$policy" }
        val red = policy.budgetOf("red")
        assertTrue(red.maxTaskShare == 0.2 && red.maxJobs == null && red.uninterruptibleClasses == setOf("invoice-draft")) { "$red" }
        assertTrue(23 in red.allowedHours!! && 5 in red.allowedHours!! && 6 !in red.allowedHours!!) { "${red.allowedHours}" }
        assertEquals(
            1,
            OperatorSettings
                .parse("drains {\n}\n")
                .drains
                ?.defaultBudget
                ?.maxJobs,
        ) { "the default" }
        val wrong =
            mapOf(
                "drains {\n  default {\n    share_percent = 101\n  }\n}" to
                    "drains.default.share_percent: a whole number from 0 to 100 is needed, found 101.0",
                "drains {\n  default {\n    hours = \"late\"\n  }\n}" to
                    "drains.default.hours: hours of the day as \"FROM-TO\" are needed, found late",
                "drains {\n  speed = 1\n}" to "drains.speed: unknown key, found 1.0",
            )
        for ((file, what) in wrong) {
            assertEquals(
                what,
                complaint {
                    OperatorSettings.parse(file)
                },
            ) { "${complaint { OperatorSettings.parse(file) }}" }
        }
        val stranger = OperatorSettings.parse("drains {\n  teams {\n    blue {\n      jobs = 1\n    }\n  }\n}")
        assertEquals("drains.teams.blue: unknown team", complaint { stranger.validateAgainst(Settings.parse(text)) }) { "unknown team" }
    }
}
