package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.model.JobSpec
import lichenstage.model.Priority
import lichenstage.model.Resources

/** Returns the spec of a job `j-NUMBER` whose tasks need one core each. */
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
