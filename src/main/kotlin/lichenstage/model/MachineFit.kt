package lichenstage.model

/** Functions that find the machine types on which the tasks of a job fit. */
object MachineFit {
    /** Returns the number of tasks with the given [resources] that fit on an empty machine of the type at the same time. */
    fun tasksPerMachine(
        machineType: MachineType,
        resources: Resources,
    ): Int = machineType.capacity.countFitting(resources)

    /** Returns the machine types that the job allows, that exist in its zone and that have room for at least one of its tasks. */
    fun compatibleTypes(
        spec: JobSpec,
        machineTypes: Map<String, MachineType>,
    ): List<MachineType> =
        machineTypes.values.filter {
            (spec.allowedTypes == null || it.name in spec.allowedTypes) &&
                (spec.zone == null || spec.zone in it.zones) &&
                tasksPerMachine(it, spec.resources) > 0
        }

    /** Returns the compatible type with the lowest on-demand price per task; null if no type is compatible. */
    fun cheapestType(
        spec: JobSpec,
        machineTypes: Map<String, MachineType>,
    ): MachineType? = compatibleTypes(spec, machineTypes).minByOrNull { it.onDemandPrice / tasksPerMachine(it, spec.resources) }

    /**
     * Returns the longest time that a machine of a compatible type needs to fetch the job's image, in microseconds; 0 if there is no such
     * type.
     */
    fun maxFetchUs(
        spec: JobSpec,
        machineTypes: Map<String, MachineType>,
    ): Long = compatibleTypes(spec, machineTypes).maxOfOrNull { it.imageFetchUs(spec.imageGb) } ?: 0
}
