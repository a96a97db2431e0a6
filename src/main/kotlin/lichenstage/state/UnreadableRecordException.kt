package lichenstage.state

/** The failure to read the record under [key]: it is malformed or has a newer format. The cause names the field and the reason. */
class UnreadableRecordException(
    val key: String,
    cause: Exception,
) : Exception("$key: ${cause.message}", cause)
