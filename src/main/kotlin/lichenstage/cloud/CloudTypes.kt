package lichenstage.cloud

/** A machine in the cloud's list, which lags. */
data class ListedMachine(
    val name: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val status: String,
    val ageUs: Long,
)

/** A request for machines under a name that is never used for another. */
data class ProvisionRequest(
    val name: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val count: Int,
)

/** The cloud's answer to a hire. */
sealed interface ProvisionResult {
    /** So many machines were rented, perhaps fewer than asked for. */
    data class Provisioned(
        val names: List<String>,
    ) : ProvisionResult

    data object NoCapacity : ProvisionResult

    /** Nobody knows whether machines were rented: it is repeated under the same name. */
    data object Indeterminate : ProvisionResult
}

/** A page of the cloud's list; [more] where it is not the last. */
data class MachinePage(
    val machines: List<ListedMachine>,
    val more: Boolean,
)
