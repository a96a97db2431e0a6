package lichenstage.placement

import lichenstage.cloud.MachineCatalog
import lichenstage.config.Settings
import lichenstage.fleet.FleetObservation
import lichenstage.fleet.JobArrival
import lichenstage.fleet.MachineStatus
import lichenstage.model.JobSpec
import lichenstage.model.MachineType

/** Shows the fleet what the leader knows of jobs and machines. */
internal class FleetObserver(
    private val settings: Settings,
    private val core: LeaderCore,
    private val catalog: MachineCatalog,
    private val objectives: ServiceObjectives,
) {
    /** The machine types by name; empty while they are not known. */
    val machineTypes: Map<String, MachineType> get() = catalog.machineTypes

    /** What is observed at [now]; [excludedMachines] do not serve the demand. */
    fun observe(
        excludedMachines: Set<String>,
        now: Long,
    ) = FleetObservation(
        machineTypes,
        DemandEstimator.estimateDemand(core.jobs.values, machineTypes, DemandInputs(now)),
        excludedMachines,
        statusOfMachines(),
    )

    /** What the whole job will use; null where it fits no machine type. */
    fun arrival(job: Job): JobArrival? =
        DemandEstimator.estimateArrival(job, machineTypes, core.runTimes.expectedRunTimeUs(job.spec)) {
            objectives.hasStartObjectiveWithin(job.spec.jobClass, it.bootUs)
        }

    private fun statusOfMachines(): (String) -> MachineStatus? {
        val states =
            core.partitions.values
                .flatMap { it.machines.values }
                .associateBy { it.name }
        return { name ->
            states[name]?.let {
                MachineStatus(
                    up = !it.isLost,
                    silent = it.isSilent,
                    lost = it.isLost,
                    tasks = core.machines.attemptsOn(name).size,
                    faulty = core.machines.failedJobsOn(name).size >= FAULTY_JOBS,
                )
            }
        }
    }

    private inner class DemandInputs(
        private val now: Long,
    ) : DemandEstimator.Inputs {
        private val readiness = core.expectedReadiness(now)

        override fun maxCores(team: String) = settings.teams[team]?.coresMax ?: 0.0

        override fun runUs(spec: JobSpec) = core.runTimes.expectedRunTimeUs(spec)

        /** Of a job that waits for dependencies only the deadline is known. */
        override fun dueAtUs(job: Job): Long? {
            if (!job.isReady) return objectives.deadlineAtUs(job)
            val runUs = runUs(job.spec)
            return objectives.findAttainableObjectives(job, runUs, now).firstOrNull()?.let { it.startByUs + runUs }
        }

        override fun readyInUs(job: Job) = readiness.readyAtUs(job) - now
    }

    private companion object {
        /** A machine on which tasks of so many jobs failed is faulty. */
        const val FAULTY_JOBS = 2
    }
}
