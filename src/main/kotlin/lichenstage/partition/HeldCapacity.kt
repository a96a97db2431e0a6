package lichenstage.partition

import lichenstage.model.Resources

/** The capacity of one machine that is held for placement requests. */
internal class HeldCapacity {
    private var heldTasks = 0

    /** What the held tasks take together. */
    var total = NO_RESOURCES
        private set

    /** Holds capacity for [taskCount] more tasks of [resources], or fewer where [taskCount] is negative. */
    fun adjust(
        resources: Resources,
        taskCount: Int,
    ) {
        heldTasks += taskCount
        // Reset to exactly nothing, so that rounding errors of many shares don't add up.
        total = if (heldTasks == 0) NO_RESOURCES else total - resources * -taskCount
    }

    private companion object {
        val NO_RESOURCES = Resources(0.0, 0.0, 0.0)
    }
}
