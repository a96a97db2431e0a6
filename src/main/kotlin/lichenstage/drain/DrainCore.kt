package lichenstage.drain

import kotlinx.collections.immutable.PersistentMap

/**
 * Decides on all drains during one term of leadership, without I/O.
 *
 * [step] returns the next state to be recorded. The actions that follow from that state are returned by [onStateRecorded] after the state
 * is written; until then the previous state applies. Because each interruption is recorded before its task is stopped, the next leader
 * counts it against the budgets too.
 */
class DrainCore(
    private val policy: DrainPolicy,
    private val view: DrainView,
    initialState: DrainState,
    /** Maximum number of interruptions that can be recorded. Half of them are reserved for failures that no drain causes. */
    private val maxInterruptions: Int,
) {
    private class PendingStep(
        val proposal: DrainProposal,
        val previousState: DrainState,
        /** The unrecorded replacements that the proposal includes. */
        val includedReplacements: Map<DrainKey, String>,
    )

    /** The last recorded state. */
    var state = initialState
        private set

    /** Drains as last read from their records. */
    var drains: List<Drain> = emptyList()
        private set
    private var pendingStep: PendingStep? = null

    /** Machines whose replacement is requested but not provisioned yet. */
    private val pendingProvisions = HashSet<DrainKey>()

    /** Drains that this leader is pausing or finishing, until their records show the new status. */
    private val pendingStatusChanges = HashSet<String>()

    /**
     * Interruptions by failures that are not recorded yet. Each step records as many of them as the records have room for. Each task is
     * listed at most once and only until it runs again, so the number of tasks bounds the size. A fixed limit of 2,000 was too small: a
     * zone of a few hundred machines lost more tasks, the interruptions over the limit were forgotten, and drains exceeded the budgets.
     */
    private val unrecordedFailures = LinkedHashMap<TaskId, Interruption>()
    private val unrecordedReplacements = HashMap<DrainKey, String>()

    /** Whether any drain is running. */
    val isActive get() = drains.any { it.status == DrainStatus.RUNNING }

    /** Machines that receive no new tasks. */
    val cordoned: Set<String> get() = machineNames { it.stage.isCordoned }

    /** Replacements that are not proven to work yet. They receive one task at a time. */
    val onProbation: Set<String> get() = replacementNames { it.stage == Stage.PREPARING }

    /** Replacements whose old machines still exist. The fleet has one surplus machine for each. */
    val surplusReplacements: Set<String> get() = replacementNames { !it.stage.isOver }

    private fun runningDrainNames() = drains.filter { it.status == DrainStatus.RUNNING }.mapTo(HashSet()) { it.name }

    private fun activeMachines(predicate: (DrainedMachine) -> Boolean): List<DrainedMachine> {
        val names = runningDrainNames()
        return if (names.isEmpty()) emptyList() else state.machines.values.filter { it.drain in names && predicate(it) }
    }

    private fun machineNames(predicate: (DrainedMachine) -> Boolean) = activeMachines(predicate).mapTo(HashSet()) { it.name }

    private fun replacementNames(predicate: (DrainedMachine) -> Boolean) =
        activeMachines(predicate).mapNotNullTo(HashSet()) { it.replacement }

    /** Takes over [requestedDrains] as read from their records, and the [machines] of drains that are new. */
    fun updateDrains(
        requestedDrains: List<Drain>,
        machines: List<DrainedMachine>,
    ) {
        drains = requestedDrains
        pendingStatusChanges.retainAll(runningDrainNames())
        val newMachines = machines.filter { it.key !in state.machines }
        if (newMachines.isNotEmpty()) state = state.copy(machines = state.machines.putAll(newMachines.associateBy { it.key }))
    }

    /**
     * Handles the stop of a running task. Counts it as an interruption, unless no drain is running or an interruption of the task is
     * already recorded.
     */
    fun onTaskStopped(interruption: Interruption) {
        if (isActive && interruption.taskId !in state.interruptions) unrecordedFailures[interruption.taskId] = interruption
    }

    /** Handles the provisioning of [machine] as the replacement for the machine of [key]. */
    fun onReplacementProvisioned(
        key: DrainKey,
        machine: String,
    ) {
        pendingProvisions -= key
        unrecordedReplacements[key] = machine
    }

    /**
     * Returns the next state, which must be recorded before any action. Returns null while another state is being recorded, while no drain
     * is running, and while the leader does not know the tasks of every machine.
     */
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
     * Returns [baseState] with the changes that have been observed since: new replacements, ended interruptions and new failures. The wait
     * for a replacement starts when its machine is provisioned, however long the cloud has refused the request before.
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
        // Ended interruptions are removed first, so that this step, rather than the next, has room for unrecorded failures.
        var interruptions = baseState.interruptions
        for (row in baseState.interruptions.values) {
            if (row.isOver(view.execution(row.taskId))) interruptions = interruptions.remove(row.taskId)
        }
        unrecordedFailures.values.removeAll { it.isOver(view.execution(it.taskId)) }
        for ((task, interruption) in unrecordedFailures) {
            if (interruptions.size >= maxInterruptions) break
            if (task !in interruptions) interruptions = interruptions.put(task, interruption)
        }
        return DrainState(machines, interruptions)
    }

    /** Handles the result of recording the state of the last step. Returns the actions to execute now. */
    fun onStateRecorded(isRecorded: Boolean): List<DrainAction> {
        val completedStep = pendingStep ?: return emptyList()
        pendingStep = null
        if (!isRecorded) return emptyList()
        // Machines of drains that were requested during the write were added to the previous state.
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

    /**
     * Returns whether [action] must be executed now, and marks its request as pending. Requests that are already pending are not repeated.
     */
    private fun registerRequest(action: DrainAction) =
        when (action) {
            is DrainAction.ProvisionReplacement -> action.key !in unrecordedReplacements && pendingProvisions.add(action.key)
            is DrainAction.Pause -> pendingStatusChanges.add(action.drain)
            is DrainAction.Finish -> pendingStatusChanges.add(action.drain)
            else -> true
        }

    /** Handles a failed write of the status of [drain]. A later step requests the change again. */
    fun onStatusChangeFailed(drain: String) {
        pendingStatusChanges -= drain
    }
}
