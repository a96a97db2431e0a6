package lichenstage.cloud

/** A request for [count] machines of one type in one zone. Its [name] is never used by another request (invariant 14). */
data class ProvisionRequest(
    val name: String,
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
    val count: Int,
)

/** The outcome of a [ProvisionRequest]. */
sealed interface ProvisionResult {
    /** The machines with these [names] were provisioned. There may be fewer than requested. */
    data class Provisioned(
        val names: List<String>,
    ) : ProvisionResult

    /** The cloud has no capacity for this type and zone, spot or on-demand, or rejects the request as malformed. */
    data object NoCapacity : ProvisionResult

    /** It is unknown whether machines were provisioned. The request has to be repeated with the same name. */
    data object Indeterminate : ProvisionResult
}

/** The outcome of terminating machines. */
enum class TerminateResult {
    /** The machines are terminated, and nothing runs on them any more. */
    TERMINATED,

    /** It is unknown whether the machines are terminated. The call has to be repeated. */
    INDETERMINATE,
}
