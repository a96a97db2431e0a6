package lichenstage.state

/** The record under [key] can't be read, or is of a later form than this program knows; the cause says which field and why. */
class UnreadableRecordException(
    val key: String,
    cause: Exception,
) : Exception("$key: ${cause.message}", cause)
