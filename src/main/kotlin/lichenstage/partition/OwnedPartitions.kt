package lichenstage.partition

import lichenstage.authority.Authority
import lichenstage.common.Clock
import lichenstage.config.Settings
import lichenstage.jobs.JobReplica
import lichenstage.model.MachineLimits
import org.slf4j.LoggerFactory

/**
 * The partitions that this process has acquired, with the check whether it is authorized to act for them.
 *
 * A partition stays in memory until it has a newer owner, even while this process is temporarily not authorized to act for it.
 *
 * @property limitsOf returns the limits of a machine type; null if the type is unknown
 */
class OwnedPartitions(
    private val settings: Settings,
    private val authority: Authority,
    private val replica: JobReplica,
    private val orderEventRecorder: OrderEventRecorder,
    private val clock: Clock,
    private val limitsOf: (String) -> MachineLimits?,
) {
    private val log = LoggerFactory.getLogger("lichenstage.partition")
    private val assignment = settings.assignment
    private val partitionsById = HashMap<String, PartitionCore>()

    /** All partitions in memory, whether or not this process is authorized to act for them now. */
    val all: Collection<PartitionCore> get() = partitionsById.values

    /** Returns the partition with this name, or null if it is not in memory. */
    operator fun get(id: String): PartitionCore? = partitionsById[id]

    /**
     * Returns the partition if it is in memory under the ownership of [term], otherwise null. Callers thereby drop the results of requests
     * that were sent under an earlier ownership.
     */
    fun findUnderTerm(
        id: String,
        term: Long,
    ): PartitionCore? = partitionsById[id]?.takeIf { it.term == term }

    /** Returns the name of the partition that a machine belongs to, or null if its zone has no partition. */
    fun partitionIdOf(heartbeat: Heartbeat): String? = assignment.partitionOf(heartbeat.machine, heartbeat.zone)

    /** Returns the label of the controller that owns the partition, or null if this process is the owner or the owner is unknown. */
    fun remoteOwnerLabel(id: String): String? = authority.ownerOf(id)?.label?.takeIf { it != settings.label }

    /**
     * Returns whether this process is authorized to act for the partition now.
     *
     * Ownership alone is not enough: the view of the jobs must also be current. A reply to a heartbeat renews the worker's lease, and must
     * not keep tasks running whose job a user was told is cancelled (invariant 15).
     */
    fun isAuthorized(partition: PartitionCore) =
        authority.currentPartitionOwnership(partition.id)?.term == partition.term && replica.isCurrent(clock.now())

    /**
     * Adds the partitions that this process has acquired, and removes those that have a newer owner. A partition for which this process is
     * temporarily not authorized to act keeps its state.
     */
    fun updateOwnership(nowUs: Long) {
        for (id in assignment.partitions) {
            val owner = authority.ownerOf(id)
            val partition = partitionsById[id]
            if (partition != null && owner != null && owner.term > partition.term) partitionsById.remove(id)
            val ownership = authority.currentPartitionOwnership(id) ?: continue
            if (partitionsById[id]?.term == ownership.term) continue
            partitionsById[id] = createPartition(id, ownership.term, nowUs)
            log.info("Ownership acquired partition={} term={}", id, ownership.term)
        }
    }

    private fun createPartition(
        id: String,
        term: Long,
        nowUs: Long,
    ): PartitionCore {
        val zone = assignment.zoneOf(id)!!
        val parameters = PartitionParameters(id, zone, term, settings.workerLeaseUs, settings.heartbeatIntervalUs, nowUs)
        return PartitionCore(parameters, replica, { orderEventRecorder.record(id, term, it) }, limitsOf)
    }
}
