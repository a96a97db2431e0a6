package lichenstage.common

import io.vertx.core.json.JsonObject

private const val OBJECTS = "a list of objects"
private const val STRINGS = "a list of strings"

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
    required(field, OBJECTS) { getJsonArray(field)?.map { it as? JsonObject ?: throw JsonDecodingException(field, OBJECTS) } }

/** The texts of the list in a field. Throws [JsonDecodingException] where it is not a list of texts. */
fun JsonObject.requiredStrings(field: String): List<String> =
    required(field, STRINGS) { getJsonArray(field)?.map { it as? String ?: throw JsonDecodingException(field, STRINGS) } }

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

/** The number in a field. Throws [JsonDecodingException] where there is none. */
fun JsonObject.requiredDouble(field: String): Double = required(field, "a number") { getDouble(field) }

/** The number in a field that may be missing. Throws [JsonDecodingException] where it is something else. */
fun JsonObject.optionalDouble(field: String): Double? = if (getValue(field) == null) null else requiredDouble(field)

/** The truth value in a field that may be missing. Throws [JsonDecodingException] where it is something else. */
fun JsonObject.optionalBoolean(field: String): Boolean? =
    if (getValue(field) == null) null else required(field, "true or false") { getBoolean(field) }

/** The whole number of 32 bits in a field. Throws [JsonDecodingException] where there is none. */
fun JsonObject.requiredInt(field: String): Int = required(field, "a number") { getInteger(field) }

/** The truth value in a field. Throws [JsonDecodingException] where there is none. */
fun JsonObject.requiredBoolean(field: String): Boolean = required(field, "true or false") { getBoolean(field) }

/** The text in a field that may be missing. Throws [JsonDecodingException] where it is something else. */
fun JsonObject.optionalString(field: String): String? = if (getValue(field) == null) null else requiredString(field)

/** The whole number in a field that may be missing. Throws [JsonDecodingException] where it is something else. */
fun JsonObject.optionalLong(field: String): Long? = if (getValue(field) == null) null else requiredLong(field)

/** The texts of a list that may be missing. Throws [JsonDecodingException] where it is something else. */
fun JsonObject.optionalStrings(field: String): List<String>? = if (getValue(field) == null) null else requiredStrings(field)

/** The result of [decode]; null, after [onInvalid], where the document does not have the form that [decode] expects. */
inline fun <T : Any> decodeOrNull(
    onInvalid: (JsonDecodingException) -> Unit,
    decode: () -> T,
): T? =
    try {
        decode()
    } catch (e: JsonDecodingException) {
        onInvalid(e)
        null
    }
