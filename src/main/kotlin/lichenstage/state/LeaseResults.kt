package lichenstage.state

/** The outcome of asking for a new lease. */
sealed interface LeaseGrant {
    /** The service granted the lease with this number. */
    data class Granted(
        val lease: Long,
    ) : LeaseGrant

    /** No lease is known to be granted. */
    data object Failed : LeaseGrant
}

/** The outcome of renewing a lease. */
enum class LeaseRenewal {
    RENEWED,

    /** The service no longer has such a lease. */
    EXPIRED,

    /** No answer, or one that decides nothing. */
    INDETERMINATE,
}

/** The outcome of ending a lease before its time. */
enum class LeaseRevocation {
    /** The service does not have the lease any more. */
    REVOKED,

    /** No answer, or one that decides nothing. */
    INDETERMINATE,
}
