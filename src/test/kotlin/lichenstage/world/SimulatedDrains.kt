package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.drain.DrainAction
import lichenstage.drain.DrainCore
import lichenstage.drain.DrainPolicy
import lichenstage.drain.DrainState
import lichenstage.drain.DrainStatus
import lichenstage.drain.DrainView
import lichenstage.drain.TaskExecution
import lichenstage.drain.TaskId
import lichenstage.placement.Attempt
import lichenstage.placement.LeaderCore
import lichenstage.placement.LeaderDrainView

/**
 * The drains of one leader. The real decision logic works with the records in the state service and with a cloud in which some provisioned
 * machines never come up.
 */
internal class SimulatedDrains(
    private val leader: LeaderCore,
    policy: DrainPolicy,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val machines: SimulatedMachines,
    private val fleet: SimulatedFleet,
    private val environment: FleetEnvironment,
) {
    private val mutation = context.mutation
    private val view = LeaderDrainView(leader) { context.nowUs }
    private val stateWithoutInterruptions = state.drainState.copy(interruptions = DrainState().interruptions)
    private val initialState = if (mutation == Mutation.INTERRUPTIONS_NOT_RECOVERED) stateWithoutInterruptions else state.drainState
    private val core =
        DrainCore(
            policy,
            if (mutation ==
                Mutation.INTERRUPTIONS_ENDED_AT_STOP
            ) {
                ViewEndingInterruptionsAtStop(view)
            } else {
                view
            },
            initialState,
            MAX_INTERRUPTIONS,
        )

    /** A view in which a task that does not run is already finished; see [Mutation.INTERRUPTIONS_ENDED_AT_STOP]. */
    private class ViewEndingInterruptionsAtStop(
        private val view: DrainView,
    ) : DrainView by view {
        override fun execution(taskId: TaskId) =
            view.execution(taskId).let {
                if (it ==
                    TaskExecution.NotRunning
                ) {
                    TaskExecution.Finished
                } else {
                    it
                }
            }
    }

    private var lastStepUs = 0L

    /** Handles the end of an attempt that ran, but whose task is not done. */
    fun onAttemptInterrupted(attempt: Attempt) = core.onTaskStopped(LeaderDrainView.failureInterruption(attempt, context.nowUs))

    /** Advances the drains, at most once a second. */
    fun step() {
        if (context.nowUs - lastStepUs < SECOND) return
        lastStepUs = context.nowUs
        core.updateDrains(state.drains.values.toList(), state.drainedMachines)
        fleet.cordoned = core.cordoned
        leader.machines.setDrained(core.cordoned)
        leader.machines.setOnProbation(core.onProbation)
        val nextState = core.step(context.nowUs, hour = 0) ?: return
        if (nextState == core.state) return core.onStateRecorded(isRecorded = true).forEach(::execute)
        state.drainWrites++
        environment.write({ state.drainState = nextState }) { isWritten -> core.onStateRecorded(isWritten).forEach(::execute) }
    }

    private fun execute(action: DrainAction) {
        when (action) {
            is DrainAction.EvictTasks -> {
                leader.requestStops(view.attemptsOf(action.tasks))
            }

            is DrainAction.ProvisionReplacement -> {
                val worker = machines.getWorker(action.key.machine)
                val name = machines.provision(worker.zone)
                machines.replacedMachines += worker.name
                context.after(SECOND / 2) { core.onReplacementProvisioned(action.key, name) }
            }

            is DrainAction.Terminate -> {
                fleet.terminate(action.machine)
            }

            is DrainAction.Pause -> {
                setStatus(action.drain, DrainStatus.PAUSED)
            }

            is DrainAction.Finish -> {
                setStatus(action.drain, DrainStatus.FINISHED)
            }
        }
    }

    private fun setStatus(
        name: String,
        status: DrainStatus,
    ) {
        state.drains.computeIfPresent(name) { _, drain -> drain.copy(status = status) }
    }

    private companion object {
        const val MAX_INTERRUPTIONS = 300
    }
}
