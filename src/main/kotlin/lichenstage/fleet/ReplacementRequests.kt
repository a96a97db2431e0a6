package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest

/** A request for a machine that replaces another one, regardless of the demand. The requester chooses [id]. */
data class ReplacementRequest(
    val id: String,
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
)

/** The replacements that have been requested but not provisioned yet, and the provision request that was sent for each. */
internal class ReplacementRequests {
    private val openRequests = LinkedHashMap<String, ReplacementRequest>()
    private val idByProvisionName = HashMap<String, String>()

    /** Adds a request for a replacement. The request stays open until a machine has been provisioned for it. */
    fun add(request: ReplacementRequest) {
        openRequests[request.id] = request
    }

    /** Returns the first open request to whose pool a provision request may be sent now; null if there is none. */
    fun next(
        backoff: ProvisionBackoff,
        nowUs: Long,
    ): ReplacementRequest? = openRequests.values.firstOrNull { backoff.allows(CapacityPool(it.typeName, it.zone, it.isSpot), nowUs) }

    /** Records that [provision] is sent for the replacement with this id. */
    fun assign(
        id: String,
        provision: ProvisionRequest,
    ) {
        idByProvisionName[provision.name] = id
    }

    /** Returns the id of the replacement that [provision] was sent for; null if it was sent for the demand. */
    fun idOf(provision: ProvisionRequest): String? = idByProvisionName[provision.name]

    /** Closes the replacement that [provision] was sent for, because a machine has been provisioned. */
    fun onProvisioned(provision: ProvisionRequest) {
        idOf(provision)?.let(openRequests::remove)
    }
}
