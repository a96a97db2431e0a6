package lichenstage.fleet

import lichenstage.cloud.ProvisionRequest
import lichenstage.common.SECOND

/**
 * What a job still asks of machines of type [typeName]: at most [machines] at once, [workUs] of machine time, until [dueUs];
 * null where no promise is left to keep. It uses [busy] machines now, and [waitingUs] of its work has not begun. [foreseenInUs]: the
 * job waits for others and is expected to be ready within that time; 0 for all that is ready.
 */
data class Demand(
    val typeName: String,
    val spot: Boolean,
    val machines: Double,
    val workUs: Double,
    val dueUs: Long?,
    val busy: Double = 0.0,
    val waitingUs: Double = workUs,
    val foreseenInUs: Long = 0,
)

/** A machine as the leader knows it from its partition, for decisions on renting. */
data class MachineStatus(
    val up: Boolean,
    val silent: Boolean,
    val lost: Boolean,
    val tasks: Int,
    val faulty: Boolean,
)

/** A machine that is asked for by name of its type, zone and kind, beside what demand asks for. [id] is the asker's. */
data class ReplacementRequest(
    val id: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
)

/** The next thing to ask of the cloud. */
sealed interface CloudCall {
    /** Rent machines. */
    data class Provision(
        val hire: ProvisionRequest,
    ) : CloudCall

    /** Return machines. */
    data class Terminate(
        val names: List<String>,
    ) : CloudCall

    data object ListAll : CloudCall
}

/** How machines are rented and returned. */
data class FleetPolicy(
    /** Work that is due sooner than this is not helped by renting. */
    val minHorizonUs: Long = 40 * SECOND,
    /** The part of the time up to a promise in which its work should be done. */
    val deadlineSlackFraction: Double = 0.5,
    /** What waits should be begun within this time. */
    val backlogUs: Long = 90 * SECOND,
    /** The part of a machine's time that can be filled. */
    val fill: Double = 1.0,
    val scaleInDelayUs: Long = 30 * SECOND,
)
