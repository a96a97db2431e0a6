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
    val listen: Address,
    val clusterListen: Address,
    val peers: List<Peer>,
    val cloud: Address,
    val state: Address,
    val zones: List<String>,
    val teams: Map<String, Team>,
    val workerLeaseUs: Long,
    /** No task of a job may be left this long after its cancellation was confirmed. */
    val cancelUs: Long,
    val heartbeatIntervalUs: Long,
    val stateRps: Double,
    val stateWriteRps: Double,
    val txnOps: Int,
    val valueBytes: Int,
    val cloudRps: Double,
    val listLagUs: Long,
    val count: Int,
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
            val settings = root.obj("settings")
            val workers = settings.obj("workers")
            val state = settings.obj("state")
            // Announced limits of the state service take effect without notice, so the smaller of both applies from the start.
            val next = state.optionalObj("next")

            fun limit(
                field: String,
                min: Double,
                default: Double? = null,
            ) = state.number(field, min, default).let { minOf(it, next?.number(field, min, it) ?: it) }
            val cloud = settings.obj("cloud")
            val endpoints = root.obj("endpoints")
            val machine = settings.optionalObj("machine_limits")
            return Settings(
                label = root.text("label"),
                zone = root.text("area"),
                listen = root.address("serve_on"),
                clusterListen = root.address("cluster_listen"),
                peers = root.list("seeds").map { Peer(it.text("label"), it.text("area"), it.address("addr")) },
                cloud = endpoints.address("cloud"),
                state = endpoints.address("state"),
                zones = settings.texts("zones"),
                teams = settings.list("teams").map(::team).associateBy { it.name },
                workerLeaseUs = workers.micros("lease_s"),
                cancelUs = workers.micros("cancel_s"),
                heartbeatIntervalUs = workers.micros("report_s"),
                stateRps = limit("rps", 1.0),
                stateWriteRps = limit("write_rps", 1.0),
                txnOps = limit("txn_ops", 2.0).toInt(),
                valueBytes = (limit("value_kb", 0.25, 8.0) * 1024).toInt(),
                cloudRps = cloud.number("rps", 0.01),
                listLagUs = cloud.micros("list_lag_s"),
                count = settings.number("count", 1.0).toInt(),
                objectives = settings.list("objectives").mapNotNull(::objective),
                maxSockets = machine?.number("max_sockets", 16.0, 1024.0)?.toInt() ?: 1024,
                coreShare = machine?.number("core_share", 0.001, 1.0)?.coerceAtMost(1.0) ?: 1.0,
            )
        }

        /** Null for an unknown kind, which is ignored like an unknown field. */
        private fun objective(row: SettingsReader): Objective? {
            val kind = ObjectiveKind.entries.firstOrNull { it.name.lowercase() == row.text("kind") } ?: return null
            return Objective(kind, row.optionalText("class"), row.optionalMicros("within_s"))
        }

        private fun team(row: SettingsReader): Team {
            fun cap(field: String) = row.number(field, 0.0, 0.0).let { if (it == 0.0) Double.POSITIVE_INFINITY else it }
            return Team(
                row.text("name"),
                row.number("cpus", 0.0, 0.0),
                cap("cpus_max"),
                row.number("gpus", 0.0, 0.0),
                cap("gpus_max"),
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
    private fun at(field: String) = if (path.isEmpty()) field else "$path.$field"

    private fun fail(
        field: String,
        what: String,
    ): Nothing = throw InvalidSettingsException("${at(field)}: $what, found ${json.getValue(field)}")

    /** The object in a required field. */
    fun obj(field: String) = SettingsReader(json.getValue(field) as? JsonObject ?: fail(field, "an object is needed"), at(field))

    /** The object in an optional field. */
    fun optionalObj(field: String) = if (json.getValue(field) == null) null else obj(field)

    /** A required string that is not empty. */
    fun text(field: String) = (json.getValue(field) as? String)?.takeIf { it.isNotEmpty() } ?: fail(field, "a text is needed")

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
    fun micros(field: String) = (number(field, 0.001) * 1_000_000).toLong()

    /** An optional string. */
    fun optionalText(field: String) = if (json.getValue(field) == null) null else text(field)

    /** An optional duration, given in seconds, in microseconds. */
    fun optionalMicros(field: String) = if (json.getValue(field) == null) null else micros(field)

    /** A required address of the form HOST:PORT. */
    fun address(field: String): Address = parseAddress(text(field)) ?: fail(field, "an address HOST:PORT is needed")

    /** A required list of objects. */
    fun list(field: String): List<SettingsReader> {
        val array = json.getValue(field) as? JsonArray ?: fail(field, "a list is needed")
        return array.mapIndexed { i, row ->
            SettingsReader(row as? JsonObject ?: fail(field, "a list of objects is needed"), "${at(field)}[$i]")
        }
    }

    /** A required list of strings. */
    fun texts(field: String): List<String> {
        val array = json.getValue(field) as? JsonArray ?: fail(field, "a list is needed")
        return array.map { it as? String ?: fail(field, "a list of texts is needed") }
    }
}
