package lichenstage.partition

import lichenstage.model.Resources

/** The capacity of one machine that is held for placement requests. */
internal class HeldCapacity {
    private var count = 0

    /** What the held tasks take together. */
    var total = NOTHING
        private set

    /** Holds capacity for [tasks] more tasks of [resources], or fewer where [tasks] is negative. */
    fun add(
        resources: Resources,
        tasks: Int,
    ) {
        count += tasks
        // Reset to exactly nothing, so that rounding errors of many shares don't add up.
        total = if (count == 0) NOTHING else total - resources * -tasks
    }

    private companion object {
        val NOTHING = Resources(0.0, 0.0, 0.0)
    }
}
