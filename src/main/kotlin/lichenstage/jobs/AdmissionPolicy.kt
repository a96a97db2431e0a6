package lichenstage.jobs

import lichenstage.common.HttpStatus
import lichenstage.config.Team
import lichenstage.model.JobSpec
import lichenstage.model.MachineFit
import lichenstage.model.MachineType

/** Refuses jobs that can never run: it checks each job against its team's limits, the machine types and the size limits of its record. */
class AdmissionPolicy(
    private val teams: Map<String, Team>,
    private val recordLimits: RecordLimits,
    /** Returns the machine types by name; empty while they are not known. */
    private val machineTypes: () -> Map<String, MachineType>,
) {
    /**
     * Returns the reply that refuses the job, or null if the job may be accepted. While the machine types are not known, the reply asks the
     * user to retry.
     */
    fun findRefusal(spec: JobSpec): Reply? = checkTeam(spec) ?: checkMachineTypes(spec) ?: checkSize(spec)

    private fun checkTeam(spec: JobSpec): Reply? {
        val team =
            teams[spec.team] ?: return Reply.rejected(
                HttpStatus.UNPROCESSABLE_ENTITY,
                SubmissionFields.TEAM,
                "${SubmissionFields.TEAM}: must be a configured team, was ${spec.team}",
            )
        val isWithinLimits = spec.resources.cores <= team.coreLimit && spec.resources.gpus <= team.gpuLimit
        return if (isWithinLimits) {
            null
        } else {
            Reply.rejected(
                HttpStatus.UNPROCESSABLE_ENTITY,
                SubmissionFields.CORES,
                "${SubmissionFields.CORES}: must be within the team's limits, was ${spec.resources.cores} (cards: ${spec.resources.gpus})",
            )
        }
    }

    private fun checkMachineTypes(spec: JobSpec): Reply? {
        val types = machineTypes()
        return when {
            types.isEmpty() -> Reply.unavailable("the machine types are not known yet")
            MachineFit.compatibleTypes(spec, types).isEmpty() -> noTypeFitsReply()
            else -> null
        }
    }

    private fun noTypeFitsReply() =
        Reply.rejected(
            HttpStatus.UNPROCESSABLE_ENTITY,
            SubmissionFields.ALLOWED_TYPES,
            "${SubmissionFields.ALLOWED_TYPES}: must allow a machine type of the job's zone that fits one task",
        )

    private fun checkSize(spec: JobSpec): Reply? =
        recordLimits.findOversizedField(spec)?.let { (field, reason) -> Reply.rejected(HttpStatus.BAD_REQUEST, field, reason) }
}
