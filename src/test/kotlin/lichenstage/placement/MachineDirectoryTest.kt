package lichenstage.placement

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue

/** Tests which machines may get tasks, and how many at a time. */
class MachineDirectoryTest {
    private val directory = MachineDirectory().apply { register(mapOf("m1" to "z/0", "m2" to "y/0")) }

    private fun usable(
        machine: String,
        attempts: Int = 0,
    ) = directory.usableSlots(machine, heldSlots = 4) { attempts }

    @Example
    fun `only a recorded machine that is not cordoned may get tasks`() {
        directory.cordoned = setOf("m2")
        assertEquals(listOf(4, 0, 0), listOf("m1", "m2", "m3").map { usable(it) })
    }

    @Example
    fun `a machine on probation gets one task at a time`() {
        directory.onProbation = setOf("m1")
        assertEquals(1, usable("m1"))
        assertEquals(0, usable("m1", attempts = 1))
        assertEquals(0, usable("m1", attempts = 2))
    }

    @Example
    fun `a terminated machine is never registered again`() {
        directory.setAddress("m1", "10.0.0.1:1")
        directory.markTerminated("m1")
        directory.register(mapOf("m1" to "z/0"))
        assertFalse(directory.isRegistered("m1")) { "registered again" }
        assertTrue(directory.isTerminated("m1")) { "not marked as terminated" }
        assertNull(directory.partitionOf("m1"))
        assertTrue(directory.addressesIn("z/0").isEmpty()) { "address not removed" }
    }

    @Example
    fun `addresses contain only the recorded machines of the partition`() {
        directory.setAddress("m1", "10.0.0.1:1")
        directory.setAddress("m2", "10.0.0.2:1")
        directory.setAddress("m3", "10.0.0.3:1")
        assertEquals(mapOf("m1" to "10.0.0.1:1"), directory.addressesIn("z/0"))
    }
}
