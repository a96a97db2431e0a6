package lichenstage.jobs

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Resources

/** Thrown for a submission that cannot be decoded; [field] names the invalid field. */
class InvalidSubmissionException(
    val field: String,
    message: String,
) : Exception("$field: $message")

/** Names of submission fields that replies contain too. */
internal object SubmissionFields {
    const val ID = "uid"
    const val TEAM = "owner"
    const val CORES = "cores"
    const val ALLOWED_TYPES = "builds"
    const val DEPENDENCIES = "waits_on"
}

/** Decodes submissions. Only this object maps the field names of the user API to the properties of [JobSpec]. */
object SubmissionCodec {
    private val idPattern = Regex("j-[0-9]{1,20}")
    private const val MAX_TASKS = 100_000
    private const val MAX_TEXT_LENGTH = 200
    private const val MAX_LIST_SIZE = 100

    /** Returns whether [id] has the form `j-NUMBER` of the ids that users give their jobs. */
    fun isValidId(id: String) = idPattern.matches(id)

    /**
     * Returns the job of a submission that arrived at the time of day [submittedAtUs]. Throws [InvalidSubmissionException] at the first
     * invalid field.
     */
    fun decode(
        json: JsonObject,
        submittedAtUs: Long,
    ): JobSpec {
        val reader = SubmissionReader(json)
        val id = reader.string(SubmissionFields.ID)
        if (!isValidId(id)) throw InvalidSubmissionException(SubmissionFields.ID, "must have the form j-NUMBER, was $id")
        val shape = reader.string("shape")
        if (shape != "batch") throw InvalidSubmissionException("shape", "must be batch, was $shape")
        val priority =
            Priority.entries.firstOrNull { it.name.lowercase() == reader.string("urgency") }
                ?: throw InvalidSubmissionException(
                    "urgency",
                    "must be one of production, high, standard, low, was ${reader.string("urgency")}",
                )
        return JobSpec(
            id = id,
            jobClass = reader.string("batchline"),
            team = reader.string(SubmissionFields.TEAM),
            priority = priority,
            taskCount = reader.int("parts", 1, MAX_TASKS),
            resources = Resources(reader.positive(SubmissionFields.CORES), reader.nonNegative("cards"), reader.nonNegative("mem_gb")),
            allowedTypes = reader.stringList(SubmissionFields.ALLOWED_TYPES),
            zone = reader.optionalString("yard"),
            requiresSameZone = reader.boolean("same_place"),
            requiresSpread = reader.boolean("spread"),
            allowsSpot = reader.boolean("loaners"),
            image = reader.string("bundle"),
            imageGb = reader.nonNegative("image_gb"),
            estimatedRunTimeUs = reader.durationUs("guess_s"),
            checkpointIntervalUs = reader.durationUs("snapshot_every_s"),
            checkpointSaveUs = reader.durationUs("snapshot_s"),
            deadlineAfterUs = if (json.getValue("due_s") == null) null else reader.durationUs("due_s"),
            submittedAtUs = submittedAtUs,
            dependencies = readDependencies(reader, id),
        )
    }

    private fun readDependencies(
        reader: SubmissionReader,
        id: String,
    ): List<String> {
        val dependencies = reader.jobIds(SubmissionFields.DEPENDENCIES)
        if (id in dependencies) throw InvalidSubmissionException(SubmissionFields.DEPENDENCIES, "must not name the job itself, was $id")
        return dependencies
    }

    private class SubmissionReader(
        private val json: JsonObject,
    ) {
        fun string(field: String): String {
            val value = json.getValue(field) as? String ?: throw InvalidSubmissionException(field, "must be a string")
            if (value.isEmpty() || value.length > MAX_TEXT_LENGTH) {
                throw InvalidSubmissionException(field, "must have 1 to $MAX_TEXT_LENGTH characters, was ${value.length}")
            }
            return value
        }

        fun optionalString(field: String) = if (json.getValue(field) == null) null else string(field)

        fun boolean(field: String) = json.getValue(field) as? Boolean ?: throw InvalidSubmissionException(field, "must be true or false")

        fun nonNegative(field: String): Double {
            val value = (json.getValue(field) as? Number)?.toDouble()
            return value?.takeIf { it.isFinite() && it in 0.0..MAX_AMOUNT }
                ?: throw InvalidSubmissionException(field, "must be a number from 0 to ${MAX_AMOUNT.toLong()}, was ${value ?: "no number"}")
        }

        fun positive(field: String) =
            nonNegative(field).also { if (it <= 0.0) throw InvalidSubmissionException(field, "must be above 0, was $it") }

        fun durationUs(field: String) = (nonNegative(field) * SECOND).toLong()

        fun int(
            field: String,
            min: Int,
            max: Int,
        ): Int {
            val value = json.getValue(field) as? Number
            val number = value?.toDouble()
            if (number == null || number != Math.rint(number) || number < min || number > max) {
                throw InvalidSubmissionException(field, "must be a whole number from $min to $max, was ${number ?: "no number"}")
            }
            return number.toInt()
        }

        fun jobIds(field: String): List<String> {
            val value = json.getValue(field) ?: return emptyList()
            val array = value as? JsonArray ?: throw InvalidSubmissionException(field, "must be a list of job ids or null")
            if (array.any { it !is String || !isValidId(it) }) throw InvalidSubmissionException(field, "must be a list of j-NUMBER ids")
            return array.map { it as String }.distinct()
        }

        fun stringList(field: String): List<String>? {
            val value = json.getValue(field) ?: return null
            val array = value as? JsonArray ?: throw InvalidSubmissionException(field, "must be a list of strings or null")
            if (array.size() > MAX_LIST_SIZE) {
                throw InvalidSubmissionException(field, "must have at most $MAX_LIST_SIZE entries, was ${array.size()}")
            }
            return array.map { it as? String ?: throw InvalidSubmissionException(field, "must be a list of strings or null") }
        }
    }

    private const val MAX_AMOUNT = 1e9
}
