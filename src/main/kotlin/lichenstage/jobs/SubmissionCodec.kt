package lichenstage.jobs

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Resources

/** A submission that can't be read; names the field. */
class InvalidSubmissionException(
    val field: String,
    message: String,
) : Exception("$field: $message")

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
    private val idPattern = Regex("j-[0-9]{1,20}")
    private const val MAX_TASKS = 100_000
    private const val MAX_TEXT_LENGTH = 200
    private const val MAX_LIST_SIZE = 100

    /** The id has the form that users give their jobs. */
    fun isValidId(id: String) = idPattern.matches(id)

    /** Reads a submission that came at time of day [atUs]; throws [InvalidSubmissionException] at the first thing that is wrong. */
    fun decode(
        json: JsonObject,
        submittedAtUs: Long,
    ): JobSpec {
        val reader = SubmissionReader(json)
        val id = reader.string(SubmissionFields.ID)
        if (!isValidId(id)) throw InvalidSubmissionException(SubmissionFields.ID, "a job id has the form j-NUMBER")
        val shape = reader.string("shape")
        if (shape != "batch") throw InvalidSubmissionException("shape", "only batch is known")
        val priority =
            Priority.entries.firstOrNull { it.name.lowercase() == reader.string("urgency") }
                ?: throw InvalidSubmissionException("urgency", "one of production, high, standard, low is needed")
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
            deadlineUs = if (json.getValue("due_s") == null) null else reader.durationUs("due_s"),
            submittedUs = submittedAtUs,
            dependencies = readDependencies(reader, id),
        )
    }

    private fun readDependencies(
        reader: SubmissionReader,
        id: String,
    ): List<String> {
        val dependencies = reader.jobIds(SubmissionFields.DEPENDENCIES)
        if (id in dependencies) throw InvalidSubmissionException(SubmissionFields.DEPENDENCIES, "a job can't wait for itself")
        return dependencies
    }

    private class SubmissionReader(
        private val json: JsonObject,
    ) {
        fun string(field: String): String {
            val value = json.getValue(field) as? String ?: throw InvalidSubmissionException(field, "a text is needed")
            if (value.isEmpty() ||
                value.length > MAX_TEXT_LENGTH
            ) {
                throw InvalidSubmissionException(field, "a text of 1 to $MAX_TEXT_LENGTH characters is needed")
            }
            return value
        }

        fun optionalString(field: String) = if (json.getValue(field) == null) null else string(field)

        fun boolean(field: String) = json.getValue(field) as? Boolean ?: throw InvalidSubmissionException(field, "true or false is needed")

        fun nonNegative(field: String): Double {
            val value = (json.getValue(field) as? Number)?.toDouble()
            return value?.takeIf { it.isFinite() && it in 0.0..MAX_AMOUNT }
                ?: throw InvalidSubmissionException(field, "a number from 0 to ${MAX_AMOUNT.toLong()} is needed")
        }

        fun positive(field: String) = nonNegative(field).also { if (it <= 0.0) throw InvalidSubmissionException(field, "must be above 0") }

        fun durationUs(field: String) = (nonNegative(field) * SECOND).toLong()

        fun int(
            field: String,
            min: Int,
            max: Int,
        ): Int {
            val value = json.getValue(field) as? Number
            val number = value?.toDouble()
            if (number == null || number != Math.rint(number) || number < min || number > max) {
                throw InvalidSubmissionException(field, "a whole number from $min to $max is needed")
            }
            return number.toInt()
        }

        fun jobIds(field: String): List<String> {
            val value = json.getValue(field) ?: return emptyList()
            val array = value as? JsonArray ?: throw InvalidSubmissionException(field, "a list of job ids or null is needed")
            if (array.any { it !is String || !isValidId(it) }) throw InvalidSubmissionException(field, "a job id has the form j-NUMBER")
            return array.map { it as String }.distinct()
        }

        fun stringList(field: String): List<String>? {
            val value = json.getValue(field) ?: return null
            val array = value as? JsonArray ?: throw InvalidSubmissionException(field, "a list of texts or null is needed")
            if (array.size() > MAX_LIST_SIZE) throw InvalidSubmissionException(field, "at most $MAX_LIST_SIZE are allowed")
            return array.map { it as? String ?: throw InvalidSubmissionException(field, "a list of texts or null is needed") }
        }
    }

    private const val MAX_AMOUNT = 1e9
}
