package lichenstage.placement

import lichenstage.cloud.MachineCatalog
import lichenstage.config.Settings
import lichenstage.fleet.FleetObservation
import lichenstage.fleet.JobArrival
import lichenstage.fleet.MachineStatus
import lichenstage.model.JobSpec
import lichenstage.model.MachineType

/** Builds the observations that the fleet's scaling decisions are based on, from the leader's jobs and machines. */
internal class FleetObserver(
    private val settings: Settings,
    private val core: LeaderCore,
    private val catalog: MachineCatalog,
    private val serviceObjectives: ServiceObjectives,
) {
    /** The machine types by name; empty until they are known. */
    val machineTypes: Map<String, MachineType> get() = catalog.machineTypes

    /** Returns the observation at [nowUs]. The machines in [excludedMachines] do not serve the demand. */
    fun observe(
        excludedMachines: Set<String>,
        nowUs: Long,
    ) = FleetObservation(
        machineTypes,
        DemandEstimator.estimateDemand(core.jobs.values, machineTypes, DemandInputs(nowUs)),
        excludedMachines,
        machineStatusLookup(nowUs),
    )

    /** Returns the machine use of all tasks of a job, for the demand forecast; null if the job fits no machine type. */
    fun estimateArrival(job: Job): JobArrival? =
        DemandEstimator.estimateArrival(job, machineTypes, core.runTimes.expectedRunTimeUs(job.spec)) {
            serviceObjectives.hasStartObjectiveWithin(job.spec.jobClass, it.bootUs)
        }

    private fun machineStatusLookup(nowUs: Long): (String) -> MachineStatus? {
        val states =
            core.partitions.values
                .flatMap { it.machines.values }
                .associateBy { it.name }
        return { name ->
            states[name]?.let {
                MachineStatus(
                    isUp = !it.isLost,
                    isSilent = it.isSilent,
                    isLost = it.isLost,
                    taskCount = core.machines.attemptsOn(name).size,
                    health = core.machines.healthOf(name, nowUs),
                )
            }
        }
    }

    private inner class DemandInputs(
        private val nowUs: Long,
    ) : DemandEstimator.Inputs {
        private val readiness = core.expectedReadiness(nowUs)

        override fun coreLimit(team: String) = settings.teams[team]?.coreLimit ?: 0.0

        override fun runUs(spec: JobSpec) = core.runTimes.expectedRunTimeUs(spec)

        /** Returns when the job should be done. For a job that waits for dependencies, only the deadline is known. */
        override fun dueAtUs(job: Job): Long? {
            if (!job.isReady) return serviceObjectives.deadlineAtUs(job)
            val runUs = runUs(job.spec)
            return serviceObjectives.findAttainableObjectives(job, runUs, nowUs).firstOrNull()?.let { it.startByUs + runUs }
        }

        override fun readyInUs(job: Job) = readiness.readyAtUs(job) - nowUs
    }
}
