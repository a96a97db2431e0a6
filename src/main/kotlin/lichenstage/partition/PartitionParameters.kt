package lichenstage.partition

/**
 * What a partition is and the timing that it follows, fixed for one ownership of it.
 *
 * @property id the partition's name
 * @property zone the zone of its machines
 * @property term the term of the ownership; the fencing token of its machines until an order has to be fenced off
 * @property workerLeaseUs how long a worker runs tasks after the sending of the last answered heartbeat, in microseconds
 * @property heartbeatIntervalUs how often workers send heartbeats, in microseconds
 * @property acquiredAtUs when the partition was acquired, in microseconds of the controller's clock
 * @property maxMachinesPerFrame see [ChangeLog.MAX_MACHINES_PER_FRAME]
 */
data class PartitionParameters(
    val id: String,
    val zone: String,
    val term: Long,
    val workerLeaseUs: Long,
    val heartbeatIntervalUs: Long,
    val acquiredAtUs: Long,
    val maxMachinesPerFrame: Int = ChangeLog.MAX_MACHINES_PER_FRAME,
)
