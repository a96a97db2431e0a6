package lichenstage.world

import lichenstage.app.MILLI
import lichenstage.app.SECOND
import lichenstage.app.Team
import lichenstage.authority.CollectedPledges
import lichenstage.authority.OwnPledge
import lichenstage.cluster.CompletionSyncReply
import lichenstage.cluster.PartitionAssignment
import lichenstage.cluster.PartitionFrame
import lichenstage.cluster.PlacementFrame
import lichenstage.cluster.Shape
import lichenstage.jobs.JobReplica
import lichenstage.jobs.JobSpec
import lichenstage.jobs.Outcome
import lichenstage.jobs.Pipelines
import lichenstage.jobs.Priority
import lichenstage.jobs.Readiness
import lichenstage.partition.DirectOrder
import lichenstage.partition.MachineLimits
import lichenstage.partition.OrderOutcome
import lichenstage.partition.PartitionCore
import lichenstage.partition.Probe
import lichenstage.partition.Report
import lichenstage.partition.ReportAnswer
import lichenstage.placement.CompletionDelta
import lichenstage.placement.InheritedMachine
import lichenstage.placement.Job
import lichenstage.placement.LeaderCore
import lichenstage.placement.LeaderEffect
import lichenstage.placement.ServiceObjectives
import lichenstage.placement.Timers
import java.util.Random

/**
 * Controllers' decision logic and workers on virtual time, with crashes, cuts, hangs and held and repeated messages drawn
 * from a seed. Copies of reports and repeats of orders come up to three leases late. Authority is a small model of leases in the state
 * service: what is under test is what is decided with it.
 */
class SimulatedCluster(
    seed: Long,
    private val mutation: Mutation = Mutation.NONE,
    private val profile: ClusterProfile = ClusterProfile(),
) {
    private inner class Node(
        val id: Int,
    ) {
        var alive = true
        var incarnation = 0
        var renewedUs = 0L
        var ownsFrom = 0
        val partitions = HashMap<String, PartitionCore>()
        var leader: LeaderCore? = null
        var fleet: SimulatedFleet? = null
        var leaderSeenJobs = HashSet<String>()

        /** Until when its lease counts, by renewals and by what the others promised; and what it promised itself. */
        var coveredUs = 0L

        /** The keys as it last saw them. */
        var seen = HashMap<String, Pair<Int, Long>>()
        var collectedPledges = CollectedPledges(emptySet())
        var ownPledge = OwnPledge(-10 * SECOND)
        var replica = replicaOf(this)
        var pipelines = Pipelines()
        var orphansBusy = false

        fun entitled() = alive && (now < coveredUs || mutation == Mutation.AUTHORITY_KEPT)

        /** May renew the leases of workers. */
        fun answers() = entitled() && (mutation == Mutation.ANSWERED_UNINFORMED || replica.current(now))
    }

    private val random = Random(seed)
    private val network = SimulatedNetwork(random)
    val now get() = network.now
    private val zones = listOf("a", "b", "c")

    /** Zone a has two controllers and so two partitions, zone c none of its own. */
    private val controllers = mapOf("n0" to "a", "n1" to "a", "n2" to "b")
    private val assignment = PartitionAssignment(zones, controllers)
    private val teams =
        listOf("red", "blue").associateWith { Team(it, 0.0, profile.teamCores, 0.0, Double.POSITIVE_INFINITY) }
    val checker = RuleChecker(teams.mapValues { it.value.coresMax }, CANCEL_US)
    private val nodes = List(3) { Node(it) }
    private val workers = ArrayList<SimulatedWorker>()
    private val workerOf = HashMap<String, SimulatedWorker>()
    private val registry = SimulatedRegistry()
    private val target = HashMap<String, Int>()
    private val faults = DrawnFaults(this, random, unkind = profile.machinesComeAndGo)

    init {
        zones.forEach { zone -> repeat(profile.machinesPerZone) { boot(zone) } }
    }

    // The state service.
    private var term = 0L
    private val expiry = LongArray(3)
    private val owner = HashMap<String, Pair<Int, Long>>()
    private val jobs = LinkedHashMap<String, SimulatedJob>()
    private val open = LinkedHashMap<String, SimulatedJob>()
    private val durable = HashMap<String, java.util.BitSet>()
    val done = HashSet<String>()

    /** Of jobs that are over, whether they are done. */
    private val outcomes = HashMap<String, Boolean>()

    /** Jobs that are over, with the revision. */
    private val ends = ArrayList<Pair<String, Long>>()

    // Machines whose reports reach nobody, and until when the state service answers nobody.
    private val muteUntilUs = HashMap<String, Long>()
    private var outageUntilUs = 0L

    private fun partitionOf(worker: SimulatedWorker) = assignment.partitionOf(worker.name, worker.zone)!!

    private fun at(
        delayUs: Long,
        run: () -> Unit,
    ) = network.at(delayUs, run)

    private fun every(
        periodUs: Long,
        run: () -> Unit,
    ) = network.every(periodUs, run)

    private fun send(
        from: String,
        to: String,
        repeats: Boolean = true,
        deliver: () -> Unit,
    ) = network.send(from, to, repeats, deliver)

    fun run(
        faultsUs: Long,
        calmUs: Long,
    ) {
        nodes.forEach { it.collectedPledges = collectedPledgesOf(it) }
        network.slowShare = profile.slowShare
        nodes.forEach { node -> every(200 * MILLI) { if (!network.isFrozen("n${node.id}")) control(node) } }
        workers.forEach(::powerOn)
        if (!profile.machinesComeAndGo) registry.add(workers.map { it.name })
        if (script.isEmpty()) {
            load(profile.jobs, faultsUs)
            repeat(profile.faults) { at(random.nextInt(faultsUs.toInt()).toLong(), ::drawFault) }
        }
        script.forEach { (atUs, event) -> at(atUs) { event() } }
        every(SECOND) { checker.sweep(now) }
        every(SECOND) { if (now > faultsUs + LONGEST_FAULT_US) checker.waiting(open.values.filter(::ready), now) }
        checker.calmFromUs = faultsUs + LONGEST_FAULT_US
        every(40 * MILLI) { poll() }
        network.runUntil(faultsUs + calmUs)
    }

    private fun boot(zone: String): SimulatedWorker {
        val name = "vm-$zone${workers.size}"
        val worker =
            SimulatedWorker(name, zone, 8.0, WORKER_LEASE_US, Random(random.nextLong()), { id -> jobs[id] }, checker, profile.fetches, now)
        workers += worker
        workerOf[name] = worker
        return worker
    }

    private fun powerOn(worker: SimulatedWorker) {
        target[worker.name] = random.nextInt(3)
        every(300 * MILLI) { if (!worker.gone && worker.step(now)) report(worker) }
        every(2 * SECOND) { report(worker) }
    }

    /** How many machines there are. */
    val machines get() = workers.count { !it.gone }

    /** The machines that are there, in an order that does not change. */
    private fun machine(number: Int): SimulatedWorker =
        workers.filter { !it.gone }.let { if (it.isEmpty()) workers.last() else it[number % it.size] }

    /** The cloud takes machines; others come up in their zones. */
    private fun take(names: Collection<String>) {
        for (worker in names.mapNotNull { workerOf[it] }.filter { !it.gone }) {
            worker.vanish()
            at(random.nextInt(LONGEST_BOOT_US).toLong()) { powerOn(boot(worker.zone)) }
        }
    }

    /** The cloud takes a machine without notice. */
    fun takeMachine(number: Int) {
        if (profile.machinesComeAndGo) take(listOf(machine(number).name))
    }

    /** A controller does nothing for a time, and then goes on. */
    fun freeze(
        id: Int,
        forUs: Long,
    ) = network.freeze("n$id", forUs)

    fun unfinished() = open.keys.toList()

    /** What stands in the way, for the message of a failed test. */
    fun describe(): String =
        nodes.joinToString("\n") { node ->
            val leader = node.leader
            "n${node.id} parts ${node.partitions.mapValues { it.value.term }} leader ${leader?.term} complete ${leader?.complete} " +
                leader?.jobs?.values?.joinToString {
                    "${it.spec.id} ${it.phase} pending ${it.pending} alive ${it.alive.keys} done ${it.done}"
                } +
                leader?.partitions?.map { (z, p) -> "\n  $z term ${p.term} v${p.version} ${p.machines.values}" }
        } + "\nowners $owner"

    private val script = ArrayList<Pair<Long, SimulatedCluster.() -> Unit>>()

    /** Has [event] happen at [atUs]; a world with a script has no other troubles, jobs or cancellations. */
    fun script(
        atUs: Long,
        event: SimulatedCluster.() -> Unit,
    ) {
        script += atUs to event
    }

    /** A job whose tasks run for long. */
    fun submitLong(
        n: Int,
        runUs: Long,
    ) = accept(SimulatedJob("j-$n", if (n % 2 == 0) "red" else "blue", 2, 2.0, runUs, ++term))

    /** As many jobs as that come in a time, some of which are called off. */
    fun load(
        jobs: Int,
        withinUs: Long,
        first: Int = 0,
    ) = repeat(jobs) { n -> at(random.nextInt(withinUs.toInt()).toLong()) { submit(first + n) } }

    /** A job of few tasks that is bound to one zone, or spread over several. */
    fun submitBound(
        n: Int,
        tasks: Int,
        sameZone: Boolean,
    ) = accept(SimulatedJob("j-$n", if (n % 2 == 0) "red" else "blue", tasks, 1.0, 12 * SECOND, ++term, sameZone, !sameZone))

    /**
     * Four jobs, submitted one after the other as users do: a chain, a fan or a diamond of one to three tasks each, numbered from [n].
     * Some need a job besides that was there before, unless it is to be [alone].
     */
    fun submitPipeline(
        n: Int,
        alone: Boolean = false,
    ) {
        val earlier = if (!alone && random.nextInt(3) == 0) open.keys.filter { random.nextInt(4) == 0 }.take(1) else emptyList()
        val shape = listOf(CHAIN, FAN, DIAMOND)[n / PIPELINE % 3]
        var afterUs = 0L
        for ((stage, needs) in shape.withIndex()) {
            val named = needs.map { "j-${n + it}" } + if (stage == 0) earlier else emptyList()
            val job =
                SimulatedJob(
                    "j-${n + stage}",
                    if (n % 2 ==
                        0
                    ) {
                        "red"
                    } else {
                        "blue"
                    },
                    1 + random.nextInt(3),
                    1.0,
                    5 * SECOND,
                    0,
                    needs = named,
                )
            at(afterUs) { submitNeeding(job) }
            // Now and then the last comes only when the others are over.
            afterUs += if (random.nextInt(6) == 0) 30 * SECOND else SECOND / 2 + random.nextInt(1_500_000)
        }
    }

    /** Read first and written after, on the condition that what was read still holds. */
    private fun submitNeeding(job: SimulatedJob) {
        if (now < outageUntilUs || job.needs.any { it !in jobs }) return at(SECOND) { submitNeeding(job) }
        val read = job.needs.associateWith { outcomes[it] }
        at(MILLI + random.nextInt(80_000)) {
            val changed = read.any { (id, outcome) -> outcome == null && id !in open }
            if (now < outageUntilUs || changed) {
                submitNeeding(job)
            } else if (read.values.any { it == false }) {
                jobs[job.id] = job
                checker.accepted(job)
                end(job.id, done = false)
                checker.polled(job, PollAnswer.CANCELLED, now)
            } else {
                accept(job.copy(stamp = ++term))
            }
        }
    }

    private fun ready(job: SimulatedJob) = job.needs.all { outcomes[it] == true }

    /** A user asks any controller about any job. */
    private fun poll() {
        if (jobs.isEmpty()) return
        val node = nodes[random.nextInt(3)]
        // Mostly about what waits: of the others little can be said wrongly.
        val waiting = open.values.filter { it.needs.isNotEmpty() }
        val asked = if (waiting.isNotEmpty() && random.nextInt(3) > 0) waiting else jobs.values
        val job = asked.elementAt(random.nextInt(asked.size))
        checker.polled(job, if (node.alive && reachesState(node)) answerTo(node, job) else null, now)
    }

    /** What the user API says of the job; null where it tells the user to come again. */
    private fun answerTo(
        node: Node,
        job: SimulatedJob,
    ): PollAnswer? {
        outcomes[job.id]?.let { done -> return if (done) PollAnswer.DONE else PollAnswer.CANCELLED }
        return when (node.pipelines.readiness(job.id, job.needs)) {
            Readiness.READY -> {
                PollAnswer.OPEN
            }

            Readiness.CANCELLED -> {
                end(job.id, done = false)
                PollAnswer.CANCELLED
            }

            Readiness.UNKNOWN -> {
                PollAnswer.OPEN.takeIf { mutation == Mutation.UNRESOLVED_CALLED_OPEN }
            }

            Readiness.WAITING -> {
                PollAnswer.OPEN.takeIf { node.replica.readWithin(10 * SECOND, now) || mutation == Mutation.STALE_CALLED_OPEN }
            }
        }
    }

    /** The job's record says that it is over. */
    private fun end(
        id: String,
        done: Boolean,
    ) {
        open.remove(id)
        outcomes[id] = done
        ends += id to ++term
    }

    /** A job whose tasks run for very different times. */
    fun submitUneven(n: Int) = accept(SimulatedJob("j-$n", "red", 3, 1.0, 6 * SECOND, ++term, uneven = true))

    val openJobs get() = open.keys.toList()

    val leader get() = owner[LEADER]?.first ?: -1

    private fun submit(n: Int) {
        val job =
            SimulatedJob(
                "j-$n",
                if (random.nextBoolean()) "red" else "blue",
                1 + random.nextInt(12),
                listOf(1.0, 2.0, 4.0)[random.nextInt(3)],
                8 * SECOND,
                ++term,
            )
        accept(job)
        if (random.nextInt(5) == 0) at(random.nextInt(20_000_000).toLong()) { cancel(job.id, random.nextInt(3)) }
    }

    private fun accept(job: SimulatedJob) {
        checker.accepted(job)
        jobs[job.id] = job
        open[job.id] = job
        durable[job.id] = java.util.BitSet()
    }

    /** A user asks node [by], or the next that has the state service's answer, and repeats it until then. */
    fun cancel(
        id: String,
        by: Int,
    ) {
        val node = List(3) { nodes[(by + it) % 3] }.firstOrNull { it.alive && reachesState(it) && !network.isFrozen("n${it.id}") }
        if (node == null) return at(SECOND) { cancel(id, by) }
        val job = open[id] ?: return
        end(id, done = false)
        node.replica.learned(id, term)
        node.pipelines.ended(id)
        checker.toldCancelled(job, now)
        checker.polled(job, PollAnswer.CANCELLED, now)
        for (other in nodes) {
            if (other != node && shared) send("n${node.id}", "n${other.id}") { told(other, listOf(id)) }
        }
    }

    /** Controllers learn of ends otherwise than by the leader's own watch. */
    private val shared = mutation != Mutation.ANSWERED_UNINFORMED && mutation != Mutation.CANCEL_UNHEARD

    private fun told(
        node: Node,
        jobs: List<String>,
    ) {
        if (!node.alive) return
        node.replica.told(jobs)
        jobs.forEach(node.pipelines::ended)
        jobs.forEach { node.leader?.jobClosed(it) }
    }

    private fun replicaOf(node: Node) =
        JobReplica(
            node.id * 1000L + node.incarnation,
            List(3) { "n$it" }.filter { it != "n${node.id}" }.toSet(),
            JobReplica.bound(CANCEL_US, WORKER_LEASE_US),
        )

    /** What a watch of the open jobs brings. */
    private fun readJobs(node: Node) {
        val replica = node.replica
        val stamps = open.mapValues { it.value.stamp }
        open.values.forEach { node.pipelines.opened(it.id, it.needs) }
        val ended =
            if (replica.revision < 0) {
                replica.loaded(stamps, term, now)
            } else {
                replica.changed(stamps, ends.filter { it.second > replica.revision }.toMap(), term, now)
            }
        ended.forEach(node.pipelines::ended)
    }

    /** Reads the records of jobs that others need and that have ended. */
    private fun resolve(node: Node) {
        for (id in node.pipelines.toResolve(8)) {
            val done = outcomes[id] ?: continue
            if (mutation == Mutation.CANCELLED_NEEDS_UNSEEN && !done) continue
            node.pipelines.resolved(id, Outcome(done || mutation == Mutation.ENDS_TAKEN_FOR_DONE, null))
        }
    }

    /** While the state service shows nothing, the others are asked what has ended. */
    private fun askEnds(node: Node) {
        if (!node.replica.lagging(now) || !shared) return
        for (other in nodes) {
            if (other == node) continue
            val incarnation = node.incarnation
            val question = node.replica.question("n${other.id}", now) ?: continue
            send("n${node.id}", "n${other.id}") {
                if (!other.alive) return@send
                val whole =
                    CompletionSyncReply(question.incarnation, question.askedUs, other.replica.hashCode().toLong(), 0, 0, emptyList(), true)
                val answer = other.replica.handOver(question) ?: whole.takeIf { mutation == Mutation.SPOKEN_FOR_PREDECESSOR }
                if (answer == null) return@send
                send("n${other.id}", "n${node.id}") {
                    if (node.incarnation != incarnation || !node.alive) return@send
                    val believed = if (mutation == Mutation.HANDOVER_DROPPED) answer.copy(jobs = emptyList()) else answer
                    for (id in node.replica.answered("n${other.id}", believed)) {
                        node.pipelines.ended(id)
                        node.leader?.jobClosed(id)
                    }
                }
            }
        }
    }

    private fun cut(
        one: String,
        other: String,
        forUs: Long,
        held: Boolean,
    ) = network.cut(one, other, forUs, held)

    private fun apart(
        one: String,
        other: String,
        forUs: Long,
        held: Boolean,
    ) {
        fun hosts(zone: String) = controllers.filterValues { it == zone }.keys + workers.filter { it.zone == zone }.map { it.name }
        hosts(one).forEach { a -> hosts(other).forEach { b -> cut(a, b, forUs, held) } }
    }

    fun crash(
        id: Int,
        backAfterUs: Long,
    ) = crash(nodes[id], backAfterUs)

    /** A fault of any kind, as the seed has it. */
    fun drawFault() = faults.next()

    /** As [crash], for a time that is drawn. */
    fun crash(id: Int) = crash(nodes[id])

    fun after(
        delayUs: Long,
        event: () -> Unit,
    ) = at(delayUs, event)

    fun cutFromState(
        id: Int,
        forUs: Long,
        held: Boolean,
    ) = cut("n$id", SimulatedNetwork.STATE, forUs, held)

    fun cutControllers(
        one: Int,
        other: Int,
        forUs: Long,
        held: Boolean,
    ) = cut("n$one", "n$other", forUs, held)

    fun cutFromWorkers(
        id: Int,
        forUs: Long,
        held: Boolean,
    ) = workers.forEach { cut(it.name, "n$id", forUs, held) }

    /** Users call off up to [count] jobs of pipelines that others wait for, preferring those that are about to end. */
    fun cancelPipelines(count: Int) =
        open.values
            .filter { job -> open.values.any { job.id in it.needs } }
            .sortedBy { -checker.doneTasks(it.id) }
            .take(count)
            .forEach { cancel(it.id, random.nextInt(3)) }

    /** Nothing passes between a machine and any controller; reports are held, or lost. */
    fun cutOff(
        worker: Int,
        forUs: Long,
        held: Boolean,
    ) = nodes.forEach { cut(machine(worker).name, "n${it.id}", forUs, held) }

    /** Only controller [id] is in reach of a machine. */
    fun keepTo(
        worker: Int,
        id: Int,
        forUs: Long,
    ) = nodes.filter { it.id != id }.forEach { cut(machine(worker).name, "n${it.id}", forUs, held = false) }

    fun cutZones(
        one: String,
        other: String,
        forUs: Long,
        held: Boolean,
    ) = apart(one, other, forUs, held)

    fun deafen(
        worker: Int,
        forUs: Long,
    ) {
        network.deafen(machine(worker).name, forUs)
    }

    fun mute(
        worker: Int,
        forUs: Long,
    ) {
        muteUntilUs[machine(worker).name] = now + forUs
    }

    fun slowState(forUs: Long) = network.slowState(forUs)

    /** The state service refuses node [id] alone. */
    fun refuse(
        id: Int,
        forUs: Long,
    ) = cutFromState(id, forUs, held = false)

    fun apart(
        one: Int,
        other: Int,
        forUs: Long,
    ) = cutControllers(one, other, forUs, held = false)

    fun hang(
        worker: Int,
        forUs: Long,
    ) {
        machine(worker).hungUntilUs = now + forUs
    }

    /** How many tasks of the job are on machines. */
    fun running(job: String) = checker.running(job)

    private fun crash(
        node: Node,
        // Now and then it is back within a fraction of a second.
        backAfterUs: Long = 100 * MILLI + if (random.nextInt(3) == 0) random.nextInt(300_000) else random.nextInt(6_000_000),
    ) {
        node.alive = false
        node.incarnation++
        node.partitions.clear()
        node.seen.clear()
        node.leader = null
        at(backAfterUs) {
            node.alive = true
            node.renewedUs = Long.MIN_VALUE / 2
            node.coveredUs = Long.MIN_VALUE / 2
            node.collectedPledges = collectedPledgesOf(node)
            node.ownPledge = OwnPledge(now)
            node.replica = replicaOf(node)
            node.pipelines = Pipelines()
        }
    }

    private fun collectedPledgesOf(node: Node): CollectedPledges {
        val others = nodes.filter { it != node }.map { "n${it.id}" }
        return CollectedPledges(others.toSet())
    }

    /** Without the state service, the others are asked to take no key for a moment. */
    private fun requestPledges(node: Node) {
        val askedUs = now
        val incarnation = node.incarnation
        for (other in nodes) {
            if (other == node) continue
            send("n${node.id}", "n${other.id}") {
                if (other.alive && !reachesState(other)) {
                    other.ownPledge.pledge(now)
                    send("n${other.id}", "n${node.id}") {
                        if (node.incarnation == incarnation) {
                            node.collectedPledges.pledged("n${other.id}", askedUs)
                            if (node.entitled()) node.coveredUs = maxOf(node.coveredUs, node.collectedPledges.pledgedUntilUs())
                        }
                    }
                }
            }
        }
    }

    /** The state service answers nobody; after that all leases have their full time again. */
    fun outage(forUs: Long) {
        outageUntilUs = maxOf(outageUntilUs, now + forUs)
        nodes.forEach { if (expiry[it.id] > now) expiry[it.id] = outageUntilUs + LEASE_US }
    }

    private fun reachesState(node: Node) = now >= outageUntilUs && !network.isCut("n${node.id}", SimulatedNetwork.STATE)

    /** A turn of a controller: its lease, the keys, its partitions and its leadership. */
    private fun control(node: Node) {
        for (i in nodes.indices) if (expiry[i] <= now) owner.values.removeIf { it.first == i }
        if (!node.alive) return
        if (reachesState(node)) {
            if (node.ownsFrom != node.incarnation) {
                // A new process has a lease of its own, and ends that of the one before it.
                node.ownsFrom = node.incarnation
                owner.values.removeIf { it.first == node.id }
            }
            expiry[node.id] = now + LEASE_US
            node.renewedUs = now
            node.coveredUs = maxOf(node.coveredUs, now + LEASE_US - 300 * MILLI)
            for (key in assignment.partitions + LEADER) {
                if (key !in owner && node.ownPledge.free(now) && random.nextInt(3) == 0) owner[key] = node.id to ++term
            }
            node.seen = HashMap(owner)
            // A turn later than the word that they have ended.
            resolve(node)
            readJobs(node)
        }
        askEnds(node)
        if (!reachesState(node) && node.entitled()) requestPledges(node)
        if (!node.entitled()) return
        for (id in assignment.partitions) {
            val mine = node.seen[id]?.takeIf { it.first == node.id }
            if (mine == null) {
                node.partitions.remove(id)
            } else if (node.partitions[id]?.term != mine.second) {
                val lease = if (mutation == Mutation.SHORT_LEASE) WORKER_LEASE_US / 5 else WORKER_LEASE_US
                val zone = assignment.zone(id)!!
                val repeats = if (mutation == Mutation.CLEARED_AT_ONCE) 0 else 10 * WORKER_LEASE_US
                node.partitions[id] = partitionCore(node, id, zone, mine.second, lease, repeats)
            }
        }
        lead(node)
        if (reachesState(node) && profile.machinesComeAndGo && node.leader != null) node.fleet?.step()
        node.partitions.values.forEach { it.tick(now) }
        pump(node)
    }

    private fun partitionCore(
        node: Node,
        id: String,
        zone: String,
        term: Long,
        lease: Long,
        repeats: Long,
    ): PartitionCore {
        val over: (String, Long) -> Boolean =
            { job, since -> shared && node.replica.over(job, since) }
        return PartitionCore(id, zone, term, lease, 3 * SECOND, now, repeats, over, profile.machinesInFrame) {
            MachineLimits("type", Shape(8.0, 0.0, 64.0))
        }
    }

    private fun lead(node: Node) {
        val mine = node.seen[LEADER]?.takeIf { it.first == node.id }
        if (mine == null) {
            node.leader = null
            return
        }
        var leader = node.leader
        if (leader == null || leader.term != mine.second) {
            if (!reachesState(node)) return
            leader = startLeading(node, mine.second)
        }
        if (reachesState(node)) {
            open.values.filter { it.id !in node.leaderSeenJobs }.forEach { addJob(node, leader, it) }
            if (mutation != Mutation.CANCEL_UNHEARD) {
                leader.jobs.keys
                    .filter { it !in open }
                    .forEach(leader::jobClosed)
            }
        }
        readied(node, leader)
        cancelOrphans(node, leader)
        leader.tick(now)
    }

    private fun readied(
        node: Node,
        leader: LeaderCore,
    ) = leader.jobs.values
        .filter { !it.ready && (mutation == Mutation.NEEDS_IGNORED || node.pipelines.readyAt(it.spec.needs) != null) }
        .forEach { leader.jobReady(it, now) }

    /** Jobs of which one that they need is cancelled are recorded as such. */
    private fun cancelOrphans(
        node: Node,
        leader: LeaderCore,
    ) {
        val due = node.pipelines.orphans(6).filter { it in leader.jobs }
        if (due.isEmpty() || node.orphansBusy) return
        node.orphansBusy = true
        write(node, leader.term, { due.filter { it in open }.forEach { end(it, done = false) } }) { current, ok ->
            node.orphansBusy = false
            if (ok) due.forEach(current::jobClosed)
        }
    }

    private fun startLeading(
        node: Node,
        term: Long,
    ): LeaderCore {
        val limits = if (mutation == Mutation.IGNORED_LIMIT) teams.mapValues { it.value.copy(coresMax = 1e9) } else teams
        val lease = if (mutation == Mutation.EAGER_OWNER) -3 * SECOND else WORKER_LEASE_US
        val leader =
            LeaderCore(
                term,
                term,
                assignment,
                limits,
                lease,
                Timers(),
                ServiceObjectives(emptyList()),
                { Shape(8.0, 0.0, 64.0) },
                12,
                waitersOf = node.pipelines::waitersOf,
            ) {
                effect(node, term, it)
            }
        node.orphansBusy = false
        if (mutation !=
            Mutation.REGISTRY_LOST
        ) {
            leader.inherited(registry.all().map(::inheritedMachine))
        }
        node.leader = leader
        node.fleet = SimulatedFleet(leader, registry, siteOf(node, term), random)
        node.leaderSeenJobs = HashSet()
        open.values.forEach { addJob(node, leader, it) }
        return leader
    }

    private fun inheritedMachine(name: String) = InheritedMachine(name, partitionOf(workerOf.getValue(name)), "type", "10.0.0.1:9000")

    private fun siteOf(
        node: Node,
        term: Long,
    ) = object : FleetSite {
        override val now get() = this@SimulatedCluster.now

        override fun at(
            delayUs: Long,
            run: () -> Unit,
        ) = this@SimulatedCluster.at(delayUs, run)

        override fun write(
            apply: () -> Unit,
            answered: (Boolean) -> Unit,
        ) = write(node, term, apply) { _, ok -> answered(ok) }

        override fun take(names: Collection<String>) = this@SimulatedCluster.take(names)

        override fun inheritedMachine(name: String) = this@SimulatedCluster.inheritedMachine(name)

        override fun leads(leader: LeaderCore) = node.alive && node.leader === leader
    }

    private fun addJob(
        node: Node,
        leader: LeaderCore,
        sim: SimulatedJob,
    ) {
        node.leaderSeenJobs += sim.id
        if (mutation == Mutation.JOB_FORGOTTEN && sim.id == "j-3") return
        val spec =
            JobSpec(
                sim.id,
                "class",
                sim.team,
                Priority.STANDARD,
                sim.tasks,
                Shape(sim.cores, 0.0, 1.0),
                null,
                null,
                sim.sameZone && mutation != Mutation.ZONES_IGNORED,
                sim.spread && mutation != Mutation.ZONES_IGNORED,
                false,
                "image",
                1.0,
                sim.runUs,
                0,
                0,
                null,
                0,
                sim.needs,
            )
        val job = Job(spec, sim.stamp, now)
        if (mutation != Mutation.RANGES_LOST) job.recorded(durable.getValue(sim.id))
        leader.jobAdded(job)
    }

    private fun effect(
        node: Node,
        term: Long,
        effect: LeaderEffect,
    ) {
        when (effect) {
            is LeaderEffect.Send -> {
                val to = owner[effect.partition]?.first ?: return
                val incarnation = nodes[to].incarnation
                send("n${node.id}", "n$to") { if (nodes[to].incarnation == incarnation) deliver(nodes[to], effect.frame) }
            }

            is LeaderEffect.WriteRanges -> {
                write(node, term, { effect.deltas.forEach(::recorded) }) { leader, ok ->
                    leader.rangesWritten(effect.deltas, ok, now)
                }
            }

            is LeaderEffect.Finish -> {
                write(node, term, { finish(effect.job) }) { leader, ok ->
                    if (ok) leader.finished(effect.job, now) else leader.notFinished(effect.job)
                }
            }
        }
    }

    /** A transaction under the leader's guard; its answer may not come. */
    private fun write(
        node: Node,
        term: Long,
        apply: () -> Unit,
        answer: (LeaderCore, Boolean) -> Unit,
    ) {
        val incarnation = node.incarnation
        var answered = false

        fun told(ok: Boolean) {
            if (answered || node.incarnation != incarnation) return
            answered = true
            node.leader?.takeIf { it.term == term }?.let { answer(it, ok) }
        }
        at(3 * SECOND) { told(false) }
        send("n${node.id}", "state", repeats = false) {
            val ok = owner[LEADER]?.second == term
            if (ok) apply()
            send("n${node.id}", "state", repeats = false) { told(ok) }
        }
    }

    private fun recorded(news: CompletionDelta) {
        val id = news.job.spec.id
        durable.getValue(id).or(news.covers)
        if (mutation == Mutation.DONE_TOO_EARLY && news.covers.cardinality() * 3 > jobs.getValue(id).tasks) finish(news.job)
    }

    private fun finish(job: Job) {
        val id = job.spec.id
        if (id !in open) return
        end(id, done = true)
        done += id
        checker.toldDone(jobs.getValue(id), now)
        checker.polled(jobs.getValue(id), PollAnswer.DONE, now)
    }

    private fun deliver(
        node: Node,
        frame: PlacementFrame,
    ) {
        if (!node.alive) return
        node.partitions[frame.partition]?.leader(frame, now)
        pump(node)
    }

    /** Lets out what the parts of a node have to say. */
    private fun pump(node: Node) {
        if (!node.answers()) return
        for (partition in node.partitions.values) {
            if (node.seen[partition.id]?.second != partition.term) continue
            partition.directOrders(now, profile.ordersAtOnce).forEach { order(node, partition, it) }
            partition.probes(now).forEach { probe(node, partition, it) }
            partition.frame(now)?.let { frame -> toLeader(node, frame) }
        }
    }

    private fun toLeader(
        node: Node,
        frame: PartitionFrame,
    ) {
        val to = owner[LEADER]?.first ?: return
        val incarnation = nodes[to].incarnation
        val believed = if (mutation == Mutation.PIECES_TAKEN_FOR_WHOLE) frame.copy(whole = true, seq = frame.receivedSeq) else frame
        send("n${node.id}", "n$to") {
            val target = nodes[to]
            if (target.alive && target.incarnation == incarnation) {
                target.leader?.frame(believed, now)
                if (target.entitled()) target.leader?.tick(now)
            }
        }
    }

    private fun probe(
        node: Node,
        partition: PartitionCore,
        probe: Probe,
    ) {
        val worker = workerOf.getValue(probe.machine)
        val incarnation = node.incarnation
        var answered = false

        fun outcome(report: Report?) {
            if (answered || node.incarnation != incarnation) return
            answered = true
            partition.probed(probe, report, now)
            pump(node)
        }
        send("n${node.id}", worker.name, repeats = false) {
            if (!worker.gone && !worker.hung(now)) {
                val result = worker.orders(partition.term, worker.session, emptyList(), now)
                send(worker.name, "n${node.id}") { outcome(result.report.takeIf { result.executed }) }
            }
        }
        at(3 * SECOND) { outcome(null) }
    }

    private fun order(
        node: Node,
        partition: PartitionCore,
        order: DirectOrder,
    ) {
        val worker = workerOf.getValue(order.machine)
        val incarnation = node.incarnation
        var answered = false

        fun outcome(result: OrderOutcome) {
            if (answered || node.incarnation != incarnation) return
            answered = true
            partition.ordered(order, result, now)
        }
        // Like a packet, an order that was sent lands even if nobody waits for it any more.
        send("n${node.id}", worker.name, repeats = false) {
            fun land() {
                if (worker.gone) return
                if (worker.hung(now)) return at(worker.hungUntilUs - now + MILLI) { land() }
                val result = worker.orders(partition.term, order.session, order.commands, now)
                send(worker.name, "n${node.id}") { outcome(result) }
                // A repeat of what was carried out.
                if (random.nextInt(6) == 0) {
                    at(random.nextInt(LATEST_US).toLong()) {
                        if (!worker.gone && !worker.hung(now)) worker.orders(partition.term, order.session, order.commands, now)
                    }
                }
            }
            if (profile.heldOrderShare > 0 && random.nextDouble() < profile.heldOrderShare) {
                at(2 * SECOND + random.nextInt(14_000_000)) {
                    if (!worker.gone && !worker.hung(now)) worker.orders(partition.term, order.session, order.commands, now)
                }
            } else {
                land()
            }
        }
        at(3 * SECOND) { outcome(OrderOutcome.Unclear) }
    }

    private fun report(worker: SimulatedWorker) {
        if (worker.gone || worker.hung(now)) return
        if (now < (muteUntilUs[worker.name] ?: 0)) return
        val node = nodes[target.getValue(worker.name)]
        val report = worker.report()
        val sentUs = now
        var answered = false
        if (random.nextInt(25) == 0) {
            val copy = if (mutation == Mutation.COPIES_BELIEVED) report.copy(sequence = Long.MAX_VALUE / 2) else report
            at(random.nextInt(LATEST_US).toLong()) { answer(nodes[random.nextInt(3)], copy) }
        }
        send(worker.name, "n${node.id}") {
            val answer = answer(node, report)
            send("n${node.id}", worker.name) {
                answered = true
                if (worker.gone) return@send
                if (answer != null && !worker.hung(now)) {
                    worker.answered(answer.token, answer.commands, report.session, sentUs, now)
                } else if (answer == null) {
                    redirect(worker)
                }
            }
        }
        at(4 * SECOND) { if (!answered) redirect(worker) }
    }

    private fun redirect(worker: SimulatedWorker) {
        target[worker.name] = owner[partitionOf(worker)]?.first?.takeIf { random.nextInt(4) > 0 } ?: random.nextInt(3)
    }

    private fun answer(
        node: Node,
        report: Report,
    ): ReportAnswer.Accepted? {
        val id = assignment.partitionOf(report.machine, report.zone)!!
        val partition = node.partitions[id]?.takeIf { node.alive && node.answers() } ?: return null
        val outcome = partition.report(report, now) as? ReportAnswer.Accepted
        pump(node)
        return outcome
    }

    private companion object {
        const val LEADER = "leader"
        const val LEASE_US = 6 * SECOND
        const val WORKER_LEASE_US = 15 * SECOND
        const val CANCEL_US = 40 * SECOND
        const val LATEST_US = 45_000_000
        const val LONGEST_BOOT_US = 10_000_000
        const val LONGEST_FAULT_US = 60 * SECOND

        /** Numbers that a pipeline takes, and what each of its jobs needs of those before it. */
        const val PIPELINE = 4
        val CHAIN = listOf(emptyList(), listOf(0), listOf(1), listOf(2))
        val FAN = listOf(emptyList(), listOf(0), listOf(0), listOf(0))
        val DIAMOND = listOf(emptyList(), listOf(0), listOf(0), listOf(1, 2))
    }
}
