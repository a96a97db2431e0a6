package lichenstage.fleet

import lichenstage.cluster.Shape
import lichenstage.jobs.JobSpec
import lichenstage.placement.Job
import lichenstage.placement.JobPhase

/** Turns the queue into demand for machines. */
object DemandEstimate {
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
        val byTeam = HashMap<String, Double>()
        val demand = ArrayList<Demand>()
        for (job in jobs) {
            val spec = job.spec
            val left = job.left
            if (left <= 0 || job.phase != JobPhase.OPEN) continue
            val machineType = fitting(spec, machineTypes).minByOrNull { it.price / perMachine(it, spec.shape) } ?: continue
            val aheadUs = if (job.ready) 0 else (machineType.bootUs * BOOTS_AHEAD).toLong()
            if (!job.ready && readyInUs(job) > aheadUs) continue
            val allowed = coresMax(spec.team) - (byTeam[spec.team] ?: 0.0)
            val atOnce = if (spec.shape.cores <= 0.0) left.toDouble() else minOf(left.toDouble(), allowed / spec.shape.cores)
            if (atOnce <= 0.0) continue
            byTeam.merge(spec.team, atOnce * spec.shape.cores, Double::plus)
            val per = perMachine(machineType, spec.shape).toDouble()
            val eachUs = (runUs(spec) + machineType.fetchUs(spec.imageGb)) / per
            val waiting = if (job.placeable) job.pending.size else left
            val waitingUs = minOf(waiting.toDouble(), atOnce) * eachUs
            demand +=
                Demand(
                    typeName = machineType.name,
                    spot = spec.spot,
                    machines = atOnce / per,
                    workUs = left * eachUs,
                    dueUs = dueUs(job),
                    busy = job.alive.size / per,
                    waitingUs = maxOf(waitingUs - job.totalSavedUs / per, 0.0),
                    foreseenInUs = aheadUs,
                )
        }
        return demand
    }

    /** What a job asks for over its whole life; null where no type fits. */
    fun arrival(
        job: Job,
        machineTypes: Map<String, MachineType>,
        runUs: Long,
        urgent: (MachineType) -> Boolean,
    ): JobArrival? {
        val spec = job.spec
        val machineType = fitting(spec, machineTypes).minByOrNull { it.price / perMachine(it, spec.shape) } ?: return null
        val machines = spec.tasks.toDouble() / perMachine(machineType, spec.shape)
        return JobArrival(machineType.name, job.readyUs, machines, runUs + machineType.fetchUs(spec.imageGb), urgent(machineType))
    }

    /** Boots usually take up to one and a half times as long as their type says. */
    private const val BOOTS_AHEAD = 1.5
}
