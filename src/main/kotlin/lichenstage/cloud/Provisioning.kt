package lichenstage.cloud

/** A request for [count] machines of one type in one zone, under a [name] that no other request ever has (invariant 14). */
data class ProvisionRequest(
    val name: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val count: Int,
)

/** The outcome of a [ProvisionRequest]. */
sealed interface ProvisionResult {
    /** The machines with these [names] were provisioned, perhaps fewer than requested. */
    data class Provisioned(
        val names: List<String>,
    ) : ProvisionResult

    /** The cloud has no capacity for this type, zone and kind now, or takes the request for malformed. */
    data object NoCapacity : ProvisionResult

    /** It is not known whether machines were provisioned: the request has to be repeated under the same name. */
    data object Indeterminate : ProvisionResult
}

/** The outcome of terminating machines. */
enum class TerminateResult {
    /** The machines and everything on them are proven gone. */
    TERMINATED,

    /** The machines may be gone or not: the call has to be repeated. */
    INDETERMINATE,
}
