package lichenstage.placement

import kotlinx.coroutines.CoroutineScope
import lichenstage.authority.OwnershipRecords
import lichenstage.common.timeOfDayUs
import lichenstage.config.Settings
import lichenstage.drain.DrainActionHandler
import lichenstage.drain.DrainDriver
import lichenstage.drain.DrainKey
import lichenstage.drain.DrainMessage
import lichenstage.drain.DrainPolicy
import lichenstage.drain.DrainRecordAccess
import lichenstage.drain.DrainRecordCodec
import lichenstage.drain.DrainTracing
import lichenstage.drain.PlacedTask
import lichenstage.state.KeyValueStoreClient
import lichenstage.state.Precondition
import lichenstage.state.SingleWriterKeys

/** Makes the driver of drains for one term of leadership. */
internal class LeaderDrains(
    private val core: LeaderCore,
    private val fleet: FleetDriver,
    private val now: () -> Long,
) {
    /** The driver of drains, which tells its own messages through [tell]. */
    fun driver(
        policy: DrainPolicy,
        store: DrainRecordAccess,
        scope: CoroutineScope,
        tell: (DrainMessage) -> Unit,
    ): DrainDriver {
        val view = LeaderDrainView(core, now)
        return DrainDriver(policy, view, store, actions(view), DrainTracing(), scope, ::timeOfDayUs, tell)
    }

    private fun actions(view: LeaderDrainView) =
        object : DrainActionHandler {
            override fun evict(tasks: List<PlacedTask>) = core.requestStops(view.attemptsOf(tasks))

            override fun provisionReplacement(key: DrainKey) = fleet.requestReplacement(key)

            override fun terminate(machine: String) = fleet.terminate(machine)
        }

    companion object {
        /** Where drains are recorded: nothing is written unless the leadership's key still has [leaderKeyRevision]. */
        fun store(
            store: KeyValueStoreClient,
            ownKeys: SingleWriterKeys,
            leaderKeyRevision: Long,
            settings: Settings,
        ) = DrainRecordAccess(
            DrainRecordCodec(settings.valueBytes),
            store,
            ownKeys,
            listOf(Precondition(OwnershipRecords.LEADER_KEY, leaderKeyRevision)),
            settings.txnOps,
            store::scan,
        )
    }
}
