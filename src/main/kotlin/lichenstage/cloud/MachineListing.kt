package lichenstage.cloud

/** A machine in the cloud's list. The list is delayed: it may lack new machines and still contain terminated ones. */
data class ListedMachine(
    val name: String,
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
    val status: ListedStatus,
    /** Time since the machine was provisioned, in microseconds. */
    val ageUs: Long,
)

/** The status of a machine in the cloud's list. */
enum class ListedStatus {
    STARTING,
    RUNNING,

    /** The machine has stopped by itself. It remains listed until it is terminated. */
    FAILED,

    /** A status that this version of the controller does not know. */
    OTHER,
}

/** One page of the list of machines, ordered by name. [hasMore] is false for the last page. */
data class MachinePage(
    val machines: List<ListedMachine>,
    val hasMore: Boolean,
)
