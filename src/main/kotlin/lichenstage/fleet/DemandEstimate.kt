package lichenstage.fleet

import lichenstage.model.JobSpec
import lichenstage.model.MachineType
import lichenstage.model.Shape
import lichenstage.placement.Job
import lichenstage.placement.JobPhase

/** Turns the queue into demand for machines. */
object DemandEstimate {
    /** How many tasks of a shape a machine takes. */
    fun perMachine(
        machineType: MachineType,
        shape: Shape,
    ): Int = machineType.capacity.fits(shape)

    /** The types on which a task of the job fits and may be. */
    fun fitting(
        spec: JobSpec,
        machineTypes: Map<String, MachineType>,
    ): List<MachineType> =
        machineTypes.values.filter {
            (spec.allowedTypes == null || it.name in spec.allowedTypes) &&
                (spec.zone == null || spec.zone in it.zones) &&
                perMachine(it, spec.shape) > 0
        }

    /**
     * What each open job still asks for, with the time by which it should be done. A job that waits for others counts from when a
     * machine that is rented now would come too late for it: [readyInUs] says when it is expected to be ready.
     */
    fun demand(
        jobs: Collection<Job>,
        machineTypes: Map<String, MachineType>,
        coresMax: (String) -> Double,
        runUs: (JobSpec) -> Long,
        dueUs: (Job) -> Long?,
        readyInUs: (Job) -> Long,
    ): List<Demand> {
        val coresOfTeams = HashMap<String, Double>()
        return jobs.filter { it.left > 0 && it.phase == JobPhase.OPEN }.mapNotNull { job ->
            val spec = job.spec
            val machineType = cheapest(spec, machineTypes)
            val aheadUs = if (job.ready || machineType == null) 0 else (machineType.bootUs * BOOTS_AHEAD).toLong()
            val tasks = tasksAtOnce(job, coresMax(spec.team) - (coresOfTeams[spec.team] ?: 0.0))
            if (machineType == null || tasks <= 0.0 || (!job.ready && readyInUs(job) > aheadUs)) return@mapNotNull null
            coresOfTeams.merge(spec.team, tasks * spec.shape.cores, Double::plus)
            of(job, machineType, tasks, runUs(spec)).copy(dueUs = dueUs(job), foreseenInUs = aheadUs)
        }
    }

    /** The type on which tasks of the job are cheapest; null where none fits. */
    private fun cheapest(
        spec: JobSpec,
        machineTypes: Map<String, MachineType>,
    ) = fitting(spec, machineTypes).minByOrNull { it.price / perMachine(it, spec.shape) }

    private fun tasksAtOnce(
        job: Job,
        coresAllowed: Double,
    ): Double {
        val left = job.left.toDouble()
        val cores = job.spec.shape.cores
        return if (cores <= 0.0) left else minOf(left, coresAllowed / cores)
    }

    private fun of(
        job: Job,
        machineType: MachineType,
        atOnce: Double,
        runUs: Long,
    ): Demand {
        val spec = job.spec
        val per = perMachine(machineType, spec.shape).toDouble()
        val eachUs = (runUs + machineType.fetchUs(spec.imageGb)) / per
        val waiting = if (job.placeable) job.pending.size else job.left
        val waitingUs = minOf(waiting.toDouble(), atOnce) * eachUs
        return Demand(
            typeName = machineType.name,
            spot = spec.spot,
            machines = atOnce / per,
            workUs = job.left * eachUs,
            dueUs = null,
            busy = job.alive.size / per,
            waitingUs = maxOf(waitingUs - job.totalSavedUs / per, 0.0),
        )
    }

    /** What a job asks for over its whole life; null where no type fits. */
    fun arrival(
        job: Job,
        machineTypes: Map<String, MachineType>,
        runUs: Long,
        urgent: (MachineType) -> Boolean,
    ): JobArrival? {
        val spec = job.spec
        val machineType = cheapest(spec, machineTypes) ?: return null
        val machines = spec.tasks.toDouble() / perMachine(machineType, spec.shape)
        return JobArrival(machineType.name, job.readyUs, machines, runUs + machineType.fetchUs(spec.imageGb), urgent(machineType))
    }

    /** Boots usually take up to one and a half times as long as their type says. */
    private const val BOOTS_AHEAD = 1.5
}
