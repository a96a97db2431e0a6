package lichenstage.placement

import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests when the failover is complete, and which silent machines are terminated to complete it (invariant 5). */
class FailoverRecoveryTest : LeaderFixture() {
    private val partition = PartitionState(term = 3)
    private val recovery = FailoverRecovery(20 * SECOND) { partition.takeIf { _ -> it == "z/0" } }

    @Example
    fun `completion is reported exactly once, even if there was no machine to wait for`() {
        assertTrue(recovery.isComplete && recovery.checkCompletion()) { "not complete without machines" }
        assertFalse(recovery.checkCompletion()) { "reported twice" }
    }

    @Example
    fun `completion is reported when the last machine is accounted for`() {
        recoveredMachines("m1", "m2").forEach(recovery::awaitMachine)
        partition.machines["m1"] = machineState("m1")
        assertFalse(recovery.checkCompletion()) { "m2 is not accounted for" }
        recovery.onMachineTerminated("m2")
        assertTrue(recovery.checkCompletion()) { "not complete" }
    }

    @Example
    fun `a few silent machines are terminated soon, a larger number later, many never`() {
        val registered = 100
        recoveredMachines("m1", "m2").forEach(recovery::awaitMachine)
        partition.ownershipAgeUs = 3 * SECOND
        assertEquals(setOf("m1", "m2"), recovery.machinesToFence(registered).toSet()) { "two of 100 machines are not terminated soon" }
        recoveredMachines("m3").forEach(recovery::awaitMachine)
        assertTrue(recovery.machinesToFence(registered).isEmpty()) { "three of 100 machines are terminated too soon" }
        partition.ownershipAgeUs = 7 * SECOND
        assertEquals(3, recovery.machinesToFence(registered).size) { "three of 100 machines are not terminated later" }
        recoveredMachines(*Array(10) { "n$it" }).forEach(recovery::awaitMachine)
        assertTrue(
            recovery.machinesToFence(registered).isEmpty(),
        ) { "13 of 100 silent machines point to the network, but some are terminated" }
    }
}
