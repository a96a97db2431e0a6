package lichenstage.placement

import net.jqwik.api.Example
import org.junit.jupiter.api.Assertions.assertEquals

class GraphFoldTest {
    private val dependencies = mapOf("a" to emptyList(), "b" to listOf("a"), "c" to listOf("a"), "d" to listOf("b", "c"))
    private val computedNodes = ArrayList<String>()
    private val depth =
        GraphFold<String, Int>({ dependencies.getValue(it) }) { node, nodeDependencies, values ->
            computedNodes += node
            1 + (nodeDependencies.maxOfOrNull { values.getValue(it) } ?: 0)
        }

    @Example
    fun `each node is computed once, from its dependencies`() {
        assertEquals(3, depth.valueOf("d"))
        assertEquals(2, depth.valueOf("b"))
        assertEquals(setOf("a", "b", "c", "d"), computedNodes.toSet())
        assertEquals(4, computedNodes.size, "$computedNodes")
    }
}
