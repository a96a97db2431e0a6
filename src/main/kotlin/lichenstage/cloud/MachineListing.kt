package lichenstage.cloud

/** A machine in the cloud's list. The list lags: new machines may be missing, and terminated ones may still be in it. */
data class ListedMachine(
    val name: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val status: ListedStatus,
    /** Time since the machine was provisioned, in microseconds. */
    val ageUs: Long,
)

/** What the cloud says of a machine in its list. */
enum class ListedStatus {
    STARTING,
    RUNNING,

    /** The machine has stopped by itself; it remains listed until it is terminated. */
    FAILED,

    /** A status that this version does not know. */
    OTHER,
}

/** One page of the list of machines, in the order of their names; [hasMore] where it is not the last. */
data class MachinePage(
    val machines: List<ListedMachine>,
    val hasMore: Boolean,
)
