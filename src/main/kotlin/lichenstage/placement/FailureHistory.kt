package lichenstage.placement

import lichenstage.common.SECOND
import lichenstage.fleet.MachineHealth
import org.slf4j.LoggerFactory

/**
 * The failures of attempts by job and by machine, and what follows from them for placement and for the fleet.
 *
 * An attempt fails because its machine is faulty, or because its job was submitted with a mistake and fails on every machine. A single
 * failure does not tell which. The evidence is where else the job fails or succeeds:
 *
 * - A job that has failed on [MISTAKEN_JOB_MACHINES] machines and has no task done is probably mistaken. Its failures no longer count
 *   against machines, so it causes at most that many machines less one to be provisioned.
 * - A machine is judged by the failures of the other jobs; see [MachineHealth].
 *
 * In either case the job avoids the machine for a pause after the failure. The pause grows but is bounded, because there may be no other
 * machine for the job.
 *
 * Failures are forgotten after [EVIDENCE_LIFETIME_US], so that a job is not taken for mistaken for good when it met several faulty
 * machines. They are kept by one leader in memory only: a new leader learns them again from the next failures.
 */
internal class FailureHistory {
    /** The failures of one job on one machine. */
    private class Failures {
        /** The number of times that the job was tried on the machine and failed. Attempts that fail during a pause are no further trial. */
        var trials = 0
        var lastAtUs = 0L

        /** Whether a task of any job has completed on the machine since the last failure. */
        var isRefuted = false
        var isMachineGone = false

        fun pauseUs() = (FIRST_PAUSE_US shl minOf(trials - 1, MAX_PAUSE_DOUBLINGS)).coerceAtMost(MAX_PAUSE_US)

        fun isRecent(nowUs: Long) = nowUs - lastAtUs < EVIDENCE_LIFETIME_US
    }

    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val failuresByJob = HashMap<String, LinkedHashMap<String, Failures>>()
    private val jobsByMachine = HashMap<String, LinkedHashSet<String>>()

    /** Jobs with failures that have completed tasks. */
    private val succeededJobs = HashSet<String>()
    private val defectiveMachines = HashSet<String>()

    /** Records that an attempt of [job] has failed on [machine]. */
    fun recordFailure(
        job: Job,
        machine: String,
        nowUs: Long,
    ) {
        val id = job.spec.id
        val wasMistaken = isMistaken(id, nowUs)
        if (!job.doneTasks.isEmpty) succeededJobs += id
        val machines = failuresByJob.getOrPut(id) { LinkedHashMap() }
        val failures = machines.getOrPut(machine) { Failures() }
        if (failures.trials == 0 || nowUs - failures.lastAtUs >= failures.pauseUs()) failures.trials++
        failures.lastAtUs = nowUs
        failures.isRefuted = false
        if (machines.size > MAX_MACHINES_PER_JOB) machines.remove(machines.entries.minBy { it.value.lastAtUs }.key)
        recordJobOn(machine, id, nowUs)
        if (!wasMistaken && isMistaken(id, nowUs)) log.info("Job probably mistaken, no task done job={} failedOn={}", id, machines.keys)
    }

    private fun recordJobOn(
        machine: String,
        job: String,
        nowUs: Long,
    ) {
        val wasFaulty = healthOf(machine, nowUs) == MachineHealth.FAULTY
        val jobs = jobsByMachine.getOrPut(machine) { LinkedHashSet() }
        if (!jobs.add(job)) return
        if (jobs.size > MAX_JOBS_PER_MACHINE) jobs.remove(jobs.first())
        val isFaulty = healthOf(machine, nowUs) == MachineHealth.FAULTY
        if (isFaulty && !wasFaulty) log.info("Tasks of several jobs failed machine={} jobs={}", machine, jobs)
    }

    /** Records that an attempt of [job] has completed on [machine]. */
    fun recordSuccess(
        job: Job,
        machine: String,
        nowUs: Long,
    ) {
        defectiveMachines -= machine
        jobsByMachine[machine]?.forEach { failuresByJob[it]?.get(machine)?.isRefuted = true }
        val failures = failuresByJob[job.spec.id] ?: return
        succeededJobs += job.spec.id
        for ((failedMachine, failure) in failures) {
            if (failure.isRefuted || failure.isMachineGone || !failure.isRecent(nowUs) || !defectiveMachines.add(failedMachine)) continue
            log.info("Machine fails what succeeds elsewhere machine={} job={} succeededOn={}", failedMachine, job.spec.id, machine)
        }
    }

    /** Forgets a machine that is proven to be terminated. It still counts among the machines on which its jobs have failed. */
    fun onMachineTerminated(machine: String) {
        defectiveMachines -= machine
        jobsByMachine.remove(machine)?.forEach { failuresByJob[it]?.get(machine)?.isMachineGone = true }
    }

    /** Forgets a job that has ended. If it was cancelled without having completed a task, its failures say nothing about machines. */
    fun onJobClosed(job: Job) {
        val failures = failuresByJob.remove(job.spec.id) ?: return
        succeededJobs -= job.spec.id
        if (job.doneTasks.isEmpty) failures.keys.forEach { jobsByMachine[it]?.remove(job.spec.id) }
    }

    /** Returns the machines on which tasks of [job] have failed so recently that none is placed there. */
    fun avoidedMachines(
        job: Job,
        nowUs: Long,
    ): Set<String> {
        val failures = failuresByJob[job.spec.id] ?: return emptySet()
        return failures.filterValues { !it.isMachineGone && nowUs - it.lastAtUs < it.pauseUs() }.keys
    }

    /** Returns how long no task of [job] is placed on any machine after a failure: a time that grows while the job is probably mistaken. */
    fun jobPauseUs(
        job: Job,
        nowUs: Long,
    ): Long {
        if (!isMistaken(job.spec.id, nowUs)) return 0
        val trials = failuresByJob.getValue(job.spec.id).values.sumOf { it.trials }
        return (MISTAKEN_JOB_PAUSE_US shl minOf(trials - MISTAKEN_JOB_MACHINES, MAX_PAUSE_DOUBLINGS)).coerceAtMost(MAX_PAUSE_US)
    }

    /** Returns what the failures on a machine say about it. */
    fun healthOf(
        machine: String,
        nowUs: Long,
    ): MachineHealth {
        val jobs = jobsByMachine[machine].orEmpty().filter { !isMistaken(it, nowUs) }
        return when {
            jobs.size >= MIN_JOBS_OF_FAULTY_MACHINE -> MachineHealth.FAULTY
            machine in defectiveMachines -> MachineHealth.DEFECTIVE
            jobs.any { isUnrefuted(it, machine, nowUs) } -> MachineHealth.SUSPECT
            else -> MachineHealth.SOUND
        }
    }

    private fun isUnrefuted(
        job: String,
        machine: String,
        nowUs: Long,
    ) = failuresByJob[job]?.get(machine)?.let { !it.isRefuted && it.isRecent(nowUs) } == true

    private fun isMistaken(
        job: String,
        nowUs: Long,
    ): Boolean {
        val failures = failuresByJob[job] ?: return false
        return job !in succeededJobs && failures.values.count { it.isRecent(nowUs) } >= MISTAKEN_JOB_MACHINES
    }

    /** Returns the number of machines that are not sound. */
    fun unsoundMachineCount(nowUs: Long): Int = jobsByMachine.keys.count { healthOf(it, nowUs) != MachineHealth.SOUND }

    /** Returns the number of jobs that are probably mistaken. */
    fun mistakenJobCount(nowUs: Long): Int = failuresByJob.keys.count { isMistaken(it, nowUs) }

    private companion object {
        const val MISTAKEN_JOB_MACHINES = 3
        const val MIN_JOBS_OF_FAULTY_MACHINE = 2
        const val EVIDENCE_LIFETIME_US = 600 * SECOND

        /** The first pause of a job on a machine. It covers most boot times, so that the next attempt can be on a new machine. */
        const val FIRST_PAUSE_US = 30 * SECOND

        /** The limit of all pauses. A job with room on a fitting machine must not wait for 90 s. */
        const val MAX_PAUSE_US = 60 * SECOND
        const val MISTAKEN_JOB_PAUSE_US = 10 * SECOND
        const val MAX_PAUSE_DOUBLINGS = 4
        const val MAX_MACHINES_PER_JOB = 16
        const val MAX_JOBS_PER_MACHINE = 16
    }
}
