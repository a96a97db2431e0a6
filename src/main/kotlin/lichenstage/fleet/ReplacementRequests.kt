package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest

/** A machine that is wanted whatever the demand, to replace another. [id] is the requester's own. */
data class ReplacementRequest(
    val id: String,
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
)

/** The replacements that have been requested and not been provisioned yet, and which provision request serves which of them. */
internal class ReplacementRequests {
    private val openRequests = LinkedHashMap<String, ReplacementRequest>()
    private val idByProvisionName = HashMap<String, String>()

    /** Requests a replacement; it stays open until a machine has been provisioned for it. */
    fun add(request: ReplacementRequest) {
        openRequests[request.id] = request
    }

    /** The first open request whose pool may be asked now. */
    fun next(
        backoff: ProvisionBackoff,
        nowUs: Long,
    ): ReplacementRequest? = openRequests.values.firstOrNull { backoff.allows(CapacityPool(it.typeName, it.zone, it.isSpot), nowUs) }

    /** [provision] is sent for the request with this id. */
    fun assign(
        id: String,
        provision: ProvisionRequest,
    ) {
        idByProvisionName[provision.name] = id
    }

    /** The id of the replacement that [provision] was sent for; null where it was sent for the demand. */
    fun idOf(provision: ProvisionRequest): String? = idByProvisionName[provision.name]

    /** A machine has been provisioned. */
    fun onProvisioned(provision: ProvisionRequest) {
        idOf(provision)?.let(openRequests::remove)
    }
}
