package lichenstage.cluster

/** The failure to decode bytes from another controller: they are not a frame that this version supports. */
class FrameDecodingException(
    cause: Throwable,
) : Exception(cause.message, cause)
