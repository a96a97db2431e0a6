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

/** The operators' own settings, from an HCL file beside the platform's settings. Without that file everything has its default. */
data class OperatorSettings(
    val placement: PlacementSettings = PlacementSettings(),
    val adjustFleetPolicy: (FleetPolicy) -> FleetPolicy = { it },
    /** Null if drains are not enabled. */
    val drains: DrainPolicy? = null,
) {
    /** Checks these settings against the deployment; throws [InvalidSettingsException] for a team that it does not have. */
    fun validateAgainst(settings: Settings) {
        val unknownTeam = drains?.budgetByTeam?.keys?.firstOrNull { it !in settings.teams } ?: return
        throw InvalidSettingsException("drains.teams.$unknownTeam: unknown team")
    }

    companion object {
        private const val MAX_TIMER_MS = 60_000L
        private const val SECONDS_PER_DAY = 86_400L
        private const val PERCENT = 100.0

        /** Parses HCL; throws [InvalidSettingsException] with the path of an unknown key or of a value out of range. */
        fun parse(text: String): OperatorSettings {
            val root =
                try {
                    @Suppress("UNCHECKED_CAST")
                    HCLParser().parse(text) as Map<String, Any?>
                } catch (e: HCLParserException) {
                    throw InvalidSettingsException("not HCL: ${e.message}", e)
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

        /** The changes that the block makes to a default policy. */
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
