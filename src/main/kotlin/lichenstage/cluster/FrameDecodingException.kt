package lichenstage.cluster

/** Bytes from another controller are not a frame that this version knows. */
class FrameDecodingException(
    cause: Throwable,
) : Exception(cause.message, cause)
