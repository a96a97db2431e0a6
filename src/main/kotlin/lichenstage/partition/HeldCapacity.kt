package lichenstage.partition

import lichenstage.model.Resources

/** The capacity of one machine that is held for placement requests. */
internal class HeldCapacity {
    private var heldTaskCount = 0

    /** The resources of all held tasks together. */
    var total = NO_RESOURCES
        private set

    /** Adds the capacity of [taskCount] tasks that need [resources] each; a negative [taskCount] releases capacity. */
    fun adjust(
        resources: Resources,
        taskCount: Int,
    ) {
        heldTaskCount += taskCount
        // The reset to exactly zero keeps rounding errors of many additions from accumulating.
        total = if (heldTaskCount == 0) NO_RESOURCES else total - resources * -taskCount
    }

    private companion object {
        val NO_RESOURCES = Resources(0.0, 0.0, 0.0)
    }
}
