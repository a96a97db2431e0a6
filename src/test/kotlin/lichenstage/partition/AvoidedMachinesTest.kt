package lichenstage.partition

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals

/** Guards against capacity that is held for a job on a machine that the job avoids because its tasks have failed there. */
internal class AvoidedMachinesTest : PartitionFixture() {
    @Example
    fun `a partition holds no capacity for a job on machines that the job avoids, and other jobs still get it`() {
        val partition = newPartition()
        for (machine in listOf("a", "b")) {
            partition.onHeartbeat(heartbeat(0, machine = machine), 1)
            partition.onHeartbeat(heartbeat(TERM, machine = machine), 1)
        }
        val otherRequest = request(3, 1).copy(job = "j-2")
        partition.onLeaderFrame(frame(requests = listOf(request(2, 4), otherRequest)).copy(avoidedMachines = mapOf("j-1" to setOf("a"))), 2)
        val offers =
            partition.nextFrame(2)!!.offers.associate { offer ->
                offer.requestNumber to offer.slots.map { it.machine to it.count }
            }
        assertEquals(mapOf(2L to listOf("b" to 2), 3L to listOf("a" to 1)), offers)
    }
}
