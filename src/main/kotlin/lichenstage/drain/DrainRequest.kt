package lichenstage.drain

import lichenstage.model.RegisteredMachine

/** The selection of machines for a drain. A field that is null, or empty [names], matches every machine. */
data class DrainSelection(
    val names: Set<String> = emptySet(),
    val typeName: String? = null,
    val zone: String? = null,
    val isSpot: Boolean? = null,
    /** Highest selected machine name. Names ascend in the order in which machines are provisioned. */
    val provisionedUpTo: String? = null,
) {
    /** Returns whether [machine] is selected. */
    operator fun contains(machine: RegisteredMachine) =
        (names.isEmpty() || machine.name in names) && (typeName == null || machine.typeName == typeName) &&
            (zone == null || machine.zone == zone) && (isSpot == null || machine.isSpot == isSpot) &&
            (provisionedUpTo == null || machine.name <= provisionedUpTo)
}

/** A request on the command line to start a drain. */
data class DrainRequest(
    val name: String,
    val selection: DrainSelection,
    val shouldReplace: Boolean,
    val maxConcurrent: Int,
    val deadlineAtUs: Long?,
    val isDryRun: Boolean,
)

/** The result of a drain command. */
sealed interface DrainCommandResult {
    /** The status of the requested drains after a successful command. */
    data class Status(
        val reports: List<DrainReport>,
    ) : DrainCommandResult

    /** The [machines] that a drain would process, sorted by name. Nothing was written. */
    data class DryRun(
        val request: DrainRequest,
        val machines: List<RegisteredMachine>,
    ) : DrainCommandResult

    /** The command is invalid or conflicts with the recorded drains. Nothing was written. */
    data class Rejected(
        val reason: String,
    ) : DrainCommandResult

    /** The state service is unavailable or a record changed concurrently. The same command can be repeated. */
    data object Unavailable : DrainCommandResult
}
