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

/**
 * Connects the fleet's scaling decisions with the leader: passes on observations, makes the calls to the cloud, and handles the replies.
 */
internal class FleetDriver(
    private val settings: Settings,
    private val core: LeaderCore,
    private val observer: FleetObserver,
    private val cloudCaller: CloudCaller,
    policy: FleetPolicy,
    nowUs: Long,
    /** Returns the driver of drains; null if drains are not enabled. */
    private val drainDriver: () -> DrainDriver?,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val forecast = DemandForecast(nowUs)
    private val fleetCore = FleetCore(core.term, policy, forecast, settings.machineListLagUs)

    /** The drained machine that each requested replacement is for, by the id of the replacement request. */
    private val drainKeyByReplacementId = HashMap<String, DrainKey>()
    private var vanishedMachines = emptySet<String>()
    private var lastDecisionAtUs = Long.MIN_VALUE / 2
    private var lastObservationAtUs = Long.MIN_VALUE / 2
    private var lastDescriptionAtUs = Long.MIN_VALUE / 2

    /** The names of the machines that scale-in has cordoned or marked for termination. */
    val cordonedMachines get() = fleetCore.cordonedMachines()

    /** Adds a machine that an earlier leader has recorded. */
    fun addRecorded(
        machine: RegisteredMachine,
        nowUs: Long,
    ) = fleetCore.addMachine(machine.name, machine.typeName, machine.zone, machine.isSpot, nowUs)

    /** Counts a job in the demand forecast. The leader calls this when the job becomes ready to run. */
    fun onJobReady(job: Job) {
        observer.estimateArrival(job)?.let(forecast::recordArrival)
    }

    /** Observes the fleet and makes the next call to the cloud, each when its interval has passed. */
    fun step(nowUs: Long) {
        if (nowUs - lastObservationAtUs >= OBSERVE_INTERVAL_US) {
            lastObservationAtUs = nowUs
            observe(nowUs)
        }
        callCloud(nowUs)
    }

    private fun observe(nowUs: Long) {
        for ((id, partition) in core.partitions) {
            val zone = settings.assignment.zoneOf(id) ?: continue
            partition.machines.values.forEach { fleetCore.addMachine(it.name, it.typeName, zone, it.isSpot, nowUs) }
        }
        fleetCore.terminate(core.machinesToFence())
        val excludedMachines = drainDriver()?.excludedFromCapacity.orEmpty()
        fleetCore.observe(observer.observe(excludedMachines, nowUs), nowUs)
        logVanishedMachines()
        updateCordons()
        if (log.isDebugEnabled && nowUs - lastDescriptionAtUs >= DESCRIBE_INTERVAL_US) {
            lastDescriptionAtUs = nowUs
            log.debug("Fleet observed {}", fleetCore.describe(nowUs))
        }
    }

    /** Logs the machines that were found to be gone since the last observation. */
    private fun logVanishedMachines() {
        val vanished = fleetCore.vanishedMachines()
        val added = vanished - vanishedMachines
        vanishedMachines = vanished
        if (added.isNotEmpty()) log.info("Machines neither listed nor reported, to be terminated count={} machines={}", added.size, added)
    }

    private fun updateCordons() {
        val drainDriver = drainDriver()
        if (drainDriver == null) return core.machines.setCordoned(fleetCore.cordonedMachines())
        core.machines.setCordoned(fleetCore.cordonedMachines() + drainDriver.cordoned)
        core.machines.setDrained(drainDriver.cordoned)
        core.machines.setOnProbation(drainDriver.onProbation)
    }

    /** Requests a replacement for the drained machine [key], with the same type, zone and kind (spot or on-demand). */
    fun requestReplacement(key: DrainKey) {
        val machine = core.machines.stateOf(key.machine) ?: return
        val zone = core.machines.zoneOf(key.machine) ?: return
        val id = "${key.drain} ${key.machine}"
        drainKeyByReplacementId[id] = key
        fleetCore.requestReplacement(ReplacementRequest(id, machine.typeName, zone, machine.isSpot))
    }

    /** Marks a machine for termination. */
    fun terminate(machine: String) = fleetCore.terminate(listOf(machine))

    private fun callCloud(nowUs: Long) {
        if (!cloudCaller.canCall(nowUs)) return
        if (!core.isFailoverComplete && observer.machineTypes.isEmpty()) return
        // Each decision examines every machine, so it is made at intervals and not after every message.
        if (nowUs - lastDecisionAtUs < DECIDE_INTERVAL_US) return
        lastDecisionAtUs = nowUs
        fleetCore.nextCall(nowUs)?.let { cloudCaller.call(it, nowUs) }
    }

    /** Handles the reply to a provision request. */
    fun onProvisionReply(
        message: LeaderMessage.ProvisionReplyReceived,
        nowUs: Long,
    ) {
        cloudCaller.onReplyReceived()
        val request = message.request
        val machines = fleetCore.onProvisionReply(request, message.result, nowUs)
        if (machines.isEmpty()) return
        val drainKey = drainKeyByReplacementId.remove(fleetCore.replacementIdOf(request))
        if (drainKey != null) drainDriver()?.onReplacementProvisioned(drainKey, machines.first())
        log.info("Machines provisioned count={} type={} zone={} machines={}", machines.size, request.typeName, request.zone, machines)
    }

    /** Handles the reply to a terminate call. Returns whether the machines are proven gone. */
    fun onTerminateReply(message: LeaderMessage.TerminateReplyReceived): Boolean {
        cloudCaller.onReplyReceived()
        if (message.result != TerminateResult.TERMINATED) return false
        log.info("Machines terminated machines={}", message.machines)
        fleetCore.onMachinesTerminated(message.machines)
        return true
    }

    /** Handles the cloud's list of machines, or the failure to read it. */
    fun onMachineListReceived(
        message: LeaderMessage.MachineListReceived,
        nowUs: Long,
    ) {
        cloudCaller.onReplyReceived()
        if (message.reply is CloudReply.Success) fleetCore.onMachinesListed(message.reply.value, nowUs)
    }

    private companion object {
        const val OBSERVE_INTERVAL_US = 500_000L
        const val DECIDE_INTERVAL_US = 200_000L
        const val DESCRIBE_INTERVAL_US = 10_000_000L
    }
}
