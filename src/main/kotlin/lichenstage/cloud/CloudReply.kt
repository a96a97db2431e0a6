package lichenstage.cloud

/** The outcome of reading something from the cloud. */
sealed interface CloudReply<out T> {
    /** The cloud answered with [value]. */
    data class Success<T>(
        val value: T,
    ) : CloudReply<T>

    /** The cloud answered with another HTTP status than 200: the rate limit, an outage. */
    data class Refused(
        val status: Int,
    ) : CloudReply<Nothing>

    /** No answer came in time, or one that could not be decoded. */
    data object Unavailable : CloudReply<Nothing>
}
