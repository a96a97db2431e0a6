package lichenstage.placement

import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** When all machines of an earlier leader are accounted for (invariant 5). */
class FailoverRecoveryTest : LeaderFixture() {
    private val partition = PartitionState(term = 3)
    private val recovery = FailoverRecovery(20 * SECOND) { partition.takeIf { _ -> it == "z/0" } }

    @Example
    fun `completion is reported once, also where there was nothing to wait for`() {
        assertTrue(recovery.isComplete && recovery.checkCompletion()) { "waits for nothing" }
        assertFalse(recovery.checkCompletion()) { "reported twice" }
    }

    @Example
    fun `completion is reported with the last machine that is accounted for`() {
        recoveredMachines("m1", "m2").forEach(recovery::awaitMachine)
        partition.machines["m1"] = machineState("m1")
        assertFalse(recovery.checkCompletion()) { "m2 is not accounted for" }
        recovery.onMachineTerminated("m2")
        assertTrue(recovery.checkCompletion()) { "still waiting" }
    }

    @Example
    fun `few silent machines are terminated soon, more of them later, many never`() {
        val registered = 100
        recoveredMachines("m1", "m2").forEach(recovery::awaitMachine)
        partition.ownershipAgeUs = 3 * SECOND
        assertEquals(setOf("m1", "m2"), recovery.machinesToFence(registered).toSet()) { "two of a hundred are few" }
        recoveredMachines("m3").forEach(recovery::awaitMachine)
        assertTrue(recovery.machinesToFence(registered).isEmpty()) { "three of a hundred are terminated too soon" }
        partition.ownershipAgeUs = 7 * SECOND
        assertEquals(3, recovery.machinesToFence(registered).size) { "not terminated later" }
        recoveredMachines(*Array(10) { "n$it" }).forEach(recovery::awaitMachine)
        assertTrue(recovery.machinesToFence(registered).isEmpty()) { "where many are silent the network is at fault" }
    }
}
