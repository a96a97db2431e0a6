package lichenstage.placement

/**
 * A computation over an acyclic graph: [combine] computes the value of a node from the values of its dependencies, once per node. Chains
 * may be thousands of nodes deep, so the computation does not use recursion.
 */
internal class GraphFold<N : Any, V : Any>(
    private val dependencies: (N) -> List<N>,
    private val combine: (node: N, dependencies: List<N>, values: Map<N, V>) -> V,
) {
    private val values = HashMap<N, V>()

    /** Returns the value of a node. Computes the missing values of its direct and indirect dependencies first. */
    fun valueOf(node: N): V {
        values[node]?.let { return it }
        val stack = ArrayDeque(listOf(node))
        while (stack.isNotEmpty()) {
            val current = stack.last()
            val nodeDependencies = dependencies(current)
            val uncomputed = nodeDependencies.filter { it !in values }
            if (uncomputed.isEmpty()) {
                values[current] = combine(current, nodeDependencies, values)
                stack.removeLast()
            } else {
                stack += uncomputed
            }
        }
        return values.getValue(node)
    }
}
