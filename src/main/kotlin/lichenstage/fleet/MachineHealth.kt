package lichenstage.fleet

/** What the failures of tasks on a machine say about it. */
enum class MachineHealth {
    /** No failure speaks against the machine. */
    SOUND,

    /** Tasks of one job have failed, and none has completed since. Either the machine is faulty or the job is mistaken. */
    SUSPECT,

    /** Tasks of a job have failed that completes its tasks on other machines, and none has completed here since. */
    DEFECTIVE,

    /** Tasks of several jobs have failed. */
    FAULTY,
}
