package lichenstage.drain

import kotlinx.collections.immutable.PersistentMap

/**
 * The drains of one term of leadership. Plain code: it is shown the drains that were asked for and the cluster, and names what is to be
 * recorded; what rests on a record is done only once that is written (the state before counts until then).
 *
 * Guards against a leader that forgets an interruption: each is recorded before its task is stopped, so that whoever leads next counts it.
 */
class DrainCore(
    private val policy: DrainPolicy,
    private val view: DrainView,
    initialState: DrainState,
    /** How many interruptions can be recorded. Half of them are for what fails by itself. */
    private val maxInterruptions: Int,
) {
    private class Pending(
        val proposal: DrainProposal,
        val from: DrainState,
        /** The new replacements that it takes account of. */
        val replacements: Map<DrainKey, String>,
    )

    /** The state as it is recorded. */
    var state = initialState
        private set

    /** Drains as operators last requested them. */
    var drains: List<Drain> = emptyList()
        private set
    private var pending: Pending? = null

    /** Replacements that were requested and are not provisioned yet. */
    private val pendingProvisions = HashSet<DrainKey>()

    /** Drains whose pause or finish was requested, until their records show it. */
    private val pendingStatusChanges = HashSet<String>()

    /**
     * What has happened besides, to be recorded with the next steps as there is room. Bounded by the tasks that run: each is in it once,
     * and only until it runs again. (It held 2,000 at the most, and a zone of some hundred machines lost more: what was left out was
     * forgotten, and drains interrupted beside it.)
     */
    private val lostTasks = LinkedHashMap<TaskId, Interruption>()
    private val newReplacements = HashMap<DrainKey, String>()

    /** Some drain is running. */
    val isActive get() = drains.any { it.status == DrainStatus.RUNNING }

    /** Machines that get no more tasks. */
    val cordoned: Set<String> get() = namesOf { it.stage.isCordoned }

    /** Replacements that have not started a task yet: they get one at a time. */
    val onProbation: Set<String> get() = replacements { it.stage == Stage.PREPARING }

    /** Replacements of machines that are still there: the fleet has one machine too many for each. */
    val surplusReplacements: Set<String> get() = replacements { !it.stage.isOver }

    private fun running() = drains.filter { it.status == DrainStatus.RUNNING }.mapTo(HashSet()) { it.name }

    private fun machinesWhere(which: (DrainedMachine) -> Boolean): List<DrainedMachine> {
        val names = running()
        return if (names.isEmpty()) emptyList() else state.machines.values.filter { it.drain in names && which(it) }
    }

    private fun namesOf(which: (DrainedMachine) -> Boolean) = machinesWhere(which).mapTo(HashSet()) { it.name }

    private fun replacements(which: (DrainedMachine) -> Boolean) = machinesWhere(which).mapNotNullTo(HashSet()) { it.replacement }

    /** The drains as their records stand, with the machines of those that are new. */
    fun updateDrains(
        current: List<Drain>,
        machines: List<DrainedMachine>,
    ) {
        drains = current
        pendingStatusChanges.retainAll(running())
        val news = machines.filter { it.key !in state.machines }
        if (news.isNotEmpty()) state = state.copy(machines = state.machines.putAll(news.associateBy { it.key }))
    }

    /** A task that ran does not any more, and not for a drain. Counted only while there is a drain that it may hold up. */
    fun taskLost(interruption: Interruption) {
        if (isActive && interruption.task !in state.interruptions) lostTasks[interruption.task] = interruption
    }

    /** A replacement was provisioned. */
    fun replacementProvisioned(
        key: DrainKey,
        machine: String,
    ) {
        pendingProvisions -= key
        newReplacements[key] = machine
    }

    /** The next state, to be recorded before anything else is done; null while one is being recorded, or nothing is to be done. */
    fun step(
        nowUs: Long,
        hour: Int,
    ): DrainState? {
        if (!view.isComplete || pending != null || !isActive) return null
        val before = withObservedChanges(state, nowUs)
        val due = drains.filter { it.name !in pendingStatusChanges }
        val proposal = DrainPlan(policy, view, hour, nowUs, maxInterruptions / 2, before).next(due)
        pending = Pending(proposal, state, HashMap(newReplacements))
        return proposal.state
    }

    /**
     * With what has happened since: tasks that run as another attempt, or are over, are no longer interrupted, and others are. A
     * replacement's time begins when it was hired, however long that was refused.
     */
    private fun withObservedChanges(
        before: DrainState,
        nowUs: Long,
    ): DrainState {
        var machines: PersistentMap<DrainKey, DrainedMachine> = before.machines
        for ((key, name) in newReplacements) {
            val machine = machines[key] ?: continue
            machines = machines.put(key, machine.copy(replacement = name, sinceUs = nowUs))
        }
        // Room is made first: what waits to be recorded must not be passed over for a step.
        var interruptions = before.interruptions
        for (row in before.interruptions.values) if (row.isOver(view.execution(row.task))) interruptions = interruptions.remove(row.task)
        lostTasks.values.removeAll { it.isOver(view.execution(it.task)) }
        for ((task, row) in lostTasks) {
            if (interruptions.size >= maxInterruptions) break
            if (task !in interruptions) interruptions = interruptions.put(task, row)
        }
        return DrainState(machines, interruptions)
    }

    /** The state of the last step is recorded, or could not be; returns what may be done now. */
    fun stateRecorded(ok: Boolean): List<DrainAction> {
        val done = pending ?: return emptyList()
        pending = null
        if (!ok) return emptyList()
        // What was asked for meanwhile has come to the state before.
        val news = state.machines.filterKeys { it !in done.from.machines }
        state =
            done.proposal.state.copy(
                machines =
                    done.proposal.state.machines
                        .putAll(news),
            )
        done.replacements.forEach { (key, name) -> newReplacements.remove(key, name) }
        lostTasks.keys.removeAll { it in state.interruptions }
        return done.proposal.actions.filter(::isNew)
    }

    private fun isNew(act: DrainAction) =
        when (act) {
            is DrainAction.ProvisionReplacement -> act.key !in newReplacements && pendingProvisions.add(act.key)
            is DrainAction.Pause -> pendingStatusChanges.add(act.drain)
            is DrainAction.Finish -> pendingStatusChanges.add(act.drain)
            else -> true
        }

    /** The status of a drain could not be written: the change is requested again. */
    fun statusChangeFailed(drain: String) {
        pendingStatusChanges -= drain
    }
}
