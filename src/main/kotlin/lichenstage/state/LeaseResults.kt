package lichenstage.state

/** The outcome of a request for a new lease. */
sealed interface LeaseGrant {
    /** The service granted the lease [leaseId]. */
    data class Granted(
        val leaseId: Long,
    ) : LeaseGrant

    /** The service refused the lease, or the outcome is unknown. */
    data object Failed : LeaseGrant
}

/** The outcome of renewing a lease. */
enum class LeaseRenewal {
    /** The service renewed the lease for its full duration. */
    RENEWED,

    /** The service no longer has the lease. */
    EXPIRED,

    /** The outcome is unknown: no reply, or a reply that does not state the outcome. */
    INDETERMINATE,
}

/** The outcome of ending a lease before its time. */
enum class LeaseRevocation {
    /** The service no longer has the lease. */
    REVOKED,

    /** The outcome is unknown: no reply, or a reply that does not state the outcome. */
    INDETERMINATE,
}
