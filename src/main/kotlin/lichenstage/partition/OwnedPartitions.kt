package lichenstage.partition

import lichenstage.authority.Authority
import lichenstage.common.Clock
import lichenstage.config.Settings
import lichenstage.jobs.JobReplica
import lichenstage.model.MachineLimits
import org.slf4j.LoggerFactory

/**
 * The partitions that this process owns, and whether it may act for them now.
 *
 * @property limitsOf the limits of a machine type; null where the type is not known
 */
class OwnedPartitions(
    private val settings: Settings,
    private val authority: Authority,
    private val replica: JobReplica,
    private val journal: OrderEventRecorder,
    private val clock: Clock,
    private val limitsOf: (String) -> MachineLimits?,
) {
    private val log = LoggerFactory.getLogger("lichenstage.partition")
    private val assignment = settings.assignment
    private val partitionsById = HashMap<String, PartitionCore>()

    /** All partitions that this process holds, whether or not it may act for them now. */
    val all: Collection<PartitionCore> get() = partitionsById.values

    /** The partition of this name; null where this process does not hold it. */
    operator fun get(id: String): PartitionCore? = partitionsById[id]

    /** The partition where it is still held under [term]: what an earlier ownership has caused is dropped. */
    fun findUnderTerm(
        id: String,
        term: Long,
    ): PartitionCore? = partitionsById[id]?.takeIf { it.term == term }

    /** The name of the partition that a machine belongs to; null where there is none in its zone. */
    fun partitionIdOf(heartbeat: Heartbeat): String? = assignment.partitionOf(heartbeat.machine, heartbeat.zone)

    /** The label of the controller that owns the partition, where it is known and another one. */
    fun remoteOwnerLabel(id: String): String? = authority.ownerOf(id)?.label?.takeIf { it != settings.label }

    /**
     * Whether this process may act for the partition now. Owning it is not enough: an answer renews a lease, and must not keep alive what a
     * user was told is cancelled (invariant 15).
     */
    fun isAuthorized(partition: PartitionCore) =
        authority.heldPartition(partition.id)?.term == partition.term && replica.isCurrent(clock.now())

    /** Follows the ownership of partitions. One whose authority only pauses keeps its state. */
    fun updateOwnership(nowUs: Long) {
        for (id in assignment.partitions) {
            val owner = authority.ownerOf(id)
            val partition = partitionsById[id]
            if (partition != null && owner != null && owner.term > partition.term) partitionsById.remove(id)
            val ownership = authority.heldPartition(id) ?: continue
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
        val zone = assignment.zone(id)!!
        val parameters = PartitionParameters(id, zone, term, settings.workerLeaseUs, settings.heartbeatIntervalUs, nowUs)
        return PartitionCore(parameters, replica, { journal.record(id, term, it) }, limitsOf)
    }
}
