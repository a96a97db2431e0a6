package lichenstage.drain

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.SECOND
import java.time.Instant

/** The status report of a drain, as text or JSON. */
data class DrainReport(
    val drain: Drain,
    val machineCountByStage: Map<Stage, Int>,
    val machinesInProgress: List<DrainedMachine>,
    /** Current interruptions of each team for any cause, including those not caused by this drain. */
    val interruptionsByTeam: Map<String, List<Interruption>>,
    /** Whether the deadline has passed, or would be missed at the average pace so far. */
    val isLate: Boolean,
) {
    /** Returns the report as JSON for programs. */
    fun toJson(): JsonObject =
        JsonObject()
            .put("name", drain.name)
            .put("status", drain.status.name.lowercase())
            .put("reason", drain.reason)
            .put("replace", drain.shouldReplace)
            .put("at_most", drain.maxConcurrent)
            .put("late", isLate)
            .put("stages", JsonObject(machineCountByStage.entries.associate { it.key.name.lowercase() to it.value }))
            .put("under_way", JsonArray(machinesInProgress.map(::machineJson)))
            .put("interrupted", JsonObject(interruptionsByTeam.mapValues { (_, interruptions) -> interruptionsJson(interruptions) }))

    private fun machineJson(machine: DrainedMachine) =
        JsonObject()
            .put("machine", machine.name)
            .put("stage", machine.stage.name.lowercase())
            .put("since", formatTime(machine.sinceUs))
            .put("replacement", machine.replacement)
            .put("failed_replacements", machine.failedReplacements)

    private fun interruptionsJson(interruptions: List<Interruption>) =
        JsonObject()
            .put("jobs", JsonArray(interruptions.map { it.taskId.job }.distinct().sorted()))
            .put("tasks", interruptions.size)
            .put("by_drains", interruptions.count { it.cause == InterruptionCause.DRAIN })

    /** Returns the report as text for operators. */
    fun toText(): String {
        val lines = ArrayList<String>()
        val reason = drain.reason?.let { " ($it)" }.orEmpty()
        lines +=
            "${drain.name}: ${drain.status.name.lowercase()}$reason, at most ${drain.maxConcurrent} at once" +
            if (drain.shouldReplace) ", with replacement" else ""
        drain.deadlineAtUs?.let { lines += "  deadline ${formatTime(it)}${if (isLate) " (cannot be met)" else ""}" }
        lines += "  " + machineCountByStage.entries.joinToString { "${it.value} ${it.key.name.lowercase()}" }
        for (machine in machinesInProgress) {
            val replacement = machine.replacement?.let { ", replacement $it" }.orEmpty()
            val failures = if (machine.failedReplacements > 0) ", ${machine.failedReplacements} replacements failed" else ""
            lines += "  ${machine.name} ${machine.stage.name.lowercase()} since ${formatTime(machine.sinceUs)}$replacement$failures"
        }
        for ((team, interruptions) in interruptionsByTeam) {
            val jobs = interruptions.map { it.taskId.job }.distinct()
            lines += "  $team: ${jobs.size} jobs interrupted (${jobs.sorted().joinToString(" ")}), ${interruptions.size} tasks"
        }
        return lines.joinToString("\n")
    }

    companion object {
        /** Returns the report of [drain] from its recorded [state] at the wall clock time [nowUs]. */
        fun create(
            drain: Drain,
            state: DrainState,
            nowUs: Long,
        ): DrainReport {
            val machines =
                state.machines.values
                    .filter { it.drain == drain.name }
                    .sortedBy { it.name }
            return DrainReport(
                drain,
                machines.groupingBy { it.stage }.eachCount().toSortedMap(),
                machines.filter { it.stage.isInProgress },
                state.interruptions.values
                    .groupBy { it.team }
                    .toSortedMap(),
                isLate(drain, machines, nowUs),
            )
        }

        private fun isLate(
            drain: Drain,
            machines: List<DrainedMachine>,
            nowUs: Long,
        ): Boolean {
            val deadlineAtUs = drain.deadlineAtUs ?: return false
            val completedMachines = machines.count { it.stage.isOver }
            val remainingMachines = machines.size - completedMachines
            if (remainingMachines == 0) return false
            val perMachineUs = (nowUs - drain.requestedAtUs) / maxOf(completedMachines, 1)
            return nowUs + (if (completedMachines == 0) 0 else perMachineUs * remainingMachines) > deadlineAtUs
        }

        private fun formatTime(us: Long): String = Instant.ofEpochSecond(us / SECOND).toString()

        /** Returns the steps of a dry run as text. The actual order differs, because the leader drains idle machines first. */
        fun formatDryRun(dryRun: DrainCommandResult.DryRun): String {
            val steps = dryRun.machines.chunked(dryRun.request.maxConcurrent)
            val lines =
                steps.mapIndexed {
                    i,
                    step,
                    ->
                    "step ${i + 1}: ${step.joinToString(" ") { "${it.name} (${it.typeName}, ${it.zone})" }}"
                }
            return (
                listOf(
                    "${dryRun.request.name} would drain ${dryRun.machines.size} machines; idle machines go first",
                ) + lines
            ).joinToString("\n")
        }
    }
}
