package lichenstage.model

/** Which machine types can run a job's tasks, and how many of them at once. */
object MachineFit {
    /** How many tasks of [resources] an empty machine of the type runs at once. */
    fun tasksPerMachine(
        machineType: MachineType,
        resources: Resources,
    ): Int = machineType.capacity.countFitting(resources)

    /** The types that the job allows, that exist in its zone and that hold at least one of its tasks. */
    fun compatibleTypes(
        spec: JobSpec,
        machineTypes: Map<String, MachineType>,
    ): List<MachineType> =
        machineTypes.values.filter {
            (spec.allowedTypes == null || it.name in spec.allowedTypes) &&
                (spec.zone == null || spec.zone in it.zones) &&
                tasksPerMachine(it, spec.resources) > 0
        }

    /** The compatible type with the lowest on-demand price per task; null where no type is compatible. */
    fun cheapestType(
        spec: JobSpec,
        machineTypes: Map<String, MachineType>,
    ): MachineType? = compatibleTypes(spec, machineTypes).minByOrNull { it.onDemandPrice / tasksPerMachine(it, spec.resources) }

    /** The longest time, in microseconds, that a machine of a compatible type takes to fetch the job's image; 0 where none is known. */
    fun maxFetchUs(
        spec: JobSpec,
        machineTypes: Map<String, MachineType>,
    ): Long = compatibleTypes(spec, machineTypes).maxOfOrNull { it.imageFetchUs(spec.imageGb) } ?: 0
}
