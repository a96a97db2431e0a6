package lichenstage.config

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.Address
import lichenstage.common.parseAddress
import lichenstage.model.PartitionAssignment

/** Another controller. */
data class Peer(
    val label: String,
    val zone: String,
    val address: Address,
)

/** A team's guarantee and quota. A quota of 0 in the file means that there is none; it is infinity here. */
data class Team(
    val name: String,
    val cores: Double,
    val coresMax: Double,
    val gpus: Double,
    val gpusMax: Double,
)

/** What a service-level objective measures: the completion of a job or the start of its tasks. */
enum class ObjectiveKind { DEADLINE, WAIT, FINISHED, GUARANTEE }

/** A service-level objective for a class of jobs, or for all of them if [jobClass] is null. */
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
    val clusterListen: Address,
    val peers: List<Peer>,
    val cloudAddress: Address,
    val stateAddress: Address,
    val zones: List<String>,
    val teams: Map<String, Team>,
    val workerLeaseUs: Long,
    /** No task of a job may be left this long after its cancellation was confirmed. */
    val cancellationDeadlineUs: Long,
    val heartbeatIntervalUs: Long,
    val stateRps: Double,
    val stateWriteRps: Double,
    val maxTransactionOperations: Int,
    val maxValueBytes: Int,
    val cloudRps: Double,
    val machineListLagUs: Long,
    val controllerCount: Int,
    val objectives: List<Objective>,
    val maxSockets: Int,
    /** The share of one core that the process may use. */
    val coreShare: Double,
) {
    /** How machines are assigned to partitions, and partitions to their home controllers. */
    val assignment by lazy { PartitionAssignment(zones, peers.associate { it.label to it.zone } + (label to zone)) }

    companion object {
        /** Parses the platform's file. Unknown fields are ignored; an invalid one throws [InvalidSettingsException] with its path. */
        fun parse(text: String): Settings {
            val root =
                SettingsReader(runCatching { JsonObject(text) }.getOrElse { throw InvalidSettingsException("not a JSON object") }, "")
            val settings = root.requiredObject("settings")
            val workers = settings.requiredObject("workers")
            val state = settings.requiredObject("state")
            // Announced limits of the state service take effect without notice, so the smaller of both applies from the start.
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
                clusterListen = root.address("cluster_listen"),
                peers = root.objectList("seeds").map { Peer(it.string("label"), it.string("area"), it.address("addr")) },
                cloudAddress = endpoints.address("cloud"),
                stateAddress = endpoints.address("state"),
                zones = settings.stringList("zones"),
                teams = settings.objectList("teams").map(::parseTeam).associateBy { it.name },
                workerLeaseUs = workers.durationUs("lease_s"),
                cancellationDeadlineUs = workers.durationUs("cancel_s"),
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

        /** Null for an unknown kind, which is ignored like an unknown field. */
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

/** A settings file that is not valid; the message names the path of the field and its value. */
class InvalidSettingsException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** One object of a settings file at [path]. Every accessor throws [InvalidSettingsException] with the path of an invalid field. */
class SettingsReader(
    private val json: JsonObject,
    private val path: String,
) {
    private fun pathOf(field: String) = if (path.isEmpty()) field else "$path.$field"

    private fun fail(
        field: String,
        expected: String,
    ): Nothing = throw InvalidSettingsException("${pathOf(field)}: $expected, found ${json.getValue(field)}")

    /** The object in a required field. */
    fun requiredObject(field: String) =
        SettingsReader(json.getValue(field) as? JsonObject ?: fail(field, "an object is needed"), pathOf(field))

    /** The object in an optional field. */
    fun optionalObject(field: String) = if (json.getValue(field) == null) null else requiredObject(field)

    /** A required string that is not empty. */
    fun string(field: String) = (json.getValue(field) as? String)?.takeIf { it.isNotEmpty() } ?: fail(field, "a text is needed")

    /** A number of at least [min], or [default] where the field is missing. */
    fun number(
        field: String,
        min: Double,
        default: Double? = null,
    ): Double {
        val value = json.getValue(field) ?: default ?: fail(field, "a number is needed")
        val number = (value as? Number)?.toDouble()
        return number?.takeIf { it.isFinite() && it >= min } ?: fail(field, "a number of at least $min is needed")
    }

    /** A required duration, given in seconds, in microseconds. */
    fun durationUs(field: String) = (number(field, 0.001) * 1_000_000).toLong()

    /** An optional string. */
    fun optionalString(field: String) = if (json.getValue(field) == null) null else string(field)

    /** An optional duration, given in seconds, in microseconds. */
    fun optionalDurationUs(field: String) = if (json.getValue(field) == null) null else durationUs(field)

    /** A required address of the form HOST:PORT. */
    fun address(field: String): Address = parseAddress(string(field)) ?: fail(field, "an address HOST:PORT is needed")

    /** A required list of objects. */
    fun objectList(field: String): List<SettingsReader> {
        val array = json.getValue(field) as? JsonArray ?: fail(field, "a list is needed")
        return array.mapIndexed { i, row ->
            SettingsReader(row as? JsonObject ?: fail(field, "a list of objects is needed"), "${pathOf(field)}[$i]")
        }
    }

    /** A required list of strings. */
    fun stringList(field: String): List<String> {
        val array = json.getValue(field) as? JsonArray ?: fail(field, "a list is needed")
        return array.map { it as? String ?: fail(field, "a list of texts is needed") }
    }
}
