package lichenstage.cloud

/** The outcome of a read request to the cloud. */
sealed interface CloudReply<out T> {
    /** The cloud replied with [value]. */
    data class Success<T>(
        val value: T,
    ) : CloudReply<T>

    /** The cloud replied with an HTTP status other than 200, for example because of its rate limit or an outage. */
    data class Refused(
        val status: Int,
    ) : CloudReply<Nothing>

    /** No reply came in time, or the reply could not be decoded. */
    data object Unavailable : CloudReply<Nothing>
}
