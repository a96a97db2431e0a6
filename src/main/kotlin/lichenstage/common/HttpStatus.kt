package lichenstage.common

/** The HTTP status codes that this program sends or handles. */
object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val GONE = 410
    const val PAYLOAD_TOO_LARGE = 413
    const val MISDIRECTED_REQUEST = 421
    const val UNPROCESSABLE_ENTITY = 422
    const val TOO_MANY_REQUESTS = 429
    const val SERVICE_UNAVAILABLE = 503
}
