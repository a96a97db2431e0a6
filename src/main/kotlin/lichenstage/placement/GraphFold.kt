package lichenstage.placement

/**
 * Computes a value for nodes of an acyclic graph from the values of the nodes that they depend on, each once. Chains may be thousands
 * of nodes deep, so there is no recursion.
 */
internal class GraphFold<N : Any, V : Any>(
    private val dependencies: (N) -> List<N>,
    private val combine: (node: N, dependencies: List<N>, values: Map<N, V>) -> V,
) {
    private val values = HashMap<N, V>()

    /** The value of a node. */
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
