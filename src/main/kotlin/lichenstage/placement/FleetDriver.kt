package lichenstage.placement

import lichenstage.cloud.CloudReply
import lichenstage.cloud.TerminateResult
import lichenstage.config.Settings
import lichenstage.drain.DrainDriver
import lichenstage.drain.DrainKey
import lichenstage.fleet.DemandForecast
import lichenstage.fleet.FleetCore
import lichenstage.fleet.FleetPolicy
import lichenstage.fleet.ReplacementRequest
import lichenstage.model.RegisteredMachine
import org.slf4j.LoggerFactory

/** Joins the fleet's decisions with the leader: shows them what it knows, has their calls made, and takes the answers. */
internal class FleetDriver(
    private val settings: Settings,
    private val core: LeaderCore,
    private val observer: FleetObserver,
    private val caller: CloudCaller,
    policy: FleetPolicy,
    now: Long,
    /** Null where no drains are switched on. */
    private val drains: () -> DrainDriver?,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val forecast = DemandForecast(now)
    private val fleet = FleetCore(core.term, policy, forecast)

    /** The machine of a drain that each requested replacement is for, by the request's id. */
    private val replacementKeys = HashMap<String, DrainKey>()
    private var decidedUs = Long.MIN_VALUE / 2
    private var observedUs = Long.MIN_VALUE / 2
    private var describedUs = Long.MIN_VALUE / 2

    /** Machines that get no more tasks. */
    val cordoned get() = fleet.cordoned()

    /** A machine that an earlier leader has recorded. */
    fun addRecorded(
        machine: RegisteredMachine,
        now: Long,
    ) = fleet.addMachine(machine.name, machine.typeName, machine.zone, machine.spot, now)

    /** A job can run from now on, which is when the forecast counts it. */
    fun jobReady(job: Job) {
        observer.arrival(job)?.let(forecast::recordArrival)
    }

    /** Time has passed. */
    fun step(now: Long) {
        if (now - observedUs >= OBSERVE_INTERVAL_US) {
            observedUs = now
            observe(now)
        }
        callCloud(now)
    }

    private fun observe(now: Long) {
        for ((id, partition) in core.partitions) {
            val zone = settings.assignment.zone(id) ?: continue
            partition.machines.values.forEach { fleet.addMachine(it.name, it.typeName, zone, it.isSpot, now) }
        }
        fleet.terminate(core.machinesToFence())
        val excludedMachines = drains()?.excludedFromCapacity.orEmpty()
        fleet.observe(observer.observe(excludedMachines, now), now)
        cordon()
        if (log.isDebugEnabled && now - describedUs >= DESCRIBE_INTERVAL_US) {
            describedUs = now
            log.debug("Fleet observed {}", fleet.describe(now))
        }
    }

    private fun cordon() {
        val drains = drains()
        if (drains == null) return core.machines.setCordoned(fleet.cordoned())
        core.machines.setCordoned(fleet.cordoned() + drains.cordoned)
        core.machines.setDrained(drains.cordoned)
        core.machines.setOnProbation(drains.onProbation)
    }

    /** Requests a machine of the type, zone and kind of the one that [key] names. */
    fun requestReplacement(key: DrainKey) {
        val machine = core.machines.stateOf(key.machine) ?: return
        val zone = core.machines.zoneOf(key.machine) ?: return
        val id = "${key.drain} ${key.machine}"
        replacementKeys[id] = key
        fleet.requestReplacement(ReplacementRequest(id, machine.typeName, zone, machine.isSpot))
    }

    /** Has a machine terminated. */
    fun terminate(machine: String) = fleet.terminate(listOf(machine))

    private fun callCloud(now: Long) {
        if (!caller.isReady(now)) return
        if (!core.isFailoverComplete && observer.machineTypes.isEmpty()) return
        // The decision looks at every machine, so it is not made anew after every message.
        if (now - decidedUs < DECIDE_INTERVAL_US) return
        decidedUs = now
        fleet.nextCall(now)?.let { caller.call(it, now) }
    }

    /** The answer to a provision request has come. */
    fun provisionAnswered(
        message: LeaderMessage.ProvisionAnswered,
        now: Long,
    ) {
        caller.answered()
        val request = message.request
        val machines = fleet.provisionAnswered(request, message.result, now)
        if (machines.isEmpty()) return
        replacementKeys.remove(fleet.replacementIdOf(request))?.let { drains()?.onReplacementProvisioned(it, machines.first()) }
        log.info("Machines provisioned count={} type={} zone={} machines={}", machines.size, request.typeName, request.zone, machines)
    }

    /** The answer to a call that terminates machines has come; true where they are proven gone. */
    fun terminateAnswered(message: LeaderMessage.TerminateAnswered): Boolean {
        caller.answered()
        if (message.result != TerminateResult.TERMINATED) return false
        log.info("Machines terminated machines={}", message.machines)
        fleet.machinesTerminated(message.machines)
        return true
    }

    /** The cloud's list of machines has come, or could not be read. */
    fun listAnswered(
        message: LeaderMessage.ListAnswered,
        now: Long,
    ) {
        caller.answered()
        if (message.reply is CloudReply.Success) fleet.machinesListed(message.reply.value, now)
    }

    private companion object {
        const val OBSERVE_INTERVAL_US = 500_000L
        const val DECIDE_INTERVAL_US = 200_000L
        const val DESCRIBE_INTERVAL_US = 10_000_000L
    }
}
