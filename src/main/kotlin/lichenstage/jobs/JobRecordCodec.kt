package lichenstage.jobs

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Resources

/** The record of a job in the state service. */
object JobRecordCodec {
    const val OPEN = "j/"
    const val FINISHED = "x/"
    const val DONE = "d/"
    private const val NEEDS = "needs"

    /** The record of a job that is over. [atUs] is the time of day, from which the times of the jobs that need it count. */
    fun finished(
        status: String,
        tasks: Int,
        atUs: Long,
    ): JsonObject = JsonObject().put("status", status).put("tasks", tasks).put("at", atUs)

    /** The record of an open job. */
    fun encode(spec: JobSpec): JsonObject =
        JsonObject()
            .put("id", spec.id)
            .put("kind", spec.jobClass)
            .put("team", spec.team)
            .put("priority", spec.priority.name)
            .put("tasks", spec.tasks)
            .put("cores", spec.resources.cores)
            .put("cards", spec.resources.gpus)
            .put("mem", spec.resources.memGb)
            .put("builds", spec.allowedTypes?.let { JsonArray(it) })
            .put("zone", spec.zone)
            .put("same", spec.sameZone)
            .put("spread", spec.spread)
            .put("spot", spec.spot)
            .put("image", spec.image)
            .put("imageGb", spec.imageGb)
            .put("estimate", spec.estimatedRunTimeUs)
            .put("checkpoint", spec.checkpointIntervalUs)
            .put("save", spec.checkpointSaveUs)
            .put("deadline", spec.deadlineUs)
            .put("at", spec.submittedUs)
            .apply { if (spec.dependencies.isNotEmpty()) put(NEEDS, JsonArray(spec.dependencies)) }

    /** What an open record says of the jobs that it needs. */
    fun dependencies(json: JsonObject): List<String> = json.getJsonArray(NEEDS)?.map { it as String } ?: emptyList()

    /** The job of an open record. */
    fun decode(json: JsonObject): JobSpec =
        JobSpec(
            id = json.getString("id"),
            jobClass = json.getString("kind"),
            team = json.getString("team"),
            priority = Priority.valueOf(json.getString("priority")),
            tasks = json.getInteger("tasks"),
            resources = Resources(json.getDouble("cores"), json.getDouble("cards"), json.getDouble("mem")),
            allowedTypes = json.getJsonArray("builds")?.map { it as String },
            zone = json.getString("zone"),
            sameZone = json.getBoolean("same"),
            spread = json.getBoolean("spread"),
            spot = json.getBoolean("spot"),
            image = json.getString("image"),
            imageGb = json.getDouble("imageGb"),
            estimatedRunTimeUs = json.getLong("estimate"),
            checkpointIntervalUs = json.getLong("checkpoint"),
            checkpointSaveUs = json.getLong("save"),
            deadlineUs = json.getLong("deadline"),
            submittedUs = json.getLong("at"),
            dependencies = dependencies(json),
        )
}
