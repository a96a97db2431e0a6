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

/** Drains under one leader: its decisions with the records in the state service and a cloud that now and then provisions a machine that never comes up. */
internal class SimulatedDrains(
    private val leader: LeaderCore,
    policy: DrainPolicy,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val machines: SimulatedMachines,
    private val fleet: SimulatedFleet,
    private val site: FleetEnvironment,
) {
    private val mutation = context.mutation
    private val view = LeaderDrainView(leader) { context.now }
    private val forgotten = state.drainState.copy(interruptions = DrainState().interruptions)
    private val recorded = if (mutation == Mutation.INTERRUPTIONS_FORGOTTEN) forgotten else state.drainState
    private val core =
        DrainCore(
            policy,
            if (mutation ==
                Mutation.INTERRUPTIONS_DROPPED
            ) {
                Dropping(view)
            } else {
                view
            },
            recorded,
            MAX_INTERRUPTIONS,
        )

    /** A broken account: what does not run is no longer interrupted. */
    private class Dropping(
        private val view: DrainView,
    ) : DrainView by view {
        override fun execution(task: TaskId) =
            view.execution(task).let {
                if (it ==
                    TaskExecution.NotRunning
                ) {
                    TaskExecution.Finished
                } else {
                    it
                }
            }
    }

    private var steppedUs = 0L

    /** An attempt ran and ended although its task is not done. */
    fun attemptInterrupted(attempt: Attempt) = core.onTaskLost(LeaderDrainView.failureInterruption(attempt, context.now))

    fun step() {
        if (context.now - steppedUs < SECOND) return
        steppedUs = context.now
        core.updateDrains(state.drains.values.toList(), state.drainedMachines)
        fleet.cordoned = core.cordoned
        leader.machines.setDrained(core.cordoned)
        leader.machines.setOnProbation(core.onProbation)
        val next = core.step(context.now, hour = 0) ?: return
        if (next == core.state) return core.onStateRecorded(isRecorded = true).forEach(::execute)
        state.drainWrites++
        site.write({ state.drainState = next }) { ok -> core.onStateRecorded(ok).forEach(::execute) }
    }

    private fun execute(action: DrainAction) {
        when (action) {
            is DrainAction.EvictTasks -> {
                leader.requestStops(view.attemptsOf(action.tasks))
            }

            is DrainAction.ProvisionReplacement -> {
                val worker = machines.named(action.key.machine)
                val name = machines.provision(worker.zone)
                machines.replaced += worker.name
                context.at(SECOND / 2) { core.onReplacementProvisioned(action.key, name) }
            }

            is DrainAction.Terminate -> {
                fleet.terminate(action.machine)
            }

            is DrainAction.Pause -> {
                end(action.drain, DrainStatus.PAUSED)
            }

            is DrainAction.Finish -> {
                end(action.drain, DrainStatus.FINISHED)
            }
        }
    }

    private fun end(
        name: String,
        status: DrainStatus,
    ) {
        state.drains.computeIfPresent(name) { _, drain -> drain.copy(status = status) }
    }

    private companion object {
        const val MAX_INTERRUPTIONS = 300
    }
}
