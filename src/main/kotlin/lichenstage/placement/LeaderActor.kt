package lichenstage.placement

import io.vertx.core.json.JsonObject
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import lichenstage.app.Clock
import lichenstage.app.Mailbox
import lichenstage.app.Settings
import lichenstage.authority.Authority
import lichenstage.cluster.Frame
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.TaskCounts
import lichenstage.fleet.Catalog
import lichenstage.fleet.CloudCall
import lichenstage.fleet.CloudClient
import lichenstage.fleet.DemandEstimate
import lichenstage.fleet.DemandForecast
import lichenstage.fleet.FleetCore
import lichenstage.fleet.FleetPolicy
import lichenstage.fleet.Hire
import lichenstage.fleet.Hired
import lichenstage.fleet.ListedMachine
import lichenstage.fleet.MachineStatus
import lichenstage.jobs.DoneRanges
import lichenstage.jobs.JobRecord
import lichenstage.jobs.JobReplicaSync
import lichenstage.jobs.JobSpec
import lichenstage.jobs.Pipelines
import lichenstage.state.Change
import lichenstage.state.Committed
import lichenstage.state.Entry
import lichenstage.state.OwnedKeys
import lichenstage.state.Read
import lichenstage.state.StateClient
import lichenstage.state.Watched
import org.slf4j.LoggerFactory
import java.util.BitSet
import java.util.concurrent.TimeUnit
import kotlinx.coroutines.Job as Running

sealed interface LeaderMessage {
    data class FromPartition(
        val frame: PartitionFrame,
    ) : LeaderMessage

    data class Loaded(
        val jobs: List<Entry>,
        val done: List<Entry>,
        val machines: List<Entry>,
    ) : LeaderMessage

    /** The open jobs as they stand after a watch was lost. */
    data class Reloaded(
        val jobs: List<Entry>,
    ) : LeaderMessage

    data class Changed(
        val added: List<Entry>,
        val removed: List<String>,
    ) : LeaderMessage

    /** Jobs that others know to be over; the watch of this leader may be the only one that is not answered. */
    data class JobsEnded(
        val jobs: List<String>,
    ) : LeaderMessage

    /** It has come to light how jobs ended that others need. */
    data object Resolved : LeaderMessage

    /** These are recorded as cancelled, since one that they need is. */
    data class OrphansWritten(
        val jobs: List<Job>,
    ) : LeaderMessage

    data class RangesWritten(
        val news: List<CompletionDelta>,
        val ok: Boolean,
    ) : LeaderMessage

    data class Finished(
        val job: Job,
        val outcome: Committed,
        val stillOpen: Boolean,
    ) : LeaderMessage

    /** [pages] of the registry were written. */
    data class Registered(
        val pages: List<RegistryPage>,
        val ok: Boolean,
    ) : LeaderMessage

    data class HireAnswered(
        val hire: Hire,
        val outcome: Hired,
    ) : LeaderMessage

    data class Returned(
        val names: List<String>,
        val ok: Boolean,
    ) : LeaderMessage

    /** [rows] is null where the list could not be read whole. */
    data class ListAnswered(
        val rows: List<ListedMachine>?,
    ) : LeaderMessage

    data object Tick : LeaderMessage
}

/** One term of leadership: loads the records, then places jobs and rents machines until the term is over. */
class LeaderActor(
    private val settings: Settings,
    private val authority: Authority,
    private val state: StateClient,
    private val cloud: CloudClient,
    private val catalog: Catalog,
    private val clock: Clock,
    private val replicaSync: JobReplicaSync,
    private val pipelines: Pipelines,
    parent: CoroutineScope,
    val term: Long,
    private val stamp: Long,
    policy: FleetPolicy,
    timers: Timers,
    private val send: (String, Frame) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    private val life: Running = SupervisorJob(parent.coroutineContext[Running])
    private val scope = parent + life
    private val serviceObjectives = ServiceObjectives(settings.objectives)
    private val core =
        LeaderCore(
            term,
            stamp,
            settings.assignment,
            settings.teams,
            settings.workerLeaseUs,
            timers,
            serviceObjectives,
            { catalog.machineTypes[it]?.capacity },
            settings.txnOps,
            ::fetchUs,
            pipelines::waitersOf,
            settings.valueBytes,
            ::effect,
        )
    private val registry = Registry(settings.valueBytes)

    /** The registry's pages and the done ranges. */
    private val owned = OwnedKeys(state)
    private val forecast = DemandForecast(clock.now())
    private val fleet = FleetCore(term, policy, forecast)
    private val mailbox = Mailbox("leader", scope, ::handle, shed = { it is LeaderMessage.FromPartition || it is LeaderMessage.Tick })
    private var loaded = false

    /** Jobs that wait for others. */
    private val waiting = LinkedHashSet<Job>()
    private var orphansBusy = false
    private var cloudBusy = false
    private var cloudCalledUs = Long.MIN_VALUE / 2
    private var fleetAskedUs = Long.MIN_VALUE / 2
    private var describedUs = Long.MIN_VALUE / 2
    private var registryBusy = false
    private var registeredUs = Long.MIN_VALUE / 2
    private var countedUs = Long.MIN_VALUE / 2
    private var observedUs = Long.MIN_VALUE / 2

    init {
        scope.launch { load() }
        scope.launch {
            while (isActive) {
                delay(TICK_MS)
                mailbox.tell(LeaderMessage.Tick)
            }
        }
    }

    fun tell(message: LeaderMessage) = mailbox.tell(message)

    fun stop() = life.cancel()

    val openJobs get() = core.jobs.size

    /** On the type that fetches slowest of those that it may run on. */
    private fun fetchUs(spec: JobSpec) = DemandEstimate.fitting(spec, catalog.machineTypes).maxOfOrNull { it.fetchUs(spec.imageGb) } ?: 0

    private fun entitled() = authority.leading()?.term == term

    private suspend fun load() {
        // Machines before jobs' done ranges: the order does not matter, since a task starts only after all is loaded.
        val machines = retry { state.scan(MACHINES) }
        val jobs = retry { state.scan(JobRecord.OPEN) }
        val done = retry { state.scan(JobRecord.DONE) }
        mailbox.tell(LeaderMessage.Loaded(jobs.entries, done.entries, machines.entries))
        var since = jobs.revision
        while (true) {
            when (val seen = state.changes(JobRecord.OPEN, since, WATCH_MS)) {
                is Watched.Events -> {
                    since = seen.revision
                    // A job that was put and deleted in one batch is gone: within a prefix, the delete is the newer.
                    val removed = seen.deletes.map { it.key }
                    if (seen.puts.isNotEmpty() || removed.isNotEmpty()) mailbox.tell(LeaderMessage.Changed(seen.puts, removed))
                }

                Watched.TooOld -> {
                    val again = retry { state.scan(JobRecord.OPEN) }
                    since = again.revision
                    mailbox.tell(LeaderMessage.Reloaded(again.entries))
                }

                Watched.Unavailable -> {
                    delay(250)
                }
            }
        }
    }

    private suspend fun <T : Any> retry(read: suspend () -> T?): T {
        while (true) {
            read()?.let { return it }
            delay(300)
        }
    }

    private fun handle(message: LeaderMessage) {
        val now = clock.now()
        when (message) {
            is LeaderMessage.Loaded -> {
                loaded(message)
            }

            is LeaderMessage.Reloaded -> {
                reloaded(message.jobs)
            }

            is LeaderMessage.Changed -> {
                message.added.forEach(::added)
                message.removed.forEach(::closed)
            }

            is LeaderMessage.JobsEnded -> {
                if (loaded) message.jobs.forEach { closed(JobRecord.OPEN + it) }
            }

            LeaderMessage.Resolved -> {
                if (loaded) readied()
            }

            is LeaderMessage.OrphansWritten -> {
                orphansBusy = false
                message.jobs.forEach { closed(JobRecord.OPEN + it.spec.id) }
            }

            is LeaderMessage.FromPartition -> {
                if (loaded) core.frame(message.frame, now)
            }

            is LeaderMessage.RangesWritten -> {
                core.rangesWritten(message.news, message.ok, now)
                message.news.filter { it.job.phase == JobPhase.CLOSED }.forEach { tidy(it.job) }
            }

            is LeaderMessage.Finished -> {
                finished(message)
            }

            is LeaderMessage.Registered -> {
                registered(message)
            }

            is LeaderMessage.HireAnswered -> {
                cloudBusy = false
                val names = fleet.hired(message.hire, message.outcome, now)
                if (names.isNotEmpty()) log.info("rented {} {} in {}: {}", names.size, message.hire.typeName, message.hire.zone, names)
            }

            is LeaderMessage.Returned -> {
                cloudBusy = false
                if (message.ok) returned(message.names)
            }

            is LeaderMessage.ListAnswered -> {
                cloudBusy = false
                message.rows?.let { fleet.listed(it, now) }
            }

            LeaderMessage.Tick -> {
                Unit
            }
        }
        // While authority pauses, nothing is decided: no start, no hire, no write.
        if (loaded && entitled()) step(now)
    }

    private fun step(now: Long) {
        core.tick(now)
        if (now - observedUs >= OBSERVE_US) {
            observedUs = now
            observe(now)
        }
        callCloud(now)
        register(now)
        cancelOrphans()
        if (now - countedUs >= COUNT_US) {
            countedUs = now
            val counts = TaskCounts(term, core.counts())
            (settings.peers.map { it.label } + settings.label).forEach { send(it, counts) }
        }
    }

    private fun loaded(message: LeaderMessage.Loaded) {
        owned.read(message.machines + message.done)
        message.machines.forEach { entry -> registry.load(entry).forEach(::known) }
        registry.split()
        // In the order of their submission: the forecast fades what lies back.
        message.jobs.sortedBy { it.value.getLong("at") ?: 0 }.forEach(::added)
        val strays = ArrayList<String>()
        for (entry in message.done) {
            val (id, chunk) = entry.key.removePrefix(JobRecord.DONE).split('/')
            val job = core.jobs[id]
            if (job == null) strays += entry.key else job.recorded(BitSet().also { DoneRanges.decode(entry.value, chunk.toInt(), it) })
        }
        loaded = true
        readied()
        delete(strays)
        log.info("leading under term {}: {} jobs, {} machines", term, message.jobs.size, registry.size)
    }

    private fun known(machine: Registered) {
        val partition = settings.assignment.partitionOf(machine.name, machine.zone)
        if (partition == null) {
            log.error("machine {} is recorded in {}, which is no zone of this deployment", machine.name, machine.zone)
            return
        }
        core.inherited(listOf(InheritedMachine(machine.name, partition, machine.typeName, machine.address)))
        fleet.known(machine.name, machine.typeName, machine.zone, machine.spot, 0, clock.now())
    }

    private fun closed(key: String) {
        val job = core.jobs[key.removePrefix(JobRecord.OPEN)] ?: return
        core.jobClosed(job.spec.id)
        tidy(job)
    }

    private fun added(entry: Entry) {
        val spec =
            try {
                JobRecord.decode(entry.value)
            } catch (e: RuntimeException) {
                log.error("record {} can't be read: {}", entry.key, e.message)
                return
            }
        val ageUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()) - spec.submittedUs
        val job = Job(spec, entry.stamp, clock.now() - ageUs.coerceAtLeast(0))
        if (spec.id in core.jobs) return
        core.jobAdded(job)
        if (job.ready) {
            expected(job)
        } else {
            waiting += job
            if (loaded) readied()
        }
    }

    /** The forecast counts a job from when it can run. */
    private fun expected(job: Job) {
        val runUs = core.runTimes.expectedUs(job.spec)
        DemandEstimate
            .arrival(job, catalog.machineTypes, runUs) {
                serviceObjectives.startsWithin(job.spec.kind, it.bootUs)
            }?.let(forecast::arrived)
    }

    /** Lets jobs go of which all that they need is recorded as done; their times count from the last of these records. */
    private fun readied() {
        waiting.removeIf { job ->
            val readyAt = pipelines.readyAt(job.spec.needs)
            if (readyAt != null) {
                val agoUs = if (readyAt == 0L) 0 else TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()) - readyAt
                core.jobReady(job, clock.now() - agoUs.coerceAtLeast(0))
                expected(job)
            }
            readyAt != null || job.phase == JobPhase.CLOSED
        }
    }

    /** Records what can never run as cancelled, some at a time. It counts as such from the record of what it needs on. */
    private fun cancelOrphans() {
        if (orphansBusy) return
        val jobs = pipelines.orphans(maxOf(1, settings.txnOps / 2)).mapNotNull { core.jobs[it] }.filter { it.phase == JobPhase.OPEN }
        if (jobs.isEmpty()) return
        orphansBusy = true
        scope.launch {
            // Together, or, where one of them has ended meanwhile, each for itself.
            val written = if (recordCancelled(jobs)) jobs else jobs.filter { recordCancelled(listOf(it)) }
            if (written.isEmpty()) delay(RETRY_MS)
            mailbox.tell(LeaderMessage.OrphansWritten(written))
        }
    }

    private suspend fun recordCancelled(jobs: List<Job>): Boolean {
        val guards = jobs.associate { JobRecord.OPEN + it.spec.id to it.stamp } + (Authority.LEADER to stamp)
        val atUs = TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis())
        val changes =
            jobs.flatMap {
                val id = it.spec.id
                listOf(Change.Delete(JobRecord.OPEN + id), Change.Put(JobRecord.FINISHED + id, JobRecord.over("cancelled", 0, atUs)))
            }
        return state.txn(guards, changes, urgent = false) is Committed.Yes
    }

    private fun reloaded(entries: List<Entry>) {
        val there = entries.mapTo(HashSet()) { it.key.removePrefix(JobRecord.OPEN) }
        core.jobs.keys
            .filter { it !in there }
            .forEach { closed(JobRecord.OPEN + it) }
        entries.forEach(::added)
    }

    private fun effect(effect: LeaderEffect) {
        when (effect) {
            is LeaderEffect.Send -> authority.owner(effect.partition)?.let { send(it.label, effect.frame) }
            is LeaderEffect.WriteRanges -> scope.launch { writeRanges(effect.news) }
            is LeaderEffect.Finish -> scope.launch { finish(effect.job) }
        }
    }

    /**
     * Guarded by the leadership: a late transaction of an earlier leader changes nothing, and ranges of a job that ended
     * meanwhile are tidied away. A late one of this leader is kept from changing anything by [OwnedKeys].
     */
    private suspend fun writeRanges(news: List<CompletionDelta>) {
        val puts =
            news.flatMap { row ->
                row.chunks.map { Change.Put(DoneRanges.key(row.job.spec.id, it), DoneRanges.encode(row.covers, it)) }
            }
        val outcome = writeAll(puts)
        if (!outcome) delay(RETRY_MS)
        mailbox.tell(LeaderMessage.RangesWritten(news, outcome))
    }

    private suspend fun writeAll(changes: List<Change>): Boolean {
        val guards = mapOf(Authority.LEADER to stamp)
        return changes.chunked(settings.txnOps).all { owned.write(guards, it, urgent = false) }
    }

    private suspend fun finish(job: Job) {
        val id = job.spec.id
        val guards = mapOf(Authority.LEADER to stamp, JobRecord.OPEN + id to job.stamp)
        val record = JobRecord.over("done", job.spec.tasks, TimeUnit.MILLISECONDS.toMicros(System.currentTimeMillis()))
        val outcome = state.txn(guards, listOf(Change.Delete(JobRecord.OPEN + id), Change.Put(JobRecord.FINISHED + id, record)))
        val stillOpen = outcome !is Committed.Refused || state.get(JobRecord.OPEN + id) !is Read.Missing
        if (outcome !is Committed.Yes) delay(RETRY_MS)
        if (outcome is Committed.Yes) replicaSync.finished(id, record)
        mailbox.tell(LeaderMessage.Finished(job, outcome, stillOpen))
    }

    private fun finished(message: LeaderMessage.Finished) {
        val job = message.job
        if (message.outcome is Committed.Yes) {
            core.finished(job, clock.now())
            tidy(job)
        } else {
            core.notFinished(job)
            if (!message.stillOpen) closed(JobRecord.OPEN + job.spec.id)
        }
    }

    /** Done ranges of a job that is over are of no more use. Where some are still being written, it is done after that. */
    private fun tidy(job: Job) {
        if (job.rangesUnderWay || job.durable.isEmpty) return
        delete((0 until DoneRanges.chunks(job.spec.tasks)).map { DoneRanges.key(job.spec.id, it) })
    }

    private fun delete(keys: List<String>) {
        if (keys.isNotEmpty()) scope.launch { writeAll(keys.map { Change.Delete(it) }) }
    }

    private fun observe(now: Long) {
        fleet.machineTypes = catalog.machineTypes
        for ((id, partition) in core.partitions) {
            val zone = settings.assignment.zone(id) ?: continue
            partition.machines.values.forEach { fleet.known(it.name, it.typeName, zone, it.spot, 0, now) }
        }
        fleet.fence(core.blockers())
        val views =
            core.partitions.values
                .flatMap { it.machines.values }
                .associateBy { it.name }
        val readiness = core.expectedReadiness(now)
        val demand =
            DemandEstimate.demand(
                core.jobs.values,
                catalog.machineTypes,
                coresMax = { settings.teams[it]?.coresMax ?: 0.0 },
                runUs = core.runTimes::expectedUs,
                dueUs = { nextDueUs(it, now) },
                readyInUs = { readiness.readyUs(it) - now },
            )
        fleet.observe(
            demand,
            { name ->
                views[name]?.let {
                    MachineStatus(
                        up = !it.lost,
                        silent = it.silent,
                        lost = it.lost,
                        tasks = core.attemptsOn(name).size,
                        faulty = (core.faults[name]?.size ?: 0) >= 2,
                    )
                }
            },
            now,
        )
        core.cordon(fleet.cordoned())
        if (log.isDebugEnabled && now - describedUs >= DESCRIBE_US) {
            describedUs = now
            log.debug("{}", fleet.describe(now))
        }
    }

    /** By when the job should be done; of one that waits for others only its deadline is known. */
    private fun nextDueUs(
        job: Job,
        now: Long,
    ): Long? {
        if (!job.ready) return serviceObjectives.deadlineUs(job)
        val runUs = core.runTimes.expectedUs(job.spec)
        return serviceObjectives.startObjectives(job, runUs, now).firstOrNull()?.let { it.startByUs + runUs }
    }

    private fun callCloud(now: Long) {
        if (cloudBusy || now - cloudCalledUs < (1_000_000 / (settings.cloudRps * 0.7)).toLong()) return
        if (!core.complete && catalog.machineTypes.isEmpty()) return
        // What to call next looks at every machine, so it is not asked anew after every message.
        if (now - fleetAskedUs < FLEET_US) return
        fleetAskedUs = now
        val call = fleet.next(now) ?: return
        cloudBusy = true
        cloudCalledUs = now
        scope.launch {
            when (call) {
                is CloudCall.Rent -> mailbox.tell(LeaderMessage.HireAnswered(call.hire, cloud.hire(call.hire)))
                is CloudCall.GiveBack -> mailbox.tell(LeaderMessage.Returned(call.names, cloud.giveBack(call.names)))
                CloudCall.ListAll -> mailbox.tell(LeaderMessage.ListAnswered(listAll()))
            }
        }
    }

    private suspend fun listAll(): List<ListedMachine>? {
        val rows = ArrayList<ListedMachine>()
        while (true) {
            val (page, more) = cloud.list(rows.lastOrNull()?.name) ?: return null
            rows += page
            if (!more || page.isEmpty()) return rows
            delay((1000 / settings.cloudRps).toLong())
        }
    }

    /**
     * Machines get tasks only once the state service holds their names (invariant 4), and are recorded only once they have
     * shown the token: a leader that comes after need not wait for one that never came up, and a late copy of a report of one
     * that is gone does not bring it back.
     */
    private fun register(now: Long) {
        if (registryBusy || now - registeredUs < if (registry.behind) BEHIND_US else REGISTER_US) return
        // Also where nothing is due: the search looks at every machine, and this is asked after every message.
        registeredUs = now
        val cordoned = fleet.cordoned()
        for ((id, view) in core.unregistered()) {
            if (view.name in cordoned || view.name in registry) continue
            registry.add(Registered(view.name, view.typeName, settings.assignment.zone(id)!!, view.spot, view.address))
        }
        val pages = registry.due(settings.txnOps)
        if (pages.isEmpty()) return
        registryBusy = true
        scope.launch {
            val written = owned.write(mapOf(Authority.LEADER to stamp), pages.map { it.change }, urgent = true)
            if (!written) delay(RETRY_MS)
            mailbox.tell(LeaderMessage.Registered(pages, written))
        }
    }

    private fun registered(message: LeaderMessage.Registered) {
        registryBusy = false
        if (!message.ok) return registry.notWritten(message.pages)
        val news = message.pages.flatMap { it.machines }.filter { it.name !in core.registry }
        core.registered(news.associate { it.name to settings.assignment.partitionOf(it.name, it.zone)!! })
    }

    private fun returned(names: List<String>) {
        log.info("returned {}", names)
        fleet.returned(names)
        names.forEach(core::machineGone)
        registry.remove(names)
    }

    private companion object {
        const val MACHINES = "m/"
        const val TICK_MS = 100L
        const val WATCH_MS = 8000L
        const val DESCRIBE_US = 10_000_000L
        const val OBSERVE_US = 500_000L
        const val COUNT_US = 2_000_000L
        const val REGISTER_US = 300_000L
        const val BEHIND_US = 60_000L
        const val FLEET_US = 200_000L
        const val RETRY_MS = 300L
    }
}
