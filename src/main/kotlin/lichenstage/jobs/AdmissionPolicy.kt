package lichenstage.jobs

import lichenstage.common.HttpStatus
import lichenstage.config.Team
import lichenstage.model.JobSpec
import lichenstage.model.MachineFit
import lichenstage.model.MachineType

/** Decides whether a job that was submitted could ever run: by its team's limits, the machine types and the size of its record. */
class AdmissionPolicy(
    private val teams: Map<String, Team>,
    private val recordLimits: RecordLimits,
    /** The machine types by name; none while they are not known. */
    private val machineTypes: () -> Map<String, MachineType>,
) {
    /** The reply that refuses the job, or null where it may be accepted. */
    fun findRefusal(spec: JobSpec): Reply? = checkTeam(spec) ?: checkMachineTypes(spec) ?: checkSize(spec)

    private fun checkTeam(spec: JobSpec): Reply? {
        val team = teams[spec.team] ?: return Reply.rejected(HttpStatus.UNPROCESSABLE_ENTITY, SubmissionFields.TEAM, "unknown team")
        val isWithinLimits = spec.resources.cores <= team.coresMax && spec.resources.gpus <= team.gpusMax
        return if (isWithinLimits) {
            null
        } else {
            Reply.rejected(
                HttpStatus.UNPROCESSABLE_ENTITY,
                SubmissionFields.CORES,
                "one task is over the team's limit",
            )
        }
    }

    private fun checkMachineTypes(spec: JobSpec): Reply? {
        val types = machineTypes()
        return when {
            types.isEmpty() -> Reply.unavailable("machine types are not known yet")
            MachineFit.compatibleTypes(spec, types).isEmpty() -> noTypeFitsReply()
            else -> null
        }
    }

    private fun noTypeFitsReply() =
        Reply.rejected(HttpStatus.UNPROCESSABLE_ENTITY, SubmissionFields.ALLOWED_TYPES, "a task fits no allowed machine type")

    private fun checkSize(spec: JobSpec): Reply? =
        recordLimits.findOversizedField(spec)?.let { (field, reason) -> Reply.rejected(HttpStatus.BAD_REQUEST, field, reason) }
}
