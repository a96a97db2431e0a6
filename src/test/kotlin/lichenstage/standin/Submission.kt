package lichenstage.standin

import io.vertx.core.json.JsonObject

/** Returns the body of a submission of a job with [tasks] small tasks, each of which may run on any machine. */
internal fun submission(
    id: Int,
    tasks: Int,
    team: String,
    estimatedRunS: Double,
): JsonObject =
    JsonObject()
        .put("uid", "j-$id")
        .put("batchline", "x")
        .put("owner", team)
        .put("shape", "batch")
        .put("urgency", "high")
        .put("parts", tasks)
        .put("cores", 1.0)
        .put("cards", 0.0)
        .put("mem_gb", 1.0)
        .put("bundle", "i")
        .put("image_gb", 0.1)
        .put("same_place", false)
        .put("spread", false)
        .put("loaners", true)
        .put("guess_s", estimatedRunS)
        .put("snapshot_every_s", 0.0)
        .put("snapshot_s", 0.0)
