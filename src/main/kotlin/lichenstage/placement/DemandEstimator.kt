package lichenstage.placement

import lichenstage.fleet.Demand
import lichenstage.fleet.JobArrival
import lichenstage.model.JobSpec
import lichenstage.model.MachineFit
import lichenstage.model.MachineType

/** Translates jobs into demand for machines, which is all that the fleet knows of them. */
internal object DemandEstimator {
    /** What the estimate needs to know of jobs beside their own state; all times are steady-clock microseconds. */
    interface Inputs {
        /** The most cores that the team may use at once. */
        fun maxCores(team: String): Double

        /** Expected run time of one task. */
        fun runUs(spec: JobSpec): Long

        /** When the job should be complete; null where no objective can be met any more. */
        fun dueAtUs(job: Job): Long?

        /** Expected time until all dependencies of the job are complete. */
        fun readyInUs(job: Job): Long
    }

    /**
     * The remaining demand of each open job. A job that waits for dependencies counts from when a machine that is provisioned now
     * would come up too late for it.
     */
    fun estimateDemand(
        jobs: Collection<Job>,
        machineTypes: Map<String, MachineType>,
        inputs: Inputs,
    ): List<Demand> {
        val plannedCoresByTeam = HashMap<String, Double>()
        return jobs.filter { it.remainingTasks > 0 && it.phase == JobPhase.OPEN }.mapNotNull { job ->
            val spec = job.spec
            val machineType = MachineFit.cheapestType(spec, machineTypes)
            val leadTimeUs = if (job.isReady || machineType == null) 0 else (machineType.bootUs * BOOT_TIME_MARGIN).toLong()
            val concurrentTasks = concurrentTasks(job, inputs.maxCores(spec.team) - (plannedCoresByTeam[spec.team] ?: 0.0))
            if (machineType == null || concurrentTasks <= 0.0 ||
                (!job.isReady && inputs.readyInUs(job) > leadTimeUs)
            ) {
                return@mapNotNull null
            }
            plannedCoresByTeam.merge(spec.team, concurrentTasks * spec.resources.cores, Double::plus)
            remainingDemand(
                job,
                machineType,
                concurrentTasks,
                inputs.runUs(spec),
            ).copy(dueUs = inputs.dueAtUs(job), foreseenInUs = leadTimeUs)
        }
    }

    /** How many tasks of the job may run at once within [availableCores] of its team's quota. */
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
        val machineUsPerTask = (runUs + machineType.fetchUs(spec.imageGb)) / tasksPerMachine
        val waitingTasks = if (job.isPlaceable) job.pendingTasks.size else job.remainingTasks
        val waitingUs = minOf(waitingTasks.toDouble(), concurrentTasks) * machineUsPerTask
        return Demand(
            typeName = machineType.name,
            spot = spec.spot,
            machines = concurrentTasks / tasksPerMachine,
            workUs = job.remainingTasks * machineUsPerTask,
            dueUs = null,
            busy = job.liveAttempts.size / tasksPerMachine,
            waitingUs = maxOf(waitingUs - job.totalSavedProgressUs / tasksPerMachine, 0.0),
        )
    }

    /**
     * The machines that the whole job uses, for the forecast of arrivals; null where no type is compatible. [isUrgent] tells whether the
     * job must start before a machine of the type could boot.
     */
    fun estimateArrival(
        job: Job,
        machineTypes: Map<String, MachineType>,
        runUs: Long,
        isUrgent: (MachineType) -> Boolean,
    ): JobArrival? {
        val spec = job.spec
        val machineType = MachineFit.cheapestType(spec, machineTypes) ?: return null
        val machines = spec.tasks.toDouble() / MachineFit.tasksPerMachine(machineType, spec.resources)
        return JobArrival(machineType.name, job.readyAtUs, machines, runUs + machineType.fetchUs(spec.imageGb), isUrgent(machineType))
    }

    /** Machines usually boot within one and a half times the boot time of their type. */
    private const val BOOT_TIME_MARGIN = 1.5
}
