package lichenstage.drain

import lichenstage.model.RegisteredMachine

/** Which of the recorded machines are meant; a field that is null does not choose. */
data class DrainSelection(
    val names: Set<String> = emptySet(),
    val typeName: String? = null,
    val zone: String? = null,
    val spot: Boolean? = null,
    /** Machines named up to this one: names are given in the order in which machines are provisioned. */
    val provisionedUpTo: String? = null,
) {
    /** The machine is meant. */
    operator fun contains(machine: RegisteredMachine) =
        (names.isEmpty() || machine.name in names) && (typeName == null || machine.typeName == typeName) &&
            (zone == null || machine.zone == zone) && (spot == null || machine.isSpot == spot) &&
            (provisionedUpTo == null || machine.name <= provisionedUpTo)
}

/** A drain as it is asked for on the command line. */
data class DrainRequest(
    val name: String,
    val selection: DrainSelection,
    val replace: Boolean,
    val maxConcurrent: Int,
    val deadlineUs: Long?,
    val isDryRun: Boolean,
)

/** The result of a command. */
sealed interface DrainCommandResult {
    /** The status of drains. */
    data class Status(
        val reports: List<DrainReport>,
    ) : DrainCommandResult

    /** What a drain would do. */
    data class DryRun(
        val request: DrainRequest,
        val machines: List<RegisteredMachine>,
    ) : DrainCommandResult

    /** It can't be done; nothing was written. */
    data class Rejected(
        val reason: String,
    ) : DrainCommandResult

    /** The state service does not answer; the command can be repeated as it was. */
    data object Unavailable : DrainCommandResult
}
