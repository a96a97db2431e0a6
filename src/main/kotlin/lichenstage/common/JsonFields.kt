package lichenstage.common

import io.vertx.core.json.JsonObject

/** A JSON document does not have the form that its reader expects: [field] is missing or is not [expected]. */
class JsonDecodingException(
    val field: String,
    val expected: String,
    cause: Throwable? = null,
) : Exception("field '$field' must be $expected", cause)

/** The whole number in a field. Throws [JsonDecodingException] where there is none. */
fun JsonObject.requiredLong(field: String): Long = required(field, "a number") { getLong(field) }

/** The text in a field. Throws [JsonDecodingException] where there is none. */
fun JsonObject.requiredString(field: String): String = required(field, "a string") { getString(field) }

/** The object in a field. Throws [JsonDecodingException] where there is none. */
fun JsonObject.requiredObject(field: String): JsonObject = required(field, "an object") { getJsonObject(field) }

/** The objects of the list in a field. Throws [JsonDecodingException] where it is not a list of objects. */
fun JsonObject.requiredObjects(field: String): List<JsonObject> =
    required(field, "a list of objects") { getJsonArray(field)?.map { it as JsonObject } }

/** The texts of the list in a field. Throws [JsonDecodingException] where it is not a list of texts. */
fun JsonObject.requiredStrings(field: String): List<String> =
    required(field, "a list of strings") { getJsonArray(field)?.map { it as String } }

private inline fun <T : Any> required(
    field: String,
    expected: String,
    read: () -> T?,
): T {
    val value =
        try {
            read()
        } catch (e: ClassCastException) {
            throw JsonDecodingException(field, expected, e)
        }
    return value ?: throw JsonDecodingException(field, expected)
}
