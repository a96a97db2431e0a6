package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Resources

/** A job of one-core tasks, for tests of the order of jobs. */
internal fun oneCoreSpec(
    number: Int,
    jobClass: String,
    priority: Priority,
    tasks: Int,
    estimatedRunTimeUs: Long = SECOND,
) = JobSpec(
    "j-$number",
    jobClass,
    "red",
    priority,
    tasks,
    Resources(1.0, 0.0, 1.0),
    null,
    null,
    false,
    false,
    true,
    "i",
    1.0,
    estimatedRunTimeUs,
    0,
    0,
    null,
    0,
)
