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

/** Creates the driver of drains for one term of leadership. */
internal class DrainDriverFactory(
    private val core: LeaderCore,
    private val fleetDriver: FleetDriver,
    private val clockNowUs: () -> Long,
) {
    /** Creates the driver, which receives its own messages back through [tell]. */
    fun createDriver(
        policy: DrainPolicy,
        recordAccess: DrainRecordAccess,
        scope: CoroutineScope,
        tell: (DrainMessage) -> Unit,
    ): DrainDriver {
        val view = LeaderDrainView(core, clockNowUs)
        return DrainDriver(policy, view, recordAccess, createActionHandler(view), DrainTracing(), scope, ::timeOfDayUs, tell)
    }

    private fun createActionHandler(view: LeaderDrainView) =
        object : DrainActionHandler {
            override fun evict(tasks: List<PlacedTask>) = core.requestStops(view.attemptsOf(tasks))

            override fun provisionReplacement(key: DrainKey) = fleetDriver.requestReplacement(key)

            override fun terminate(machine: String) = fleetDriver.terminate(machine)
        }

    companion object {
        /**
         * Creates the access to the records of drains. Writes succeed only while the revision of the leadership's key is
         * [leaderKeyRevision].
         */
        fun createRecordAccess(
            store: KeyValueStoreClient,
            singleWriterKeys: SingleWriterKeys,
            leaderKeyRevision: Long,
            settings: Settings,
        ) = DrainRecordAccess(
            DrainRecordCodec(settings.maxValueBytes),
            store,
            singleWriterKeys,
            listOf(Precondition(OwnershipRecords.LEADER_KEY, leaderKeyRevision)),
            store::scan,
        )
    }
}
