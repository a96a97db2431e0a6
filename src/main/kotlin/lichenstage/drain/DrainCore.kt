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
    private class PendingStep(
        val proposal: DrainProposal,
        val previousState: DrainState,
        /** The new replacements that it takes account of. */
        val includedReplacements: Map<DrainKey, String>,
    )

    /** The state as it is recorded. */
    var state = initialState
        private set

    /** Drains as operators last requested them. */
    var drains: List<Drain> = emptyList()
        private set
    private var pendingStep: PendingStep? = null

    /** Replacements that were requested and are not provisioned yet. */
    private val pendingProvisions = HashSet<DrainKey>()

    /** Drains whose pause or finish was requested, until their records show it. */
    private val pendingStatusChanges = HashSet<String>()

    /**
     * What has happened besides, to be recorded with the next steps as there is room. Bounded by the tasks that run: each is in it once,
     * and only until it runs again. (It held 2,000 at the most, and a zone of some hundred machines lost more: what was left out was
     * forgotten, and drains interrupted beside it.)
     */
    private val unrecordedFailures = LinkedHashMap<TaskId, Interruption>()
    private val unrecordedReplacements = HashMap<DrainKey, String>()

    /** Some drain is running. */
    val isActive get() = drains.any { it.status == DrainStatus.RUNNING }

    /** Machines that get no more tasks. */
    val cordoned: Set<String> get() = machineNames { it.stage.isCordoned }

    /** Replacements that have not started a task yet: they get one at a time. */
    val onProbation: Set<String> get() = replacementNames { it.stage == Stage.PREPARING }

    /** Replacements of machines that are still there: the fleet has one machine too many for each. */
    val surplusReplacements: Set<String> get() = replacementNames { !it.stage.isOver }

    private fun runningDrainNames() = drains.filter { it.status == DrainStatus.RUNNING }.mapTo(HashSet()) { it.name }

    private fun activeMachines(predicate: (DrainedMachine) -> Boolean): List<DrainedMachine> {
        val names = runningDrainNames()
        return if (names.isEmpty()) emptyList() else state.machines.values.filter { it.drain in names && predicate(it) }
    }

    private fun machineNames(predicate: (DrainedMachine) -> Boolean) = activeMachines(predicate).mapTo(HashSet()) { it.name }

    private fun replacementNames(predicate: (DrainedMachine) -> Boolean) =
        activeMachines(predicate).mapNotNullTo(HashSet()) { it.replacement }

    /** The drains as their records stand, with the machines of those that are new. */
    fun updateDrains(
        requestedDrains: List<Drain>,
        machines: List<DrainedMachine>,
    ) {
        drains = requestedDrains
        pendingStatusChanges.retainAll(runningDrainNames())
        val newMachines = machines.filter { it.key !in state.machines }
        if (newMachines.isNotEmpty()) state = state.copy(machines = state.machines.putAll(newMachines.associateBy { it.key }))
    }

    /** A task that ran does not any more, and not for a drain. Counted only while there is a drain that it may hold up. */
    fun onTaskLost(interruption: Interruption) {
        if (isActive && interruption.task !in state.interruptions) unrecordedFailures[interruption.task] = interruption
    }

    /** A replacement was provisioned. */
    fun onReplacementProvisioned(
        key: DrainKey,
        machine: String,
    ) {
        pendingProvisions -= key
        unrecordedReplacements[key] = machine
    }

    /** The next state, to be recorded before anything else is done; null while one is being recorded, or nothing is to be done. */
    fun step(
        nowUs: Long,
        hour: Int,
    ): DrainState? {
        if (!view.isComplete || pendingStep != null || !isActive) return null
        val baseState = withObservedChanges(state, nowUs)
        val drainsToAdvance = drains.filter { it.name !in pendingStatusChanges }
        val proposal = DrainPlanner(policy, view, hour, nowUs, maxInterruptions / 2, baseState).planStep(drainsToAdvance)
        pendingStep = PendingStep(proposal, state, HashMap(unrecordedReplacements))
        return proposal.state
    }

    /**
     * With what has happened since: tasks that run as another attempt, or are over, are no longer interrupted, and others are. A
     * replacement's time begins when it was hired, however long that was refused.
     */
    private fun withObservedChanges(
        baseState: DrainState,
        nowUs: Long,
    ): DrainState {
        var machines: PersistentMap<DrainKey, DrainedMachine> = baseState.machines
        for ((key, name) in unrecordedReplacements) {
            val machine = machines[key] ?: continue
            machines = machines.put(key, machine.copy(replacement = name, sinceUs = nowUs))
        }
        // Room is made first: what waits to be recorded must not be passed over for a step.
        var interruptions = baseState.interruptions
        for (row in baseState.interruptions.values) if (row.isOver(view.execution(row.task))) interruptions = interruptions.remove(row.task)
        unrecordedFailures.values.removeAll { it.isOver(view.execution(it.task)) }
        for ((task, interruption) in unrecordedFailures) {
            if (interruptions.size >= maxInterruptions) break
            if (task !in interruptions) interruptions = interruptions.put(task, interruption)
        }
        return DrainState(machines, interruptions)
    }

    /** The state of the last step is recorded, or could not be; returns what may be done now. */
    fun onStateRecorded(isRecorded: Boolean): List<DrainAction> {
        val completedStep = pendingStep ?: return emptyList()
        pendingStep = null
        if (!isRecorded) return emptyList()
        // What was asked for meanwhile has come to the state before.
        val newMachines = state.machines.filterKeys { it !in completedStep.previousState.machines }
        state =
            completedStep.proposal.state.copy(
                machines =
                    completedStep.proposal.state.machines
                        .putAll(newMachines),
            )
        completedStep.includedReplacements.forEach { (key, name) -> unrecordedReplacements.remove(key, name) }
        unrecordedFailures.keys.removeAll { it in state.interruptions }
        return completedStep.proposal.actions.filter(::registerRequest)
    }

    private fun registerRequest(action: DrainAction) =
        when (action) {
            is DrainAction.ProvisionReplacement -> action.key !in unrecordedReplacements && pendingProvisions.add(action.key)
            is DrainAction.Pause -> pendingStatusChanges.add(action.drain)
            is DrainAction.Finish -> pendingStatusChanges.add(action.drain)
            else -> true
        }

    /** The status of a drain could not be written: the change is requested again. */
    fun onStatusChangeFailed(drain: String) {
        pendingStatusChanges -= drain
    }
}
