package lichenstage.app

import com.bertramlabs.plugins.hcl4j.HCLParser
import com.bertramlabs.plugins.hcl4j.HCLParserException
import lichenstage.common.MILLI
import lichenstage.common.SECOND
import lichenstage.config.InvalidSettingsException
import lichenstage.config.Settings
import lichenstage.drain.DisruptionBudget
import lichenstage.drain.DrainPolicy
import lichenstage.fleet.FleetPolicy
import lichenstage.placement.PlacementSettings

/** The operators' settings, from an HCL file beside the platform's settings file. Without that file every setting has its default. */
data class OperatorSettings(
    val placement: PlacementSettings = PlacementSettings(),
    /** Returns the given policy with the changes from the file. */
    val adjustFleetPolicy: (FleetPolicy) -> FleetPolicy = { it },
    /** The policy for drains; null if the file does not enable drains. */
    val drains: DrainPolicy? = null,
) {
    /** Throws [InvalidSettingsException] if a budget is for a team that [settings] does not have. */
    fun validateAgainst(settings: Settings) {
        val unknownTeam = drains?.budgetByTeam?.keys?.firstOrNull { it !in settings.teams } ?: return
        throw InvalidSettingsException("drains.teams.$unknownTeam: must be a team in the platform's settings, was $unknownTeam")
    }

    companion object {
        private const val MAX_TIMER_MS = 60_000L
        private const val SECONDS_PER_DAY = 86_400L
        private const val PERCENT = 100.0

        /** Parses HCL. Throws [InvalidSettingsException] with the path of the first unknown key or invalid value. */
        fun parse(text: String): OperatorSettings {
            val root =
                try {
                    @Suppress("UNCHECKED_CAST")
                    HCLParser().parse(text) as Map<String, Any?>
                } catch (e: HCLParserException) {
                    throw InvalidSettingsException("must be valid HCL: ${e.message}", e)
                }
            val rootBlock = HclBlock(root, "")
            val placement = rootBlock.section("placement")
            val fleet = rootBlock.section("fleet")
            val drains = if (rootBlock.has("drains")) parseDrains(rootBlock.section("drains")) else null
            rootBlock.rejectUnreadKeys()
            return OperatorSettings(parsePlacement(placement), parseFleet(fleet), drains)
        }

        private fun parsePlacement(block: HclBlock): PlacementSettings {
            val defaults = PlacementSettings()
            val settings =
                PlacementSettings(
                    alphaUs = block.wholeNumber("alpha_ms", 10, MAX_TIMER_MS)?.times(MILLI) ?: defaults.alphaUs,
                    betaUs = block.wholeNumber("beta_ms", 0, MAX_TIMER_MS)?.times(MILLI) ?: defaults.betaUs,
                    maxJobsPerRound = block.wholeNumber("batch_jobs", 1, 1000)?.toInt() ?: defaults.maxJobsPerRound,
                    maxTasksPerRequest = block.wholeNumber("batch_tasks", 1, 10_000)?.toInt() ?: defaults.maxTasksPerRequest,
                )
            block.rejectUnreadKeys()
            return settings
        }

        /** Returns a function that applies the settings of the block to a policy. */
        private fun parseFleet(block: HclBlock): (FleetPolicy) -> FleetPolicy {
            val backlogUs = block.wholeNumber("backlog_s", 1, SECONDS_PER_DAY)?.times(SECOND)
            val scaleInDelayUs = block.wholeNumber("settle_s", 0, SECONDS_PER_DAY)?.times(SECOND)
            val targetUtilization = block.wholeNumber("fill_percent", 10, 100)?.div(PERCENT)
            block.rejectUnreadKeys()
            return { policy ->
                policy.copy(
                    backlogUs = backlogUs ?: policy.backlogUs,
                    scaleInDelayUs = scaleInDelayUs ?: policy.scaleInDelayUs,
                    targetUtilization = targetUtilization ?: policy.targetUtilization,
                )
            }
        }

        private fun parseDrains(block: HclBlock): DrainPolicy {
            val maxReplacementFailures = block.wholeNumber("replacement_failures", 1, 100)?.toInt()
            val defaultBudget = if (block.has("default")) parseBudget(block.section("default")) else null
            val teams = block.section("teams")
            val budgetByTeam = teams.keys.associateWith { parseBudget(teams.section(it)) }
            teams.rejectUnreadKeys()
            block.rejectUnreadKeys()
            val policy = DrainPolicy(budgetByTeam = budgetByTeam)
            return policy.copy(
                defaultBudget = defaultBudget ?: policy.defaultBudget,
                maxReplacementFailures =
                    maxReplacementFailures ?: policy.maxReplacementFailures,
            )
        }

        private fun parseBudget(block: HclBlock): DisruptionBudget {
            val budget =
                DisruptionBudget(
                    maxJobs = block.wholeNumber("jobs", 0, 1_000_000)?.toInt(),
                    maxTaskShare = block.wholeNumber("share_percent", 0, 100)?.div(PERCENT),
                    allowedHours = block.hourRange("hours"),
                    uninterruptibleClasses = block.stringList("never").toSet(),
                )
            block.rejectUnreadKeys()
            return budget
        }
    }
}
