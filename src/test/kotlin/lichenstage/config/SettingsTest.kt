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

    private fun errorMessage(parse: () -> Unit): String? =
        try {
            parse()
            null
        } catch (e: InvalidSettingsException) {
            e.message
        }

    @Example
    fun `the platform's settings file is parsed`() {
        val settings = Settings.parse(text)
        assertTrue(settings.workerLeaseUs == 17_500_000L && settings.cancellationTimeLimitUs == 47_000_000L) { "$settings" }
        assertEquals(Double.POSITIVE_INFINITY, settings.teams.getValue("red").coreLimit) { "a limit of 0 means no limit" }
        assertEquals(Address("10.0.0.2", 8081), settings.peers.single().address) { "$settings" }
    }

    /**
     * Guards against a missing field in the settings of the warm-up start: the class-data archive is not recorded, and later starts are
     * slow.
     */
    @Example
    fun `the settings of the warm-up start are valid`() {
        val errorMessage = errorMessage { Settings.parse(warmUpSettings(servePort = 8080, clusterPort = 8081, servicesPort = 8082)) }
        assertNull(errorMessage) { "$errorMessage" }
    }

    @Example
    fun `the message for an invalid field contains its path and value`() {
        fun errorMessageAfter(change: (JsonObject) -> Unit) = errorMessage { Settings.parse(JsonObject(text).apply(change).encode()) }
        assertEquals(
            "settings.workers.lease_s: must be a number of at least 0.001, was soon",
            errorMessageAfter { it.getJsonObject("settings").getJsonObject("workers").put("lease_s", "soon") },
        ) { "lease_s" }
        assertEquals("serve_on: must be an address HOST:PORT, was here", errorMessageAfter { it.put("serve_on", "here") }) { "serve_on" }
        assertEquals("label: must be a non-empty string, was null", errorMessageAfter { it.remove("label") }) { "label" }
        assertEquals(
            "seeds[0].addr: must be a non-empty string, was 5",
            errorMessageAfter { it.getJsonArray("seeds").getJsonObject(0).put("addr", 5) },
        ) { "seeds" }
        assertEquals("must be a JSON object", errorMessage { Settings.parse("[1]") }) { "an array" }
    }

    @Example
    fun `an announced limit applies from the start if it is smaller than the present one`() {
        fun parseWithAnnounced(next: JsonObject?) =
            Settings.parse(JsonObject(text).also { it.getJsonObject("settings").getJsonObject("state").put("next", next) }.encode())
        val withoutAnnouncement = parseWithAnnounced(null)
        val withSmallerLimits = parseWithAnnounced(JsonObject().put("value_kb", 2.0).put("txn_ops", 4).put("write_rps", 70.0))
        assertTrue(
            withSmallerLimits.maxValueBytes == 2048 && withSmallerLimits.maxTransactionOperations == 4 &&
                withSmallerLimits.stateWriteRps == 70.0 &&
                withSmallerLimits.stateRps == withoutAnnouncement.stateRps,
        ) { "$withSmallerLimits" }
        assertEquals(
            withoutAnnouncement,
            parseWithAnnounced(JsonObject().put("txn_ops", 99)),
        ) { "a larger announced limit does not apply yet" }
        for (invalid in listOf<Any>("x", 0, -1)) {
            val errorMessage = errorMessage { parseWithAnnounced(JsonObject().put("txn_ops", invalid)) }
            assertEquals("settings.state.next.txn_ops: must be a number of at least 2.0, was $invalid", errorMessage) { "$errorMessage" }
        }
    }

    @Example
    fun `operators' settings are parsed from HCL and validated`() {
        val operatorSettings = OperatorSettings.parse("placement {\n  alpha_ms = 500\n}\nfleet {\n  settle_s = 7\n}\n")
        assertTrue(
            operatorSettings.placement.alphaUs == 500 * MILLI && operatorSettings.placement.betaUs == 300 * MILLI,
        ) { "$operatorSettings" }
        val policy = operatorSettings.adjustFleetPolicy(lichenstage.fleet.FleetPolicy())
        assertEquals(7 * SECOND, policy.scaleInDelayUs) { "$policy" }
        val unknownKeyMessage = errorMessage { OperatorSettings.parse("placement {\n  alpha = \"x\"\n}") }
        assertEquals("placement.alpha: must not be set, the key is unknown, was x", unknownKeyMessage) { "$unknownKeyMessage" }
        assertTrue(
            errorMessage {
                OperatorSettings.parse(
                    "fleet {\n  backlog_s = 0\n}",
                )
            }!!.startsWith("fleet.backlog_s: must be a whole number from 1"),
        ) { "range" }
        assertTrue(
            errorMessage {
                OperatorSettings.parse(
                    "fleet {\n  settle_s = \"soon\"\n}",
                )
            }!!.startsWith("fleet.settle_s: must be a whole number"),
        ) { "settle" }
    }

    @Example
    fun `drains are disabled without their block and their budgets are validated`() {
        assertNull(OperatorSettings.parse("fleet {\n}\n").drains) { "drains are enabled without their block" }
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
        val redBudget = policy.budgetOf("red")
        assertTrue(
            redBudget.maxTaskShare == 0.2 && redBudget.maxJobs == null && redBudget.uninterruptibleClasses == setOf("invoice-draft"),
        ) {
            "$redBudget"
        }
        assertTrue(23 in redBudget.allowedHours!! && 5 in redBudget.allowedHours!! && 6 !in redBudget.allowedHours!!) {
            "${redBudget.allowedHours}"
        }
        assertEquals(
            1,
            OperatorSettings
                .parse("drains {\n}\n")
                .drains
                ?.defaultBudget
                ?.maxJobs,
        ) { "the default" }
        val messageByFile =
            mapOf(
                "drains {\n  default {\n    share_percent = 101\n  }\n}" to
                    "drains.default.share_percent: must be a whole number from 0 to 100, was 101.0",
                "drains {\n  default {\n    hours = \"late\"\n  }\n}" to
                    "drains.default.hours: must be hours of the day as \"FROM-TO\", was late",
                "drains {\n  speed = 1\n}" to "drains.speed: must not be set, the key is unknown, was 1.0",
            )
        for ((file, message) in messageByFile) {
            assertEquals(
                message,
                errorMessage {
                    OperatorSettings.parse(file)
                },
            ) { "${errorMessage { OperatorSettings.parse(file) }}" }
        }
        val unknownTeamSettings = OperatorSettings.parse("drains {\n  teams {\n    blue {\n      jobs = 1\n    }\n  }\n}")
        assertEquals(
            "drains.teams.blue: must be a team in the platform's settings, was blue",
            errorMessage {
                unknownTeamSettings.validateAgainst(Settings.parse(text))
            },
        ) { "unknown team" }
    }
}
