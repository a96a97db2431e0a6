package lichenstage.drain

import lichenstage.common.SECOND

/** The result of one planning step: the state to record, and the actions to execute after it is recorded. */
data class DrainProposal(
    val state: DrainState,
    val actions: List<DrainAction>,
)

/**
 * Plans the next step of all drains on a copy of their state.
 *
 * Each machine moves from stage to stage. Idle machines are drained first, then machines whose tasks end soonest, then machines whose tasks
 * lose the least progress. A task is interrupted only if its team's budget allows that in addition to all current interruptions. Tasks that
 * are about to end are left to finish. A deadline changes none of this.
 */
class DrainPlanner(
    private val policy: DrainPolicy,
    private val view: DrainView,
    private val hour: Int,
    private val nowUs: Long,
    /** Number of recorded interruptions from which on drains interrupt no more tasks, so that the records have room for failures. */
    private val maxInterruptions: Int,
    private var state: DrainState,
) {
    private val actions = ArrayList<DrainAction>()
    private val tasksToEvict = ArrayList<PlacedTask>()

    /** Returns the next step of all [drains] that are running. Drains are processed in the order in which they were requested. */
    fun planStep(drains: List<Drain>): DrainProposal {
        val running = drains.filter { it.status == DrainStatus.RUNNING }.sortedBy { it.requestedAtUs }
        running.forEach(::advanceMachines)
        running.forEach { startDraining(it, machinesInProgress(running)) }
        interruptTasks(running)
        running.filter(::isOver).forEach { actions += DrainAction.Finish(it.name) }
        return DrainProposal(state, actions + listOfNotNull(DrainAction.EvictTasks(tasksToEvict).takeIf { tasksToEvict.isNotEmpty() }))
    }

    private fun machinesOf(drain: Drain) = state.machines.values.filter { it.drain == drain.name }

    private fun isOver(drain: Drain) = machinesOf(drain).all { it.stage.isOver }

    private fun updateMachine(machine: DrainedMachine) {
        state = state.copy(machines = state.machines.put(machine.key, machine))
    }

    private fun enterStage(
        machine: DrainedMachine,
        stage: Stage,
    ) = updateMachine(machine.copy(stage = stage, sinceUs = nowUs))

    private fun advanceMachines(drain: Drain) {
        for (machine in machinesOf(drain)) {
            if (machine.stage.isOver) continue
            when (view.condition(machine.name)) {
                MachineCondition.GONE, MachineCondition.ABSENT -> enterStage(machine, stageAfterRemoval(machine))
                MachineCondition.LOST -> if (machine.stage != Stage.EMPTIED) enterStage(machine, Stage.FAILED)
                MachineCondition.HEALTHY, MachineCondition.UNCONFIRMED -> advanceMachine(drain, machine)
            }
        }
    }

    private fun stageAfterRemoval(machine: DrainedMachine) =
        when {
            machine.stage == Stage.WAITING -> Stage.GONE
            machine.stage != Stage.EMPTIED -> Stage.FAILED
            machine.replacement != null -> Stage.REPLACED
            else -> Stage.GONE
        }

    private fun advanceMachine(
        drain: Drain,
        machine: DrainedMachine,
    ) {
        when (machine.stage) {
            Stage.PREPARING -> {
                checkReplacement(drain, machine)
            }

            Stage.CORDONED, Stage.EMPTYING -> {
                if (isCordonEffective(machine) && view.tasksOn(machine.name).isEmpty()) {
                    enterStage(machine, Stage.EMPTIED)
                    actions += DrainAction.Terminate(machine.name)
                }
            }

            // The outcome of an earlier request may be unknown, so each step requests the termination again until the machine is gone.
            Stage.EMPTIED -> {
                actions += DrainAction.Terminate(machine.name)
            }

            else -> {
                Unit
            }
        }
    }

    /**
     * Returns whether the cordon has reached every controller. From then on, a stopped task is not placed on the machine again, and an
     * empty machine stays empty.
     */
    private fun isCordonEffective(machine: DrainedMachine) = nowUs - machine.sinceUs >= CORDON_PROPAGATION_US

    /**
     * Cordons the machine once its replacement is proven ([isProven]). A replacement that does not start, is faulty or is lost is
     * terminated, and another one is requested after a growing delay.
     */
    private fun checkReplacement(
        drain: Drain,
        machine: DrainedMachine,
    ) {
        val waitedUs = nowUs - machine.sinceUs
        val replacement = machine.replacement
        when {
            replacement == null -> {
                if (waitedUs >= backoffUs(machine.failedReplacements)) actions += DrainAction.ProvisionReplacement(machine.key)
            }

            hasFailed(replacement, waitedUs) -> {
                actions += DrainAction.Terminate(replacement)
                updateMachine(machine.copy(replacement = null, failedReplacements = machine.failedReplacements + 1, sinceUs = nowUs))
                if (machine.failedReplacements + 1 >= policy.maxReplacementFailures) {
                    actions +=
                        DrainAction.Pause(
                            drain.name,
                            "${machine.failedReplacements + 1} replacements of ${machine.name} failed, the last was $replacement",
                        )
                }
            }

            isProven(replacement, waitedUs) -> {
                enterStage(machine, Stage.CORDONED)
            }
        }
    }

    private fun hasFailed(
        replacement: String,
        waitedUs: Long,
    ): Boolean {
        val condition = view.condition(replacement)
        return condition == MachineCondition.LOST || condition == MachineCondition.GONE || view.isFaulty(replacement) ||
            (condition != MachineCondition.HEALTHY && waitedUs > MAX_BOOT_US)
    }

    /**
     * Returns whether a healthy replacement is proven to work: it runs a task, or it has no task [IDLE_TRIAL_US] after its provisioning.
     */
    private fun isProven(
        replacement: String,
        waitedUs: Long,
    ): Boolean =
        view.condition(replacement) == MachineCondition.HEALTHY &&
            (view.tasksOn(replacement).any { it.isRunning } || (waitedUs > IDLE_TRIAL_US && view.tasksOn(replacement).isEmpty()))

    private fun backoffUs(failures: Int) = if (failures == 0) 0 else (INITIAL_BACKOFF_US shl minOf(failures - 1, MAX_BACKOFF_DOUBLINGS))

    /** Returns the machines that any of [drains] is processing. No other drain starts with them. */
    private fun machinesInProgress(drains: List<Drain>): Set<String> {
        val names = drains.mapTo(HashSet()) { it.name }
        return state.machines.values
            .filter { it.drain in names && it.stage.isInProgress }
            .mapTo(HashSet()) { it.name }
    }

    /** Starts draining waiting machines, up to [Drain.maxConcurrent] machines at once. */
    private fun startDraining(
        drain: Drain,
        machinesInProgress: Set<String>,
    ) {
        val drainMachines = machinesOf(drain)
        val availableSlots = drain.maxConcurrent - drainMachines.count { it.stage.isInProgress }
        if (availableSlots <= 0) return
        val waitingMachines =
            drainMachines.filter {
                it.stage == Stage.WAITING && it.name !in machinesInProgress &&
                    view.condition(it.name) == MachineCondition.HEALTHY
            }
        waitingMachines.sortedWith(drainOrder()).take(availableSlots).forEach { machine ->
            if (drain.shouldReplace) {
                enterStage(machine, Stage.PREPARING)
                actions += DrainAction.ProvisionReplacement(machine.key)
            } else {
                enterStage(machine, Stage.CORDONED)
            }
        }
    }

    private fun drainOrder(): Comparator<DrainedMachine> {
        val tasksByMachine = HashMap<String, List<PlacedTask>>()

        fun tasksOf(machine: DrainedMachine) = tasksByMachine.getOrPut(machine.name) { view.tasksOn(machine.name) }
        return compareBy<DrainedMachine> { tasksOf(it).isNotEmpty() }
            .thenBy { machine -> tasksOf(machine).maxOfOrNull { it.remainingUs / NEAR_END_US } ?: 0 }
            .thenBy { machine -> tasksOf(machine).sumOf { it.lostProgressUs } }
            .thenBy { it.name }
    }

    /** Selects the tasks on cordoned machines that the budgets allow to interrupt. Machines are processed in the order of their cordons. */
    private fun interruptTasks(drains: List<Drain>) {
        val names = drains.mapTo(HashSet()) { it.name }
        val cordoned =
            state.machines.values
                .filter { it.drain in names && (it.stage == Stage.CORDONED || it.stage == Stage.EMPTYING) && isCordonEffective(it) }
                .sortedWith(compareBy({ it.sinceUs }, { it.name }))
        if (cordoned.isEmpty()) return
        val budgetTracker = BudgetTracker(policy, countRunningTasksByTeam(), hour, state.interruptions.values)
        cordoned.forEach { interruptTasksOn(it, budgetTracker) }
    }

    /** Returns the number of running tasks of each team, without tasks that have a recorded interruption and may be stopping already. */
    private fun countRunningTasksByTeam(): Map<String, Int> {
        val taskCounts = HashMap(view.runningTasksByTeam())
        for (interruption in state.interruptions.values) {
            if (view.execution(interruption.taskId) is TaskExecution.Running) taskCounts.merge(interruption.team, -1, Int::plus)
        }
        return taskCounts
    }

    private fun interruptTasksOn(
        machine: DrainedMachine,
        budgetTracker: BudgetTracker,
    ) {
        // A previous leader may have recorded these interruptions without stopping the tasks, so the tasks are stopped again.
        val tasks = view.tasksOn(machine.name).filter { it.isRunning }
        tasksToEvict += tasks.filter { state.interruptions[it.taskId]?.attemptNumber == it.attemptNumber }
        // Tasks that lose the least progress come first, such as tasks that have saved a checkpoint.
        for (task in tasks.filter { it.taskId !in state.interruptions && it.remainingUs > NEAR_END_US }.sortedBy { it.lostProgressUs }) {
            if (state.interruptions.size >= maxInterruptions || !budgetTracker.tryInterrupt(task)) continue
            val interruption = Interruption(task.taskId, task.attemptNumber, task.team, InterruptionCause.DRAIN, nowUs)
            state = state.copy(interruptions = state.interruptions.put(task.taskId, interruption))
            tasksToEvict += task
            if (machine.stage == Stage.CORDONED) updateMachine(state.machines.getValue(machine.key).copy(stage = Stage.EMPTYING))
        }
    }

    companion object {
        /** A task that is expected to end within this time is left to finish. */
        const val NEAR_END_US = 20 * SECOND

        private const val CORDON_PROPAGATION_US = 2 * SECOND

        /** A replacement that is not healthy this long after its provisioning has failed. */
        private const val MAX_BOOT_US = 300 * SECOND

        /** A healthy replacement counts as working if it has no task this long after its provisioning. */
        private const val IDLE_TRIAL_US = 90 * SECOND
        private const val INITIAL_BACKOFF_US = 30 * SECOND
        private const val MAX_BACKOFF_DOUBLINGS = 4
    }
}
