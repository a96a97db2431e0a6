package lichenstage.common

import io.vertx.core.json.JsonObject

private const val OBJECTS = "a list of objects"
private const val STRINGS = "a list of strings"

/** Signals an invalid JSON document: [field] is missing or is not [expected]. */
class JsonDecodingException(
    val field: String,
    val expected: String,
    cause: Throwable? = null,
) : Exception("$field: must be $expected", cause)

/** Returns the whole number in a field. Throws [JsonDecodingException] if the field is missing or invalid. */
fun JsonObject.requiredLong(field: String): Long = required(field, "a number") { getLong(field) }

/** Returns the string in a field. Throws [JsonDecodingException] if the field is missing or invalid. */
fun JsonObject.requiredString(field: String): String = required(field, "a string") { getString(field) }

/** Returns the object in a field. Throws [JsonDecodingException] if the field is missing or invalid. */
fun JsonObject.requiredObject(field: String): JsonObject = required(field, "an object") { getJsonObject(field) }

/** Returns the list of objects in a field. Throws [JsonDecodingException] if the field is missing or invalid. */
fun JsonObject.requiredObjects(field: String): List<JsonObject> =
    required(field, OBJECTS) { getJsonArray(field)?.map { it as? JsonObject ?: throw JsonDecodingException(field, OBJECTS) } }

/** Returns the list of strings in a field. Throws [JsonDecodingException] if the field is missing or invalid. */
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

/** Returns the number in a field. Throws [JsonDecodingException] if the field is missing or invalid. */
fun JsonObject.requiredDouble(field: String): Double = required(field, "a number") { getDouble(field) }

/** Returns the number in a field; null if the field is missing. Throws [JsonDecodingException] if it is invalid. */
fun JsonObject.optionalDouble(field: String): Double? = if (getValue(field) == null) null else requiredDouble(field)

/** Returns the boolean in a field; null if the field is missing. Throws [JsonDecodingException] if it is invalid. */
fun JsonObject.optionalBoolean(field: String): Boolean? =
    if (getValue(field) == null) null else required(field, "true or false") { getBoolean(field) }

/** Returns the 32-bit whole number in a field. Throws [JsonDecodingException] if the field is missing or invalid. */
fun JsonObject.requiredInt(field: String): Int = required(field, "a number") { getInteger(field) }

/** Returns the boolean in a field. Throws [JsonDecodingException] if the field is missing or invalid. */
fun JsonObject.requiredBoolean(field: String): Boolean = required(field, "true or false") { getBoolean(field) }

/** Returns the string in a field; null if the field is missing. Throws [JsonDecodingException] if it is invalid. */
fun JsonObject.optionalString(field: String): String? = if (getValue(field) == null) null else requiredString(field)

/** Returns the whole number in a field; null if the field is missing. Throws [JsonDecodingException] if it is invalid. */
fun JsonObject.optionalLong(field: String): Long? = if (getValue(field) == null) null else requiredLong(field)

/** Returns the list of strings in a field; null if the field is missing. Throws [JsonDecodingException] if it is invalid. */
fun JsonObject.optionalStrings(field: String): List<String>? = if (getValue(field) == null) null else requiredStrings(field)

/** Returns the result of [decode]. If [decode] throws [JsonDecodingException], passes the exception to [onInvalid] and returns null. */
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
