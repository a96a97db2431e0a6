package lichenstage.jobs

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Resources

/** A submission that can't be read; names the field. */
class InvalidSubmission(
    val field: String,
    what: String,
) : Exception("$field: $what")

/** Names of fields of a submission that replies and refusals name too. */
internal object SubmissionFields {
    const val ID = "uid"
    const val TEAM = "owner"
    const val CORES = "cores"
    const val ALLOWED_TYPES = "builds"
    const val DEPENDENCIES = "waits_on"
}

/** Decodes submissions: the one place where the names of the user API are mapped to those of [JobSpec]. */
object SubmissionCodec {
    private val idForm = Regex("j-[0-9]{1,20}")
    private const val MAX_TASKS = 100_000
    private const val MAX_TEXT_LENGTH = 200
    private const val MAX_LIST_SIZE = 100

    /** The id has the form that users give their jobs. */
    fun validId(id: String) = idForm.matches(id)

    /** Reads a submission that came at time of day [atUs]; throws [InvalidSubmission] at the first thing that is wrong. */
    fun submission(
        json: JsonObject,
        atUs: Long,
    ): JobSpec {
        val row = Row(json)
        val id = row.text(SubmissionFields.ID)
        if (!validId(id)) throw InvalidSubmission(SubmissionFields.ID, "a job id has the form j-NUMBER")
        val shape = row.text("shape")
        if (shape != "batch") throw InvalidSubmission("shape", "only batch is known")
        val priority =
            Priority.entries.firstOrNull { it.name.lowercase() == row.text("urgency") }
                ?: throw InvalidSubmission("urgency", "one of production, high, standard, low is needed")
        return JobSpec(
            id = id,
            jobClass = row.text("batchline"),
            team = row.text(SubmissionFields.TEAM),
            priority = priority,
            tasks = row.whole("parts", 1, MAX_TASKS),
            resources = Resources(row.positive(SubmissionFields.CORES), row.amount("cards"), row.amount("mem_gb")),
            allowedTypes = row.texts(SubmissionFields.ALLOWED_TYPES),
            zone = row.optionalText("yard"),
            sameZone = row.flag("same_place"),
            spread = row.flag("spread"),
            spot = row.flag("loaners"),
            image = row.text("bundle"),
            imageGb = row.amount("image_gb"),
            estimatedRunTimeUs = row.micros("guess_s"),
            checkpointIntervalUs = row.micros("snapshot_every_s"),
            checkpointSaveUs = row.micros("snapshot_s"),
            deadlineUs = if (json.getValue("due_s") == null) null else row.micros("due_s"),
            submittedUs = atUs,
            dependencies = dependencies(row, id),
        )
    }

    private fun dependencies(
        row: Row,
        id: String,
    ): List<String> {
        val dependencies = row.jobs(SubmissionFields.DEPENDENCIES)
        if (id in dependencies) throw InvalidSubmission(SubmissionFields.DEPENDENCIES, "a job can't wait for itself")
        return dependencies
    }

    private class Row(
        private val json: JsonObject,
    ) {
        fun text(field: String): String {
            val value = json.getValue(field) as? String ?: throw InvalidSubmission(field, "a text is needed")
            if (value.isEmpty() ||
                value.length > MAX_TEXT_LENGTH
            ) {
                throw InvalidSubmission(field, "a text of 1 to $MAX_TEXT_LENGTH characters is needed")
            }
            return value
        }

        fun optionalText(field: String) = if (json.getValue(field) == null) null else text(field)

        fun flag(field: String) = json.getValue(field) as? Boolean ?: throw InvalidSubmission(field, "true or false is needed")

        fun amount(field: String): Double {
            val value = (json.getValue(field) as? Number)?.toDouble()
            return value?.takeIf { it.isFinite() && it in 0.0..MAX_AMOUNT }
                ?: throw InvalidSubmission(field, "a number from 0 to ${MAX_AMOUNT.toLong()} is needed")
        }

        fun positive(field: String) = amount(field).also { if (it <= 0.0) throw InvalidSubmission(field, "must be above 0") }

        fun micros(field: String) = (amount(field) * SECOND).toLong()

        fun whole(
            field: String,
            min: Int,
            max: Int,
        ): Int {
            val value = json.getValue(field) as? Number
            val whole = value?.toDouble()
            if (whole == null || whole != Math.rint(whole) || whole < min || whole > max) {
                throw InvalidSubmission(field, "a whole number from $min to $max is needed")
            }
            return whole.toInt()
        }

        fun jobs(field: String): List<String> {
            val value = json.getValue(field) ?: return emptyList()
            val array = value as? JsonArray ?: throw InvalidSubmission(field, "a list of job ids or null is needed")
            if (array.any { it !is String || !validId(it) }) throw InvalidSubmission(field, "a job id has the form j-NUMBER")
            return array.map { it as String }.distinct()
        }

        fun texts(field: String): List<String>? {
            val value = json.getValue(field) ?: return null
            val array = value as? JsonArray ?: throw InvalidSubmission(field, "a list of texts or null is needed")
            if (array.size() > MAX_LIST_SIZE) throw InvalidSubmission(field, "at most $MAX_LIST_SIZE are allowed")
            return array.map { it as? String ?: throw InvalidSubmission(field, "a list of texts or null is needed") }
        }
    }

    private const val MAX_AMOUNT = 1e9
}
