package lichenstage.placement

import lichenstage.app.MILLI
import lichenstage.app.SECOND
import lichenstage.app.Team
import lichenstage.app.withDrift
import lichenstage.cluster.AttemptOrder
import lichenstage.cluster.HeldSlots
import lichenstage.cluster.MachineState
import lichenstage.cluster.PartitionAssignment
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.PlacementRequest
import lichenstage.cluster.SaveOrder
import lichenstage.cluster.Shape
import lichenstage.cluster.StartOrder
import lichenstage.cluster.TaskPhase
import lichenstage.cluster.TaskState
import lichenstage.jobs.JobSpec
import org.slf4j.LoggerFactory

/** What can be tuned in placement. */
data class Timers(
    val alphaUs: Long = 2 * SECOND,
    val betaUs: Long = 300 * MILLI,
    val retryUs: Long = SECOND,
    val paceUs: Long = 50 * MILLI,
    val flushUs: Long = 2 * SECOND,
    val askJobs: Int = 24,
    val askTasks: Int = 64,
)

/** What the leader knows of one part. */
class PartitionState(
    val term: Long,
) {
    var version = 0L

    /** The frame up to which the part has told all that came of it, and the last that it has taken. */
    var seq = 0L
    var receivedSeq = 0L

    /** As of the last frame that left nothing out: before one, a missing machine means nothing. */
    var ageUs = 0L
    var heardUs = 0L
    val machines = LinkedHashMap<String, MachineState>()
}

/**
 * The leader: the requests, and every attempt that may be running.
 *
 * Plain code: events with the time come in, effects go out through [emit]. A start goes out only for a task of which it
 * is known that no other attempt can be running, and within the limits counted over all that may be running. A frame costs by
 * what it changes; what must look at everything is done once in [SWEEP_US].
 */
class LeaderCore(
    val term: Long,
    private val stamp: Long,
    private val assignment: PartitionAssignment,
    teams: Map<String, Team>,
    private val leaseUs: Long,
    private val timers: Timers,
    private val serviceObjectives: ServiceObjectives,
    private val capacityOf: (String) -> Shape?,
    batch: Int,
    private val fetchUs: (JobSpec) -> Long = { 0 },
    private val waitersOf: (String) -> Collection<String> = { emptyList() },
    valueBytes: Int = Int.MAX_VALUE,
    private val emit: (LeaderEffect) -> Unit,
) {
    private val log = LoggerFactory.getLogger("lichenstage.placement")
    val jobs = LinkedHashMap<String, Job>()
    val partitions = HashMap<String, PartitionState>()

    /** Names that the state service holds, with the part of each: only these may get tasks (invariant 4). */
    val registry = HashMap<String, String>()
    private val takeover = Takeover(leaseUs) { partitions[it] }
    private val addresses = HashMap<String, String>()

    /** Machines proven gone: a late word about one is not believed. */
    private val retired = HashSet<String>()

    /** Jobs whose tasks failed on a machine: several point at the machine. */
    val faults = HashMap<String, HashSet<String>>()

    /** Machines that get no more tasks. */
    private var cordoned: Set<String> = emptySet()
    private val runningAttempts = RunningAttempts(teams)
    private val orders = TaskOrders()
    val runTimes = RunTimeEstimates()
    private val pipelineDeadlines = PipelineDeadlines(serviceObjectives, runTimes) { job -> waitersOf(job.spec.id).mapNotNull { jobs[it] } }
    private val readiness = ReadinessForecast(runTimes, fetchUs) { jobs[it] }
    private val queue = JobQueue(serviceObjectives, teams, runTimes, pipelineDeadlines = pipelineDeadlines)
    private val checkpointStops = CheckpointStops(runTimes)

    /** Orders to save that the next frame to each part takes along. */
    private val saves = HashMap<String, List<SaveOrder>>()

    /** Machines on which something runs that counts for no team: its job has no record any more, or it should not be there. */
    private val unaccountedMachines = HashMap<String, String>()
    private val seqs = HashMap<String, Long>()
    private val partitionSync = PartitionSync()
    private val sentUs = HashMap<String, Long>()
    private val poked = HashSet<String>()
    private var attemptCounter = 0L
    private var stampCounter = 0L
    private var round: RequestRound? = null
    private var worthAsking = true
    private var askedUs = Long.MIN_VALUE / 2
    private var sweptUs = Long.MIN_VALUE / 2

    private val completionRecorder = CompletionRecorder(batch, timers.flushUs, valueBytes, emit)
    private var cores = 0.0

    /** Every registered machine is accounted for, so what isn't known to run doesn't (invariant 5). */
    val complete get() = takeover.complete

    /** The machines that were registered before this term. */
    fun inherited(machines: Collection<InheritedMachine>) {
        machines.forEach {
            registry[it.name] = it.partition
            takeover.await(it)
            it.address?.let { address -> addresses[it.name] = address }
        }
    }

    /** The state service holds these names now, each with its part. */
    fun registered(machines: Map<String, String>) {
        registry += machines.filterKeys { it !in retired }
        worthAsking = true
    }

    /**
     * Machines that the state service does not hold yet, with the part of each. Only those that have shown their part's token in
     * this term: a late copy of a report must not bring back a machine that is gone.
     */
    fun unregistered(): List<Pair<String, MachineState>> =
        partitions.flatMap { (id, partition) ->
            partition.machines.values
                .filter { it.settled && !it.lost && it.name !in registry }
                .map { id to it }
        }

    /** These machines get no more tasks. */
    fun cordon(machines: Set<String>) {
        cordoned = machines
    }

    fun jobAdded(job: Job) {
        if (jobs.containsKey(job.spec.id)) return
        jobs[job.spec.id] = job
        queue.added(job)
        worthAsking = true
        // A job accepted within this term can't have been started by an earlier leader.
        val fresh = job.stamp > stamp
        if (job.ready && (complete || fresh)) job.open()
        if (!fresh) partitions.keys.forEach { adopt(job, it) }
        if (job.complete) completionRecorder.note(job, Long.MIN_VALUE / 2)
    }

    /** All that the job needs is recorded as done, since [atUs]. */
    fun jobReady(
        job: Job,
        atUs: Long,
    ) {
        if (job.ready || job.phase == JobPhase.CLOSED) return
        job.ready(atUs)
        if (complete || job.stamp > stamp) job.open()
        queue.changed()
        worthAsking = true
    }

    /** When jobs that wait for others are expected to be ready, as of [now]. */
    fun expectedReadiness(now: Long) = readiness.Plan(now)

    /** The record of the job is gone: cancelled, or done by what an earlier leader wrote. */
    fun jobClosed(id: String) {
        val job = jobs[id] ?: return
        if (job.phase == JobPhase.CLOSED) return
        job.phase = JobPhase.CLOSED
        job.pending.clear()
        completionRecorder.over(job)
        review(job)
        forgetIfOver(job)
    }

    private fun forgetIfOver(job: Job) {
        if (job.phase == JobPhase.CLOSED && job.alive.isEmpty()) jobs.remove(job.spec.id)
    }

    /** A job that has come to light after the machines that run it. */
    private fun adopt(
        job: Job,
        id: String,
    ) {
        val partition = partitions[id] ?: return
        for (view in partition.machines.values) {
            val here = view.tasks.filter { it.job == job.spec.id }
            if (here.isEmpty()) continue
            here.forEach { listed(id, partition, view, it, 0) }
            collect(id, view)
        }
    }

    fun frame(
        frame: PartitionFrame,
        now: Long,
    ) {
        if (frame.leaderTerm != term || assignment.zone(frame.partition) == null) return
        var partition = partitions[frame.partition]
        if (partition != null && frame.term < partition.term) return
        if (partition == null || frame.term > partition.term) {
            partition = PartitionState(frame.term)
            partitions[frame.partition] = partition
            orders.forget(frame.partition)
            poked += frame.partition
        }
        // A frame that builds on what was acknowledged never skips a change; one that does is of another time.
        if (frame.since > partition.version || frame.version < partition.version || frame.seq < partition.seq) return
        partition.version = frame.version
        partition.seq = frame.seq
        partition.receivedSeq = frame.receivedSeq
        if (frame.whole) partition.ageUs = frame.ageUs
        partition.heardUs = now
        for (news in frame.machines) {
            if (news.name in retired) continue
            val view = news.after(partition.machines[news.name])
            partition.machines[view.name] = view
            addresses[view.name] = view.address
            checkpointStops.seen(view, now)
            worthAsking = true
            poked += frame.partition
            for (task in news.tasks) listed(frame.partition, partition, view, task, now)
            giveUp(runningAttempts.on(view.name).filter { it.partition == frame.partition && absent(it, partition) })
            collect(frame.partition, view)
        }
        round?.let { current -> frame.offers.forEach { current.offered(frame.partition, it.stamp, it.held, now, timers.betaUs) } }
        checkComplete()
    }

    /** What a part says of a task on a machine. */
    private fun listed(
        id: String,
        partition: PartitionState,
        view: MachineState,
        task: TaskState,
        now: Long,
    ) {
        val job = jobs[task.job] ?: return
        val index = task.index
        if (index !in 0 until job.spec.tasks) return
        job.listedOn += view.name
        val known = job.alive.get(index)
        val mine = known != null && known.number == task.attempt && known.machine == view.name
        if (task.phase == TaskPhase.ENDED) {
            if (task.cause == "done" && job.did(index)) {
                learn(known?.takeIf { mine }, now)
                if (job.phase == JobPhase.OPEN) completionRecorder.note(job, now)
            } else if (mine && task.cause != "done") {
                failed(job, view, task, now)
            }
            if (mine) gone(known!!, stoppedProgressUs(known))
            return
        }
        if (mine) {
            if (known!!.phase != task.phase && task.phase == TaskPhase.RUNNING) {
                known.runningUs = now
                job.runningUs = now
            }
            known.phase = task.phase
        } else if (view.settled && view.name in registry && (known == null || task.attempt > known.number)) {
            // Started by an earlier leader. Not on a machine without record: that one is gone, as its part will find (invariant 4),
            // and its tasks may run elsewhere by now. (Seen on inc-2104: they were taken for the real ones, which were stopped.)
            // Of two the newer is the real one: it was started only once the older was known to be gone, and what lists the older
            // is a machine that was given back with no time left to record it.
            val attempt = Attempt(job, index, task.attempt, view.name, id)
            attempt.partitionTerm = partition.term
            attempt.seq = partition.seq
            attempt.phase = task.phase
            if (known != null) supplant(known)
            runningAttempts.track(attempt)
        } else if (known != null) {
            log.info("{} is on {} with try {} and on {} with try {}", task.task, view.name, task.attempt, known.machine, known.number)
        }
    }

    /** A newer attempt has come to light: this one is counted no more, and its machine is to stop what it may still list. */
    private fun supplant(attempt: Attempt) {
        log.info("{} try {} on {} was followed by another", attempt.task, attempt.number, attempt.machine)
        runningAttempts.remove(attempt)
        checkpointStops.ended(attempt)
        partitions[attempt.partition]?.machines?.get(attempt.machine)?.let { collect(attempt.partition, it) }
    }

    private fun learn(
        attempt: Attempt?,
        now: Long,
    ) {
        if (attempt != null && attempt.runningUs > 0) runTimes.learned(attempt.job.spec, attempt.progressUs(now))
    }

    private fun failed(
        job: Job,
        view: MachineState,
        task: TaskState,
        now: Long,
    ) {
        if (task.cause == "halted") return
        log.info("{} try {} ended on {}: {}", task.task, task.attempt, view.name, task.cause)
        if (task.cause == "error") faults.getOrPut(view.name) { HashSet() }.add(job.spec.id)
        job.failures++
        // A job that fails everywhere must not take the places of others over and over.
        val pauseUs = (SECOND shl minOf(job.failures, 4)).coerceAtMost(10 * SECOND)
        job.notBeforeUs = maxOf(job.notBeforeUs, now + pauseUs / 2)
    }

    /** Nothing of the attempt is left but [savedUs] of progress. */
    private fun gone(
        attempt: Attempt,
        savedUs: Long = checkpointedUs(attempt),
    ) {
        runningAttempts.remove(attempt)
        checkpointStops.ended(attempt)
        attempt.job.savedProgress(attempt.index, savedUs)
        attempt.job.requeue(attempt.index)
        worthAsking = true
        forgetIfOver(attempt.job)
    }

    /** Progress of a task that was stopped by command. */
    private fun stoppedProgressUs(attempt: Attempt) =
        if (attempt.saveOrderedUs > 0) attempt.progressUs(attempt.saveOrderedUs) else checkpointedUs(attempt)

    /** A task that saves by itself now and then has kept its progress up to the last time. */
    private fun checkpointedUs(attempt: Attempt): Long {
        val everyUs = attempt.job.spec.checkpointUs
        if (everyUs <= 0 || attempt.phase != TaskPhase.RUNNING) return 0
        return attempt.progressUs(sweptUs) / everyUs * everyUs
    }

    /** The attempt can no longer be anywhere: its part has seen its start, and its machine does not list it or is gone. */
    private fun absent(
        attempt: Attempt,
        partition: PartitionState,
    ): Boolean {
        if (attempt.partitionTerm >= partition.term && attempt.seq > partition.seq) return false
        val view = partition.machines[attempt.machine]
        return when {
            view == null -> partition.ageUs > withDrift(leaseUs) + Takeover.UNHEARD_MARGIN_US
            view.lost -> true
            !view.settled -> false
            else -> view.tasks.none { it.attempt == attempt.number && it.task == attempt.task }
        }
    }

    private fun giveUp(over: List<Attempt>) =
        over.forEach {
            log.debug("{} try {} is no longer on {}", it.task, it.number, it.machine)
            gone(it)
        }

    /** The machine is proven gone: a return call was answered, and with it all that ran there is gone. */
    fun machineGone(name: String) {
        runningAttempts.on(name).toList().forEach { gone(it) }
        partitions.forEach { (id, partition) ->
            partition.machines.remove(name)
            orders.forget(id, name)
        }
        registry.remove(name)
        addresses.remove(name)
        unaccountedMachines.remove(name)
        faults.remove(name)
        checkpointStops.gone(name)
        retired += name
        takeover.gone(name)
        checkComplete()
    }

    private var opened = false

    private fun checkComplete() {
        takeover.check()
        if (opened || !complete) return
        opened = true
        log.info("every machine is accounted for: {} jobs are open", jobs.size)
        jobs.values.forEach { if (it.ready && !it.placeable) it.open() }
        worthAsking = true
    }

    fun blockers() = takeover.blockers(registry.size)

    fun tick(now: Long) {
        if (now - sweptUs >= SWEEP_US) sweep(now)
        val current = round
        if (current != null && (current.heardFrom(reachable(now)) || now >= current.deadlineUs)) decide(current, now)
        if (round == null && now - askedUs >= if (worthAsking) timers.paceUs else timers.retryUs) ask(now)
        completionRecorder.record(now)
        for (id in assignment.partitions) {
            val waitedUs = now - (sentUs[id] ?: Long.MIN_VALUE / 2)
            if ((id in poked && waitedUs >= ACK_US) || waitedUs >= HEARTBEAT_US) send(id, now)
        }
    }

    /** Time passes for parts that have told their age, and a frame that was lost leaves no trace but this. */
    private fun sweep(now: Long) {
        sweptUs = now
        checkComplete()
        giveUp(runningAttempts.all().filter { attempt -> partitions[attempt.partition]?.let { absent(attempt, it) } == true }.toList())
        cores =
            partitions.values.sumOf { partition ->
                partition.machines.values.sumOf {
                    if (it.lost) {
                        0.0
                    } else {
                        capacityOf(it.typeName)?.cores
                            ?: 0.0
                    }
                }
            }
        orderSaves(now)
    }

    /** Tasks on machines that go away save their progress. */
    private fun orderSaves(now: Long) {
        saves.clear()
        for (machine in cordoned + checkpointStops.noticed) {
            val partition = registry[machine] ?: continue
            val orders = checkpointStops.orders(machine, runningAttempts.on(machine), now)
            if (orders.isEmpty()) continue
            saves.merge(partition, orders) { before, more -> before + more }
            poked += partition
        }
    }

    /**
     * What may be in use by nobody knows whom: on machines that run something whose job has no record, and on those of which
     * nothing is known yet. Each counts at its full size against every team.
     */
    private fun unaccountedUse(): Shape {
        val unknown = takeover.unknown(capacityOf)
        var cores = unknown.cores
        var cards = unknown.cards
        for (typeName in unaccountedMachines.values) {
            cores += capacityOf(typeName)?.cores ?: Double.MAX_VALUE
            cards += capacityOf(typeName)?.cards ?: Double.MAX_VALUE
        }
        return Shape(cores, cards, 0.0)
    }

    private fun reachable(now: Long) = partitions.filterValues { now - it.heardUs < REACHABLE_US }.keys

    /** Broadcasts requests for the first jobs in the queue that have something to place. */
    private fun ask(now: Long) {
        worthAsking = false
        askedUs = now
        val unaccountedUse = unaccountedUse()
        val planned = HashMap<String, Shape>()
        val first = ArrayList<Pair<Job, Int>>()
        for (job in queue.order(jobs.values, { cores }, now)) {
            if (first.size >= timers.askJobs) break
            val spec = job.spec
            val before = planned[spec.team] ?: RunningAttempts.NONE
            val count = minOf(job.pending.size, timers.askTasks, runningAttempts.allowance(spec.team, spec.shape, unaccountedUse, before))
            if (count <= 0) continue
            planned[spec.team] = before - spec.shape * -count
            first += job to count
        }
        if (first.isEmpty()) return
        val requests = runs(first) { (job, _) -> hurried(job) }.flatMap { requests(it, now) }
        round = RequestRound(requests, now, timers.alphaUs)
        val frames = requests.map { it.first }
        assignment.partitions.forEach { send(it, now, requests = frames) }
    }

    /**
     * Jobs that follow each other and are in the same hurry ask, where they gain by it, for room on machines with their image
     * first, all of them, and for any room with later stamps: otherwise the first would take, with a fetch before it, the room
     * that the next could use at once. A job in less of a hurry does not come before one in more by having its image there.
     */
    private fun requests(
        jobs: List<Pair<Job, Int>>,
        now: Long,
    ): List<Pair<PlacementRequest, Job>> {
        val atOnce = jobs.map { (job, count) -> request(job, count, imageOnly = gainsByImage(job)) to job }
        val after = jobs.filter { (job, _) -> gainsByImage(job) && !patient(job, now) }
        return atOnce + after.map { (job, count) -> request(job, count, imageOnly = false) to job }
    }

    /** Splits a list into runs of neighbours that are alike. */
    private fun <T> runs(
        list: List<T>,
        kind: (T) -> Boolean,
    ): List<List<T>> {
        val result = ArrayList<ArrayList<T>>()
        for (item in list) {
            if (result.isEmpty() || kind(result.last().last()) != kind(item)) result += ArrayList<T>()
            result.last() += item
        }
        return result
    }

    private fun hurried(job: Job) = serviceObjectives.startsWithin(job.spec.kind, HURRY_US)

    private fun request(
        job: Job,
        count: Int,
        imageOnly: Boolean,
    ): PlacementRequest {
        val spec = job.spec
        return PlacementRequest(++stampCounter, spec.id, spec.facts, count, spec.allowedTypes, zoneFor(job), spec.spot, imageOnly)
    }

    /** A job whose tasks must share a zone stays in the one it is in. */
    private fun zoneFor(job: Job): String? {
        if (job.spec.zone != null || !job.spec.sameZone) return job.spec.zone
        return job.alive.values
            .firstOrNull()
            ?.let { assignment.zone(it.partition) }
    }

    /** A fetch keeps a machine's room from being used at all: worth avoiding where it isn't short beside the run. */
    private fun gainsByImage(job: Job) = fetchUs(job.spec) * 20 > runTimes.expectedUs(job.spec)

    /**
     * A job that has time waits a moment for room on machines that have its image; where room comes up all the time, some of it
     * does there. If none does, it takes what there is once, and so the image gets to more machines.
     */
    private fun patient(
        job: Job,
        now: Long,
    ): Boolean {
        if (hurried(job)) return false
        val patienceUs = (fetchUs(job.spec) / 4).coerceAtMost(MOST_PATIENCE_US)
        return now - maxOf(job.readyUs, job.placedUs) < patienceUs
    }

    /** Keeps the roomiest of what is held, starts tasks there, and lets go of the rest. */
    private fun decide(
        current: RequestRound,
        now: Long,
    ) {
        round = null
        val unaccountedUse = unaccountedUse()
        val starts = HashMap<String, ArrayList<StartOrder>>()
        val sent = ArrayList<Attempt>()
        for ((ask, job) in current.requests) {
            if (job.phase != JobPhase.OPEN) continue
            val spec = job.spec
            val most = minOf(ask.count, runningAttempts.allowance(spec.team, spec.shape, unaccountedUse))
            val offers = current.of(ask.stamp).mapValues { (_, held) -> held.filter { it.machine in registry && it.machine !in cordoned } }
            for (place in OfferSelection.roomiest(offers, most, ::zoneOf, zoneRoom(job, offers))) {
                val index = job.next()
                if (index < 0) break
                val attempt = Attempt(job, index, newAttempt(), place.machine, place.partition)
                attempt.partitionTerm = partitions.getValue(place.partition).term
                // Not told by any frame so far: its own is sent below.
                attempt.seq = Long.MAX_VALUE
                runningAttempts.track(attempt)
                job.placedUs = now
                sent += attempt
                starts.getOrPut(place.partition) { ArrayList() } += StartOrder(ask.stamp, place.machine, index, attempt.number)
            }
        }
        val releases = current.requests.map { it.first.stamp }
        for (id in assignment.partitions) {
            val here = starts[id] ?: emptyList<StartOrder>()
            val chosen = here.mapTo(HashSet()) { it.stamp }
            val seq = send(id, now, starts = here, releases = releases.filter { it !in chosen })
            sent.forEach { if (it.partition == id) it.seq = seq }
        }
        if (sent.isNotEmpty()) worthAsking = true
    }

    private fun zoneOf(partition: String) = assignment.zone(partition) ?: partition

    /** How many more tasks of the job each zone may get. */
    private fun zoneRoom(
        job: Job,
        offers: Map<String, List<HeldSlots>>,
    ): (String) -> Int {
        val spec = job.spec
        if (!spec.sameZone && !spec.spread) return { Int.MAX_VALUE }
        val there =
            job.alive.values
                .groupingBy { zoneOf(it.partition) }
                .eachCount()
        val most = if (spec.spread) (spec.tasks + 1) / 2 else Int.MAX_VALUE
        val only = if (spec.sameZone) there.keys.firstOrNull() ?: OfferSelection.bestZone(offers, ::zoneOf) else null
        return { zone ->
            val allowed = !spec.sameZone || (zone == only && there.keys.all { it == zone })
            if (allowed) most - (there[zone] ?: 0) else 0
        }
    }

    /** Unique and rising over leaders, with no write: the term is the high part (invariant 7). */
    private fun newAttempt() = (term shl 32) + ++attemptCounter

    /** The record holds what [news] covers; workers may now forget these tasks (invariant 9). */
    fun rangesWritten(
        news: List<CompletionDelta>,
        ok: Boolean,
        now: Long,
    ) {
        completionRecorder.written(news, ok, now)
        if (ok) news.forEach { if (it.job.phase == JobPhase.OPEN) review(it.job) }
    }

    fun finished(
        job: Job,
        now: Long,
    ) {
        log.info(
            "{} is done: {} of {} tasks, all placed after {} ms, running after {} ms, done after {} ms",
            job.spec.id,
            job.spec.kind,
            job.spec.tasks,
            (job.placedUs - job.readyUs).coerceAtLeast(0) / MILLI,
            (job.runningUs - job.readyUs).coerceAtLeast(0) / MILLI,
            (now - job.readyUs) / MILLI,
        )
        job.finishUnderWay = false
        completionRecorder.over(job)
        job.phase = JobPhase.CLOSED
        review(job)
        forgetIfOver(job)
    }

    fun notFinished(job: Job) {
        job.finishUnderWay = false
    }

    /** What machines need to do changes with the job. */
    private fun review(job: Job) {
        for (machine in job.listedOn) {
            for ((id, partition) in partitions) {
                val view = partition.machines[machine] ?: continue
                collect(id, view)
            }
        }
    }

    /** Sends a frame to a part, with the stops and clears that its machines still need. Returns its number. */
    private fun send(
        id: String,
        now: Long,
        requests: List<PlacementRequest> = emptyList(),
        starts: List<StartOrder> = emptyList(),
        releases: List<Long> = emptyList(),
    ): Long {
        val seq = (seqs[id] ?: 0) + 1
        seqs[id] = seq
        sentUs[id] = now
        poked -= id
        val partition = partitions[id]
        val inform = !partitionSync.informed(id, partition, seq)
        val (stops, clears) = orders.take(id, now)
        val frame =
            PlacementFrame(
                partition = id,
                term = term,
                seq = seq,
                ackTerm = partition?.term ?: 0,
                ackVersion = partition?.version ?: 0,
                facts = if (inform) jobs.values.associate { it.spec.id to it.spec.facts } else emptyMap(),
                addresses = if (inform) addresses.filterKeys { registry[it] == id } else emptyMap(),
                requests = requests,
                starts = starts,
                releases = releases,
                stops = stops,
                clears = clears,
                cordoned = partitionSync.cordonDelta(id, partition, now) { it in cordoned || it !in registry },
                saves = saves.remove(id).orEmpty(),
            )
        emit(LeaderEffect.Send(id, frame))
        return seq
    }

    /** Finds what a machine still has to stop and to clear, and whether something on it is a stranger's. */
    private fun collect(
        id: String,
        view: MachineState,
    ) {
        val stops = ArrayList<AttemptOrder>()
        val clears = ArrayList<AttemptOrder>()
        var hasUnaccounted = false
        if (!view.lost) {
            for (task in view.tasks) {
                val job = jobs[task.job]
                val index = task.index
                val wanted = job != null && job.phase != JobPhase.CLOSED
                if (task.phase == TaskPhase.ENDED) {
                    val keep = wanted && index >= 0 && task.cause == "done" && !job!!.durable.get(index)
                    if (!keep) clears += AttemptOrder(view.name, task.task, task.attempt)
                } else {
                    val counted = job?.alive?.get(index)?.let { it.number == task.attempt && it.machine == view.name } == true
                    if (!counted) hasUnaccounted = true
                    if (!counted || !wanted) stops += AttemptOrder(view.name, task.task, task.attempt)
                }
            }
        }
        if (hasUnaccounted &&
            view.name in registry
        ) {
            unaccountedMachines[view.name] = view.typeName
        } else {
            unaccountedMachines.remove(view.name)
        }
        if (!view.settled) {
            stops.clear()
            clears.clear()
        }
        if (orders.set(id, view.name, stops, clears)) poked += id
    }

    /** For display: done and running tasks of each open job. */
    fun counts(): Map<String, List<Int>> =
        jobs.values.filter { it.phase != JobPhase.CLOSED }.associate { job ->
            job.spec.id to listOf(job.spec.tasks - job.left, job.alive.values.count { it.phase != TaskPhase.PENDING })
        }

    fun attemptsOn(machine: String): Collection<Attempt> = runningAttempts.on(machine)

    private companion object {
        const val HEARTBEAT_US = 800 * MILLI
        const val ACK_US = 100 * MILLI
        const val SWEEP_US = SECOND
        const val REACHABLE_US = 2500 * MILLI
        const val HURRY_US = 8 * SECOND
        const val MOST_PATIENCE_US = 3 * SECOND
    }
}
