package lichenstage.world

import lichenstage.common.SECOND
import lichenstage.drain.DrainAct
import lichenstage.drain.DrainCore
import lichenstage.drain.DrainPolicy
import lichenstage.drain.DrainState
import lichenstage.drain.DrainStatus
import lichenstage.drain.DrainView
import lichenstage.drain.TaskId
import lichenstage.drain.TaskStanding
import lichenstage.placement.LeaderCore
import lichenstage.placement.LeaderDrainView

/** Drains under one leader: its decisions with the records in the state service and a cloud that now and then hires what never comes up. */
internal class SimulatedDrains(
    private val leader: LeaderCore,
    policy: DrainPolicy,
    private val context: SimulationContext,
    private val state: SimulatedStateService,
    private val machines: SimulatedMachines,
    private val fleet: SimulatedFleet,
    private val site: FleetSite,
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
            MOST_INTERRUPTIONS,
        )

    /** A broken account: what does not run is no longer interrupted. */
    private class Dropping(
        private val view: DrainView,
    ) : DrainView by view {
        override fun standing(task: TaskId) = view.standing(task).let { if (it == TaskStanding.Waiting) TaskStanding.Over else it }
    }

    private var steppedUs = 0L

    init {
        leader.taskStopped = { core.lost(LeaderDrainView.failure(it, context.now)) }
    }

    fun step() {
        if (context.now - steppedUs < SECOND) return
        steppedUs = context.now
        core.asked(state.drains.values.toList(), state.drainedMachines)
        fleet.cordoned = core.cordoned
        leader.setDrained(core.cordoned)
        leader.setOnProbation(core.onProbation)
        val next = core.step(context.now, hour = 0) ?: return
        if (next == core.state) return core.recorded(ok = true).forEach(::carryOut)
        state.drainWrites++
        site.write({ state.drainState = next }) { ok -> core.recorded(ok).forEach(::carryOut) }
    }

    private fun carryOut(act: DrainAct) {
        when (act) {
            is DrainAct.Interrupt -> {
                leader.interrupt(view.attemptsOf(act.tasks))
            }

            is DrainAct.HireLike -> {
                val worker = machines.named(act.key.machine)
                val name = machines.hire(worker.zone)
                machines.replaced += worker.name
                context.at(SECOND / 2) { core.hired(act.key, name) }
            }

            is DrainAct.GiveBack -> {
                fleet.giveBack(act.machine)
            }

            is DrainAct.Pause -> {
                end(act.drain, DrainStatus.PAUSED)
            }

            is DrainAct.Finish -> {
                end(act.drain, DrainStatus.FINISHED)
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
        const val MOST_INTERRUPTIONS = 300
    }
}
