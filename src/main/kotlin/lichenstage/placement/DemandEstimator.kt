package lichenstage.placement

import lichenstage.fleet.Demand
import lichenstage.fleet.JobArrival
import lichenstage.model.JobSpec
import lichenstage.model.MachineFit
import lichenstage.model.MachineType

/** The conversion of jobs into demand for machines. The fleet sees jobs only as this demand. */
internal object DemandEstimator {
    /** The inputs of the estimate besides the state of the jobs. All times are in microseconds on the steady clock. */
    interface Inputs {
        /** Returns the maximum number of cores that the team may use at once. */
        fun coreLimit(team: String): Double

        /** Returns the expected run time of one task. */
        fun runUs(spec: JobSpec): Long

        /** Returns the time by which the job should be complete, or null if no objective can be met any more. */
        fun dueAtUs(job: Job): Long?

        /** Returns the expected time until all dependencies of the job are complete. */
        fun readyInUs(job: Job): Long
    }

    /**
     * Returns the remaining demand of each open job for which a machine type is available and whose team has not reached its limit. A
     * blocked job is left out until it is expected to be ready within [BOOT_TIME_MARGIN] boot times, because machines for it do not have to
     * be provisioned earlier.
     */
    fun estimateDemand(
        jobs: Collection<Job>,
        machineTypes: Map<String, MachineType>,
        inputs: Inputs,
    ): List<Demand> {
        val teamShares = TeamShares(inputs::coreLimit)
        return jobs.filter { it.remainingTasks > 0 && it.phase == JobPhase.OPEN }.mapNotNull { job ->
            val spec = job.spec
            val machineType = MachineFit.cheapestType(spec, machineTypes)
            val leadUs = if (job.isReady || machineType == null) 0 else (machineType.bootUs * BOOT_TIME_MARGIN).toLong()
            val tasks = concurrentTasks(job, teamShares.availableCores(spec))
            if (machineType == null || tasks <= 0.0 || (!job.isReady && inputs.readyInUs(job) > leadUs)) return@mapNotNull null
            teamShares.add(job, tasks)
            remainingDemand(job, machineType, tasks, inputs.runUs(spec)).copy(dueAtUs = inputs.dueAtUs(job), readyInUs = leadUs)
        }
    }

    /** Returns how many tasks of the job may run at once within [availableCores], the unused part of its team's limit. */
    private fun concurrentTasks(
        job: Job,
        availableCores: Double,
    ): Double {
        val remainingTasks = job.remainingTasks.toDouble()
        val cores = job.spec.resources.cores
        return if (cores <= 0.0) remainingTasks else minOf(remainingTasks, availableCores / cores)
    }

    private fun remainingDemand(
        job: Job,
        machineType: MachineType,
        concurrentTasks: Double,
        runUs: Long,
    ): Demand {
        val spec = job.spec
        val tasksPerMachine = MachineFit.tasksPerMachine(machineType, spec.resources).toDouble()
        val machineUsPerTask = (runUs + machineType.imageFetchUs(spec.imageGb)) / tasksPerMachine
        val waitingTasks = if (job.isPlaceable) job.pendingTasks.size else job.remainingTasks
        val waitingUs = minOf(waitingTasks.toDouble(), concurrentTasks) * machineUsPerTask
        return Demand(
            typeName = machineType.name,
            allowsSpot = spec.allowsSpot,
            maxMachines = concurrentTasks / tasksPerMachine,
            workUs = job.remainingTasks * machineUsPerTask,
            dueAtUs = null,
            busyMachines = job.liveAttempts.size / tasksPerMachine,
            waitingWorkUs = maxOf(waitingUs - job.totalSavedProgressUs / tasksPerMachine, 0.0),
            zone = spec.zone,
        )
    }

    /**
     * Returns the machine use of all tasks of the job, for the forecast of arrivals. Null if no machine type is compatible.
     *
     * @param isUrgent returns whether the job must start before a machine of the type could boot
     */
    fun estimateArrival(
        job: Job,
        machineTypes: Map<String, MachineType>,
        runUs: Long,
        isUrgent: (MachineType) -> Boolean,
    ): JobArrival? {
        val spec = job.spec
        val machineType = MachineFit.cheapestType(spec, machineTypes) ?: return null
        val machines = spec.taskCount.toDouble() / MachineFit.tasksPerMachine(machineType, spec.resources)
        return JobArrival(machineType.name, job.readyAtUs, machines, runUs + machineType.imageFetchUs(spec.imageGb), isUrgent(machineType))
    }

    /** Machines usually boot within the boot time of their type multiplied by this factor. */
    private const val BOOT_TIME_MARGIN = 1.5
}
