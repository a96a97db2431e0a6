package lichenstage.placement

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import lichenstage.cloud.CloudClient
import lichenstage.cloud.ListedMachine
import lichenstage.cloud.MachineCatalog
import lichenstage.config.Settings
import lichenstage.drain.DrainDriver
import lichenstage.drain.DrainKey
import lichenstage.fleet.CloudCall
import lichenstage.fleet.DemandForecast
import lichenstage.fleet.FleetCore
import lichenstage.fleet.FleetPolicy
import lichenstage.fleet.MachineStatus
import lichenstage.fleet.ReplacementRequest
import lichenstage.model.JobSpec
import lichenstage.model.RegisteredMachine
import org.slf4j.LoggerFactory

/** Shows the fleet's decisions what the leader knows of jobs and machines, and carries them out at the cloud, one call at a time. */
internal class FleetDriver(
    private val settings: Settings,
    private val core: LeaderCore,
    private val cloud: CloudClient,
    private val catalog: MachineCatalog,
    private val objectives: ServiceObjectives,
    policy: FleetPolicy,
    now: Long,
    private val scope: CoroutineScope,
    /** Null where no drains are switched on. */
    private val drains: () -> DrainDriver?,
    private val tell: (LeaderMessage) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val forecast = DemandForecast(now)
    private val fleet = FleetCore(core.term, policy, forecast)

    /** For which machine of a drain a hire was requested, by the request's id. */
    private val requested = HashMap<String, DrainKey>()
    private var calling = false
    private var calledUs = Long.MIN_VALUE / 2
    private var askedUs = Long.MIN_VALUE / 2
    private var observedUs = Long.MIN_VALUE / 2
    private var describedUs = Long.MIN_VALUE / 2

    /** Machines that get no more tasks. */
    val cordoned get() = fleet.cordoned()

    /** A machine that an earlier leader has recorded. */
    fun known(
        machine: RegisteredMachine,
        now: Long,
    ) = fleet.known(machine.name, machine.typeName, machine.zone, machine.spot, 0, now)

    /** The forecast counts a job from when it can run. */
    fun arrived(job: Job) {
        val runUs = core.runTimes.expectedUs(job.spec)
        DemandEstimate
            .arrival(job, catalog.machineTypes, runUs) { objectives.startsWithin(job.spec.jobClass, it.bootUs) }
            ?.let(forecast::arrived)
    }

    fun step(now: Long) {
        if (now - observedUs >= OBSERVE_US) {
            observedUs = now
            observe(now)
        }
        call(now)
    }

    private fun observe(now: Long) {
        fleet.machineTypes = catalog.machineTypes
        for ((id, partition) in core.partitions) {
            val zone = settings.assignment.zone(id) ?: continue
            partition.machines.values.forEach { fleet.known(it.name, it.typeName, zone, it.spot, 0, now) }
        }
        fleet.fence(core.machinesToFence())
        drains()?.let { fleet.uncounted = it.uncounted }
        fleet.observe(demand(now), statusOfMachines(), now)
        cordon()
        if (log.isDebugEnabled && now - describedUs >= DESCRIBE_US) {
            describedUs = now
            log.debug("{}", fleet.describe(now))
        }
    }

    private fun cordon() {
        val governed = drains()
        if (governed == null) return core.setCordoned(fleet.cordoned())
        core.setCordoned(fleet.cordoned() + governed.cordoned)
        core.setDrained(governed.cordoned)
        core.setOnProbation(governed.onProbation)
    }

    /** A machine like this one is wanted, for [key]. */
    fun hireLike(key: DrainKey) {
        val machine = core.machine(key.machine) ?: return
        val zone = core.zoneOf(key.machine) ?: return
        val id = "${key.drain} ${key.machine}"
        requested[id] = key
        fleet.request(ReplacementRequest(id, machine.typeName, zone, machine.spot))
    }

    fun giveBack(machine: String) = fleet.fence(listOf(machine))

    private fun statusOfMachines(): (String) -> MachineStatus? {
        val states =
            core.partitions.values
                .flatMap { it.machines.values }
                .associateBy { it.name }
        return { name ->
            states[name]?.let {
                MachineStatus(
                    up = !it.lost,
                    silent = it.silent,
                    lost = it.lost,
                    tasks = core.attemptsOn(name).size,
                    faulty = core.failedJobsOn(name).size >= FAULTY_JOBS,
                )
            }
        }
    }

    private fun demand(now: Long) = DemandEstimate.demand(core.jobs.values, catalog.machineTypes, DemandInputs(now))

    private inner class DemandInputs(
        private val now: Long,
    ) : DemandEstimate.Inputs {
        private val readiness = core.expectedReadiness(now)

        override fun maxCores(team: String) = settings.teams[team]?.coresMax ?: 0.0

        override fun runUs(spec: JobSpec) = core.runTimes.expectedUs(spec)

        override fun dueUs(job: Job) = nextDueUs(job, now)

        override fun readyInUs(job: Job) = readiness.readyUs(job) - now
    }

    /** By when the job should be done; of one that waits for others only its deadline is known. */
    private fun nextDueUs(
        job: Job,
        now: Long,
    ): Long? {
        if (!job.ready) return objectives.deadlineUs(job)
        val runUs = core.runTimes.expectedUs(job.spec)
        return objectives.startObjectives(job, runUs, now).firstOrNull()?.let { it.startByUs + runUs }
    }

    private fun call(now: Long) {
        if (calling || now - calledUs < (MICROS_A_SECOND / (settings.cloudRps * RATE_USED)).toLong()) return
        if (!core.failoverComplete && catalog.machineTypes.isEmpty()) return
        // What to call next looks at every machine, so it is not asked anew after every message.
        if (now - askedUs < ASK_US) return
        askedUs = now
        val call = fleet.next(now) ?: return
        calling = true
        calledUs = now
        scope.launch {
            when (call) {
                is CloudCall.Provision -> tell(LeaderMessage.ProvisionAnswered(call.hire, cloud.hire(call.hire)))
                is CloudCall.Terminate -> tell(LeaderMessage.TerminateAnswered(call.names, cloud.giveBack(call.names)))
                CloudCall.ListAll -> tell(LeaderMessage.ListAnswered(listAll()))
            }
        }
    }

    private suspend fun listAll(): List<ListedMachine>? {
        val rows = ArrayList<ListedMachine>()
        while (true) {
            val (page, more) = cloud.list(rows.lastOrNull()?.name) ?: return null
            rows += page
            if (!more || page.isEmpty()) return rows
            delay((MILLIS_A_SECOND / settings.cloudRps).toLong())
        }
    }

    fun hired(
        message: LeaderMessage.ProvisionAnswered,
        now: Long,
    ) {
        calling = false
        val hire = message.hire
        val names = fleet.hired(hire, message.outcome, now)
        names.firstOrNull()?.let { name -> requested.remove(fleet.requestOf(hire))?.let { drains()?.hired(it, name) } }
        if (names.isNotEmpty()) log.info("rented {} {} in {}: {}", names.size, hire.typeName, hire.zone, names)
    }

    /** True where the machines are gone. */
    fun returned(message: LeaderMessage.TerminateAnswered): Boolean {
        calling = false
        if (!message.ok) return false
        log.info("returned {}", message.names)
        fleet.returned(message.names)
        return true
    }

    fun listed(
        message: LeaderMessage.ListAnswered,
        now: Long,
    ) {
        calling = false
        message.rows?.let { fleet.listed(it, now) }
    }

    private companion object {
        const val OBSERVE_US = 500_000L
        const val ASK_US = 200_000L
        const val DESCRIBE_US = 10_000_000L
        const val MICROS_A_SECOND = 1_000_000
        const val MILLIS_A_SECOND = 1_000

        /** The part of the cloud's rate that is used: bursts of an earlier leader may still count. */
        const val RATE_USED = 0.7

        /** A machine on which tasks of so many jobs failed is faulty. */
        const val FAULTY_JOBS = 2
    }
}
