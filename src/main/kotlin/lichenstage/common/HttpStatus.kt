package lichenstage.common

/** The HTTP status codes that the services and users of a controller are told apart by. */
object HttpStatus {
    const val OK = 200
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val CONFLICT = 409
    const val GONE = 410
    const val TOO_MANY_REQUESTS = 429
    const val SERVICE_UNAVAILABLE = 503
}
