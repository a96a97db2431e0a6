package lichenstage.jobs

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException
import lichenstage.common.optionalLong
import lichenstage.common.optionalString
import lichenstage.common.optionalStrings
import lichenstage.common.requiredBoolean
import lichenstage.common.requiredDouble
import lichenstage.common.requiredInt
import lichenstage.common.requiredLong
import lichenstage.common.requiredString
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Resources

/**
 * Encodes and decodes the records of jobs in the state service.
 *
 * An open job has the record `j/ID`, and a finished job has the record `x/ID`. From its acceptance on, a job has exactly one of the two,
 * because one transaction deletes the first and puts the second. The records `d/ID/CHUNK` hold the completed tasks of an open job
 * (see [CompletedTaskCodec]).
 */
object JobRecordCodec {
    /** Prefix of the keys of open jobs. */
    const val OPEN_PREFIX = "j/"

    /** Prefix of the keys of finished jobs. */
    const val FINISHED_PREFIX = "x/"

    /** Prefix of the keys of completed tasks of open jobs. */
    const val DONE_TASKS_PREFIX = "d/"
    private const val DEPENDENCIES = "needs"
    private const val PRIORITY = "priority"

    /** Returns the record of a finished job. */
    fun encodeFinished(job: FinishedJob): JsonObject =
        JsonObject()
            .put("status", job.outcome.status.wireName)
            .put("tasks", job.completedTasks)
            .put("at", job.outcome.endedAtUs)

    /** Returns the end in the record of a finished job. Any status other than `done` counts as cancelled. */
    fun decodeFinished(json: JsonObject): FinishedJob {
        val status = if (json.getString("status") == EndStatus.DONE.wireName) EndStatus.DONE else EndStatus.CANCELLED
        return FinishedJob(JobOutcome(status, json.getLong("at")), json.getInteger("tasks") ?: 0)
    }

    /** Returns the record of an open job. */
    fun encode(spec: JobSpec): JsonObject =
        JsonObject()
            .put("id", spec.id)
            .put("kind", spec.jobClass)
            .put("team", spec.team)
            .put(PRIORITY, spec.priority.name)
            .put("tasks", spec.taskCount)
            .put("cores", spec.resources.cores)
            .put("cards", spec.resources.gpus)
            .put("mem", spec.resources.memGb)
            .put("builds", spec.allowedTypes?.let { JsonArray(it) })
            .put("zone", spec.zone)
            .put("same", spec.requiresSameZone)
            .put("spread", spec.requiresSpread)
            .put("spot", spec.allowsSpot)
            .put("image", spec.image)
            .put("imageGb", spec.imageGb)
            .put("estimate", spec.estimatedRunTimeUs)
            .put("checkpoint", spec.checkpointIntervalUs)
            .put("save", spec.checkpointSaveUs)
            .put("deadline", spec.deadlineAfterUs)
            .put("at", spec.submittedAtUs)
            .apply { if (spec.dependencies.isNotEmpty()) put(DEPENDENCIES, JsonArray(spec.dependencies)) }

    /** Returns the ids of the dependencies in an open record. Throws [JsonDecodingException] if they are not a list of strings. */
    fun decodeDependencies(json: JsonObject): List<String> = json.optionalStrings(DEPENDENCIES) ?: emptyList()

    /** Returns the time of day in microseconds at which the job of an open record was submitted; 0 if the record has no time. */
    fun decodeSubmittedAtUs(json: JsonObject): Long = json.getLong("at") ?: 0

    /** Returns the job of an open record. Throws [JsonDecodingException] at the first field that cannot be decoded. */
    fun decode(json: JsonObject): JobSpec =
        JobSpec(
            id = json.requiredString("id"),
            jobClass = json.requiredString("kind"),
            team = json.requiredString("team"),
            priority = decodePriority(json),
            taskCount = json.requiredInt("tasks"),
            resources = Resources(json.requiredDouble("cores"), json.requiredDouble("cards"), json.requiredDouble("mem")),
            allowedTypes = json.optionalStrings("builds"),
            zone = json.optionalString("zone"),
            requiresSameZone = json.requiredBoolean("same"),
            requiresSpread = json.requiredBoolean("spread"),
            allowsSpot = json.requiredBoolean("spot"),
            image = json.requiredString("image"),
            imageGb = json.requiredDouble("imageGb"),
            estimatedRunTimeUs = json.requiredLong("estimate"),
            checkpointIntervalUs = json.requiredLong("checkpoint"),
            checkpointSaveUs = json.requiredLong("save"),
            deadlineAfterUs = json.optionalLong("deadline"),
            submittedAtUs = json.requiredLong("at"),
            dependencies = decodeDependencies(json),
        )

    private fun decodePriority(json: JsonObject): Priority {
        val name = json.requiredString(PRIORITY)
        return Priority.entries.firstOrNull { it.name == name }
            ?: throw JsonDecodingException(PRIORITY, "one of ${Priority.entries.joinToString()}")
    }
}
