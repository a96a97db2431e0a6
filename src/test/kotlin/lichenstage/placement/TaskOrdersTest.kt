package lichenstage.placement

import lichenstage.cluster.AttemptOrder
import lichenstage.common.SECOND
import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue

/** When stops and clears go out, and when they are repeated. */
class TaskOrdersTest {
    private val orders = TaskOrders()
    private val stop = AttemptOrder("m1", "j-1/0", 1)
    private val clear = AttemptOrder("m1", "j-1/1", 2)

    @Example
    fun `an order goes out once, and again only after its retry interval`() {
        assertTrue(orders.set("z/0", "m1", listOf(stop), listOf(clear))) { "nothing new" }
        assertEquals(DueOrders(listOf(stop), listOf(clear)), orders.take("z/0", SECOND))
        assertEquals(DueOrders(emptyList(), emptyList()), orders.take("z/0", 2 * SECOND))
        assertEquals(DueOrders(listOf(stop), emptyList()), orders.take("z/0", 3 * SECOND))
        assertEquals(DueOrders(listOf(stop), listOf(clear)), orders.take("z/0", 7 * SECOND))
    }

    @Example
    fun `an order that is set again is not new and keeps its time`() {
        orders.set("z/0", "m1", listOf(stop), emptyList())
        orders.take("z/0", SECOND)
        assertFalse(orders.set("z/0", "m1", listOf(stop), emptyList())) { "new" }
        assertTrue(orders.take("z/0", 2 * SECOND).stops.isEmpty()) { "sent again too soon" }
    }

    @Example
    fun `a machine without orders, a terminated one and those of an earlier owner get nothing`() {
        orders.set("z/0", "m1", listOf(stop), emptyList())
        orders.set("z/0", "m1", emptyList(), emptyList())
        orders.set("z/0", "m2", listOf(stop.copy(machine = "m2")), emptyList())
        orders.forget("z/0", "m2")
        orders.set("y/0", "m3", listOf(stop.copy(machine = "m3")), emptyList())
        orders.forget("y/0")
        assertTrue((orders.take("z/0", SECOND).stops + orders.take("y/0", SECOND).stops).isEmpty()) { "sent" }
    }
}
