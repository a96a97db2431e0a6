package lichenstage.app

import com.bertramlabs.plugins.hcl4j.HCLParser
import com.bertramlabs.plugins.hcl4j.HCLParserException
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.InvalidSettingsException
import lichenstage.config.Settings
import lichenstage.drain.DisruptionBudget
import lichenstage.drain.DrainPolicy
import lichenstage.drain.Hours
import lichenstage.fleet.FleetPolicy
import lichenstage.placement.PlacementSettings

/** What operators may set beyond the platform's file. Without a file, everything has its default. */
data class OperatorSettings(
    val placementSettings: PlacementSettings = PlacementSettings(),
    val fleet: (FleetPolicy) -> FleetPolicy = { it },
    /** Null where drains are not switched on. */
    val drains: DrainPolicy? = null,
) {
    /** What the file says has to fit the deployment. */
    fun check(settings: Settings) {
        val unknown = drains?.byTeam?.keys?.firstOrNull { it !in settings.teams } ?: return
        throw InvalidSettingsException("drains.teams.$unknown: unknown team")
    }

    companion object {
        /** Reads HCL; unknown keys and values out of range are refused with their path. */
        fun parse(text: String): OperatorSettings {
            val root =
                try {
                    @Suppress("UNCHECKED_CAST")
                    HCLParser().parse(text) as Map<String, Any?>
                } catch (e: HCLParserException) {
                    throw InvalidSettingsException("not HCL: ${e.message}", e)
                }
            val top = Block(root, "")
            val placement = top.section("placement")
            val fleet = top.section("fleet")
            val drains = if (top.has("drains")) drains(top.section("drains")) else null
            top.finish()
            val defaults = PlacementSettings()
            val placementSettings =
                PlacementSettings(
                    alphaUs = placement.whole("alpha_ms", 10, 60_000)?.times(MILLI) ?: defaults.alphaUs,
                    betaUs = placement.whole("beta_ms", 0, 60_000)?.times(MILLI) ?: defaults.betaUs,
                    jobsPerRound = placement.whole("batch_jobs", 1, 1000)?.toInt() ?: defaults.jobsPerRound,
                    tasksPerRequest = placement.whole("batch_tasks", 1, 10_000)?.toInt() ?: defaults.tasksPerRequest,
                )
            placement.finish()
            val backlogUs = fleet.whole("backlog_s", 1, 86_400)?.times(SECOND)
            val scaleInDelayUs = fleet.whole("settle_s", 0, 86_400)?.times(SECOND)
            val targetUtilization = fleet.whole("fill_percent", 10, 100)?.div(100.0)
            fleet.finish()
            val policy = { policy: FleetPolicy ->
                policy.copy(
                    backlogUs = backlogUs ?: policy.backlogUs,
                    scaleInDelayUs = scaleInDelayUs ?: policy.scaleInDelayUs,
                    targetUtilization = targetUtilization ?: policy.targetUtilization,
                )
            }
            return OperatorSettings(placementSettings, policy, drains)
        }

        private fun drains(block: Block): DrainPolicy {
            val failures = block.whole("replacement_failures", 1, 100)?.toInt()
            val default = if (block.has("default")) budget(block.section("default")) else null
            val teams = block.section("teams")
            val byTeam = teams.keys.associateWith { budget(teams.section(it)) }
            teams.finish()
            block.finish()
            val policy = DrainPolicy(byTeam = byTeam)
            return policy.copy(default = default ?: policy.default, replacementFailures = failures ?: policy.replacementFailures)
        }

        private fun budget(block: Block): DisruptionBudget {
            val budget =
                DisruptionBudget(
                    jobs = block.whole("jobs", 0, 1_000_000)?.toInt(),
                    share = block.whole("share_percent", 0, 100)?.div(100.0),
                    hours = block.hours("hours"),
                    neverClasses = block.texts("never").toSet(),
                )
            block.finish()
            return budget
        }
    }

    /** One block of the file; keys that were not asked for are unknown. */
    private class Block(
        private val values: Map<String, Any?>,
        private val path: String,
    ) {
        private val asked = HashSet<String>()

        val keys: Set<String> get() = values.keys

        fun has(key: String) = key in values

        /** Texts in a list; none where the key is left out. */
        fun texts(key: String): List<String> {
            val value = take(key) ?: return emptyList()
            val list = value as? List<*> ?: fail(key, "a list of texts is needed")
            return list.map { it as? String ?: fail(key, "a list of texts is needed") }
        }

        /** Hours of the day as "FROM-TO", or null. */
        fun hours(key: String): Hours? {
            val value = take(key) ?: return null
            val parts = (value as? String)?.split('-')?.map { it.toIntOrNull() ?: -1 }.orEmpty()
            if (parts.size != 2 || parts.any { it !in 0..24 }) fail(key, "hours of the day as \"FROM-TO\" are needed")
            return Hours(parts[0], parts[1])
        }

        private fun take(key: String): Any? {
            asked += key
            return values[key]
        }

        private fun fail(
            key: String,
            what: String,
        ): Nothing = throw InvalidSettingsException("$path$key: $what, found ${values[key]}")

        fun section(key: String): Block {
            val value = take(key) ?: return Block(emptyMap(), "$path$key.")
            @Suppress("UNCHECKED_CAST")
            return Block(value as? Map<String, Any?> ?: fail(key, "a block is needed"), "$path$key.")
        }

        fun whole(
            key: String,
            least: Long,
            most: Long,
        ): Long? {
            val value = take(key) ?: return null
            val number = (value as? Number)?.toDouble()
            if (number == null || number != Math.rint(number) || number < least || number > most) {
                fail(key, "a whole number from $least to $most is needed")
            }
            return number.toLong()
        }

        fun finish() {
            val unknown = values.keys.firstOrNull { it !in asked } ?: return
            fail(unknown, "unknown key")
        }
    }
}
