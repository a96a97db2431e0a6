package lichenstage.jobs

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Shape

/** A submission that can't be read; names the field. */
class Malformed(
    val field: String,
    what: String,
) : Exception("$field: $what")

/** The words of the user protocol. */
object JobCodec {
    private val idForm = Regex("j-[0-9]{1,20}")
    private const val MOST_TASKS = 100_000

    /** The id has the form that users give their jobs. */
    fun validId(id: String) = idForm.matches(id)

    /** Reads a submission that came at time of day [atUs]; throws [Malformed] at the first thing that is wrong. */
    fun submission(
        json: JsonObject,
        atUs: Long,
    ): JobSpec {
        val row = Row(json)
        val id = row.text("uid")
        if (!validId(id)) throw Malformed("uid", "a job id has the form j-NUMBER")
        val shape = row.text("shape")
        if (shape != "batch") throw Malformed("shape", "only batch is known")
        val priority =
            Priority.entries.firstOrNull { it.name.lowercase() == row.text("urgency") }
                ?: throw Malformed("urgency", "one of production, high, standard, low is needed")
        return JobSpec(
            id = id,
            jobClass = row.text("batchline"),
            team = row.text("owner"),
            priority = priority,
            tasks = row.whole("parts", 1, MOST_TASKS),
            shape = Shape(row.positive("cores"), row.amount("cards"), row.amount("mem_gb")),
            allowedTypes = row.texts("builds"),
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
            dependencies = row.jobs("waits_on").also { if (id in it) throw Malformed("waits_on", "a job can't wait for itself") },
        )
    }

    private class Row(
        private val json: JsonObject,
    ) {
        fun text(field: String): String {
            val value = json.getValue(field) as? String ?: throw Malformed(field, "a text is needed")
            if (value.isEmpty() || value.length > 200) throw Malformed(field, "a text of 1 to 200 characters is needed")
            return value
        }

        fun optionalText(field: String) = if (json.getValue(field) == null) null else text(field)

        fun flag(field: String) = json.getValue(field) as? Boolean ?: throw Malformed(field, "true or false is needed")

        fun amount(field: String): Double {
            val value = (json.getValue(field) as? Number)?.toDouble()
            return value?.takeIf { it.isFinite() && it in 0.0..MOST_AMOUNT }
                ?: throw Malformed(field, "a number from 0 to ${MOST_AMOUNT.toLong()} is needed")
        }

        fun positive(field: String) = amount(field).also { if (it <= 0.0) throw Malformed(field, "must be above 0") }

        fun micros(field: String) = (amount(field) * SECOND).toLong()

        fun whole(
            field: String,
            least: Int,
            most: Int,
        ): Int {
            val value = json.getValue(field) as? Number
            val whole = value?.toDouble()
            if (whole == null || whole != Math.rint(whole) || whole < least || whole > most) {
                throw Malformed(field, "a whole number from $least to $most is needed")
            }
            return whole.toInt()
        }

        fun jobs(field: String): List<String> {
            val value = json.getValue(field) ?: return emptyList()
            val array = value as? JsonArray ?: throw Malformed(field, "a list of job ids or null is needed")
            if (array.any { it !is String || !validId(it) }) throw Malformed(field, "a job id has the form j-NUMBER")
            return array.map { it as String }.distinct()
        }

        fun texts(field: String): List<String>? {
            val value = json.getValue(field) ?: return null
            val array = value as? JsonArray ?: throw Malformed(field, "a list of texts or null is needed")
            if (array.size() > 100) throw Malformed(field, "at most 100 are allowed")
            return array.map { it as? String ?: throw Malformed(field, "a list of texts or null is needed") }
        }
    }

    private const val MOST_AMOUNT = 1e9
}
