package lichenstage.config

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.Address
import lichenstage.common.parseAddress
import lichenstage.model.PartitionAssignment

/** Another controller of the deployment. [address] is where it accepts connections from controllers. */
data class Peer(
    val label: String,
    val zone: String,
    val address: Address,
)

/**
 * A team with its guarantee ([guaranteedCores], [guaranteedGpus]) and its limit ([coreLimit], [gpuLimit]). A limit of 0 in the file means
 * no limit: infinity.
 */
data class Team(
    val name: String,
    val guaranteedCores: Double,
    val coreLimit: Double,
    val guaranteedGpus: Double,
    val gpuLimit: Double,
)

/** The kind of time that a service-level objective limits, such as the time until a job is done or starts. Lower case in the file. */
enum class ObjectiveKind { DEADLINE, WAIT, FINISHED, GUARANTEE }

/** A service-level objective for the jobs of [jobClass], or for all jobs if [jobClass] is null. */
data class Objective(
    val kind: ObjectiveKind,
    val jobClass: String?,
    val withinUs: Long?,
)

/** The validated settings file of the platform. Durations are in microseconds. */
data class Settings(
    val label: String,
    val zone: String,
    val listenAddress: Address,
    val clusterListenAddress: Address,
    val peers: List<Peer>,
    val cloudAddress: Address,
    val stateAddress: Address,
    val zones: List<String>,
    val teams: Map<String, Team>,
    val workerLeaseUs: Long,
    /** The time after the confirmation of a cancellation by which no task of the job may be left. */
    val cancellationTimeLimitUs: Long,
    val heartbeatIntervalUs: Long,
    /** The requests per second that the state service allows, for all controllers together. */
    val stateRps: Double,
    /** The writes per second that the state service allows, for all controllers together. */
    val stateWriteRps: Double,
    /** The number of operations that the state service allows in one transaction. */
    val maxTransactionOperations: Int,
    val maxValueBytes: Int,
    val cloudRps: Double,
    /** The time by which the cloud's list of machines lags behind the actual state. */
    val machineListLagUs: Long,
    /** The number of controllers in the deployment. */
    val controllerCount: Int,
    val objectives: List<Objective>,
    /** The number of sockets that the machine of the controller allows the process. */
    val maxSockets: Int,
    /** The share of one processor core that the process may use. */
    val coreShare: Double,
) {
    /** The assignment of machines to partitions, and of partitions to their home controllers. */
    val assignment by lazy { PartitionAssignment(zones, peers.associate { it.label to it.zone } + (label to zone)) }

    companion object {
        /**
         * Parses the settings file. Ignores unknown fields. Throws [InvalidSettingsException] for the first invalid field, with its path.
         */
        fun parse(text: String): Settings {
            val root =
                SettingsReader(runCatching { JsonObject(text) }.getOrElse { throw InvalidSettingsException("must be a JSON object") }, "")
            val settings = root.requiredObject("settings")
            val workers = settings.requiredObject("workers")
            val state = settings.requiredObject("state")
            // The announced limits of the state service can take effect at any time, so the smaller of both limits applies from the start.
            val announcedLimits = state.optionalObject("next")

            fun limit(
                field: String,
                min: Double,
                default: Double? = null,
            ) = state.number(field, min, default).let { minOf(it, announcedLimits?.number(field, min, it) ?: it) }
            val cloud = settings.requiredObject("cloud")
            val endpoints = root.requiredObject("endpoints")
            val machineLimits = settings.optionalObject("machine_limits")
            return Settings(
                label = root.string("label"),
                zone = root.string("area"),
                listenAddress = root.address("serve_on"),
                clusterListenAddress = root.address("cluster_listen"),
                peers = root.objectList("seeds").map { Peer(it.string("label"), it.string("area"), it.address("addr")) },
                cloudAddress = endpoints.address("cloud"),
                stateAddress = endpoints.address("state"),
                zones = settings.stringList("zones"),
                teams = settings.objectList("teams").map(::parseTeam).associateBy { it.name },
                workerLeaseUs = workers.durationUs("lease_s"),
                cancellationTimeLimitUs = workers.durationUs("cancel_s"),
                heartbeatIntervalUs = workers.durationUs("report_s"),
                stateRps = limit("rps", 1.0),
                stateWriteRps = limit("write_rps", 1.0),
                maxTransactionOperations = limit("txn_ops", 2.0).toInt(),
                maxValueBytes = (limit("value_kb", 0.25, 8.0) * 1024).toInt(),
                cloudRps = cloud.number("rps", 0.01),
                machineListLagUs = cloud.durationUs("list_lag_s"),
                controllerCount = settings.number("count", 1.0).toInt(),
                objectives = settings.objectList("objectives").mapNotNull(::parseObjective),
                maxSockets = machineLimits?.number("max_sockets", 16.0, 1024.0)?.toInt() ?: 1024,
                coreShare = machineLimits?.number("core_share", 0.001, 1.0)?.coerceAtMost(1.0) ?: 1.0,
            )
        }

        /** Returns an objective; null if its kind is unknown. Unknown kinds are ignored like unknown fields. */
        private fun parseObjective(row: SettingsReader): Objective? {
            val kind = ObjectiveKind.entries.firstOrNull { it.name.lowercase() == row.string("kind") } ?: return null
            return Objective(kind, row.optionalString("class"), row.optionalDurationUs("within_s"))
        }

        private fun parseTeam(row: SettingsReader): Team {
            fun optionalLimit(field: String) = row.number(field, 0.0, 0.0).let { if (it == 0.0) Double.POSITIVE_INFINITY else it }
            return Team(
                row.string("name"),
                row.number("cpus", 0.0, 0.0),
                optionalLimit("cpus_max"),
                row.number("gpus", 0.0, 0.0),
                optionalLimit("gpus_max"),
            )
        }
    }
}

/** Signals an invalid settings file. The message names the path of the field, what is expected and the value found. */
class InvalidSettingsException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** One object of a settings file, at [path]. Every accessor throws [InvalidSettingsException] if its field is missing or invalid. */
class SettingsReader(
    private val json: JsonObject,
    private val path: String,
) {
    private fun pathOf(field: String) = if (path.isEmpty()) field else "$path.$field"

    private fun fail(
        field: String,
        expected: String,
    ): Nothing = throw InvalidSettingsException("${pathOf(field)}: $expected, was ${json.getValue(field)}")

    /** Returns the object in a required field. */
    fun requiredObject(field: String) =
        SettingsReader(json.getValue(field) as? JsonObject ?: fail(field, "must be an object"), pathOf(field))

    /** Returns the object in an optional field; null if the field is missing. */
    fun optionalObject(field: String) = if (json.getValue(field) == null) null else requiredObject(field)

    /** Returns the string in a required field, which must not be empty. */
    fun string(field: String) = (json.getValue(field) as? String)?.takeIf { it.isNotEmpty() } ?: fail(field, "must be a non-empty string")

    /** Returns a number of at least [min]; [default] if the field is missing. A null [default] makes the field required. */
    fun number(
        field: String,
        min: Double,
        default: Double? = null,
    ): Double {
        val value = json.getValue(field) ?: default ?: fail(field, "must be a number")
        val number = (value as? Number)?.toDouble()
        return number?.takeIf { it.isFinite() && it >= min } ?: fail(field, "must be a number of at least $min")
    }

    /** Returns the duration in a required field, converted from seconds to microseconds. */
    fun durationUs(field: String) = (number(field, 0.001) * 1_000_000).toLong()

    /** Returns the string in an optional field; null if the field is missing. */
    fun optionalString(field: String) = if (json.getValue(field) == null) null else string(field)

    /** Returns the duration in an optional field, converted from seconds to microseconds; null if the field is missing. */
    fun optionalDurationUs(field: String) = if (json.getValue(field) == null) null else durationUs(field)

    /** Returns the address in a required field of the form HOST:PORT. */
    fun address(field: String): Address = parseAddress(string(field)) ?: fail(field, "must be an address HOST:PORT")

    /** Returns the list of objects in a required field. */
    fun objectList(field: String): List<SettingsReader> {
        val array = json.getValue(field) as? JsonArray ?: fail(field, "must be a list of objects")
        return array.mapIndexed { i, row ->
            SettingsReader(row as? JsonObject ?: fail(field, "must be a list of objects"), "${pathOf(field)}[$i]")
        }
    }

    /** Returns the list of strings in a required field. */
    fun stringList(field: String): List<String> {
        val array = json.getValue(field) as? JsonArray ?: fail(field, "must be a list of strings")
        return array.map { it as? String ?: fail(field, "must be a list of strings") }
    }
}
