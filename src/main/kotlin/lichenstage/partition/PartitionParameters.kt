package lichenstage.partition

/**
 * The identity and the timing of a partition. They are fixed while one controller owns the partition under one term.
 *
 * @property id the partition's name
 * @property zone the zone of its machines
 * @property term the term of the ownership; also the fencing token of each machine until an order to the machine has to be fenced off
 * @property workerLeaseUs how long a worker keeps running tasks after it sent the last heartbeat that was accepted, in microseconds
 * @property heartbeatIntervalUs the time between two heartbeats of a worker, in microseconds
 * @property acquiredAtUs the time at which this controller acquired the partition, in microseconds of the controller's clock
 * @property maxMachinesPerFrame the frame limit that [ChangeLog.MAX_MACHINES_PER_FRAME] describes; tests lower it
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
