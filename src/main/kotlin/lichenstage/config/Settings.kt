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

/** A team's share. A limit of 0 in the file means that there is none; here that is infinity. */
data class Team(
    val name: String,
    val cores: Double,
    val coresMax: Double,
    val gpus: Double,
    val gpusMax: Double,
)

/** What an objective is about: when a job is done or its tasks start. */
enum class ObjectiveKind { DEADLINE, WAIT, FINISHED, GUARANTEE }

/** What users were promised for a class of jobs. */
data class Objective(
    val kind: ObjectiveKind,
    val jobClass: String?,
    val withinUs: Long?,
)

/** The platform's file, checked. Durations are whole microseconds. */
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
    /** Within this time of a confirmed cancellation no task of the job may be left. */
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
    /** The part of one core that the process gets. */
    val coreShare: Double,
) {
    /** How the machines are partitioned among the controllers. */
    val assignment by lazy { PartitionAssignment(zones, peers.associate { it.label to it.zone } + (label to zone)) }

    companion object {
        /** Reads the platform's file; unknown fields are ignored, wrong ones are named. */
        fun parse(text: String): Settings {
            val root = Fields(runCatching { JsonObject(text) }.getOrElse { throw InvalidSettingsException("not a JSON object") }, "")
            val settings = root.obj("settings")
            val workers = settings.obj("workers")
            val state = settings.obj("state")
            // The limits that the state service will have one day without notice hold from the start, where they are the smaller ones.
            val next = state.optionalObj("next")

            fun limit(
                field: String,
                least: Double,
                default: Double? = null,
            ) = state.number(field, least, default).let { minOf(it, next?.number(field, least, it) ?: it) }
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

        /** Kinds that aren't known yet are passed over, like unknown fields. */
        private fun objective(row: Fields): Objective? {
            val kind = ObjectiveKind.entries.firstOrNull { it.name.lowercase() == row.text("kind") } ?: return null
            return Objective(kind, row.optionalText("class"), row.optionalMicros("within_s"))
        }

        private fun team(row: Fields): Team {
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

/** A settings file that can't be used; the message names the path and the value. */
class InvalidSettingsException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** One object of a settings file with its path, so that every complaint can name the place. */
class Fields(
    private val json: JsonObject,
    private val path: String,
) {
    private fun at(field: String) = if (path.isEmpty()) field else "$path.$field"

    private fun fail(
        field: String,
        what: String,
    ): Nothing = throw InvalidSettingsException("${at(field)}: $what, found ${json.getValue(field)}")

    /** The object in a field that has to be there. */
    fun obj(field: String) = Fields(json.getValue(field) as? JsonObject ?: fail(field, "an object is needed"), at(field))

    /** The object in a field, or null. */
    fun optionalObj(field: String) = if (json.getValue(field) == null) null else obj(field)

    /** A text that is not empty. */
    fun text(field: String) = (json.getValue(field) as? String)?.takeIf { it.isNotEmpty() } ?: fail(field, "a text is needed")

    /** A number of at least [least], or [default] where the field is missing. */
    fun number(
        field: String,
        least: Double,
        default: Double? = null,
    ): Double {
        val value = json.getValue(field) ?: default ?: fail(field, "a number is needed")
        val number = (value as? Number)?.toDouble()
        return number?.takeIf { it.isFinite() && it >= least } ?: fail(field, "a number of at least $least is needed")
    }

    /** A duration in seconds, as microseconds. */
    fun micros(field: String) = (number(field, 0.001) * 1_000_000).toLong()

    /** A text, or null. */
    fun optionalText(field: String) = if (json.getValue(field) == null) null else text(field)

    /** A duration in seconds as microseconds, or null. */
    fun optionalMicros(field: String) = if (json.getValue(field) == null) null else micros(field)

    /** An address of the form HOST:PORT. */
    fun address(field: String): Address = parseAddress(text(field)) ?: fail(field, "an address HOST:PORT is needed")

    /** A list of objects. */
    fun list(field: String): List<Fields> {
        val array = json.getValue(field) as? JsonArray ?: fail(field, "a list is needed")
        return array.mapIndexed { i, row ->
            Fields(row as? JsonObject ?: fail(field, "a list of objects is needed"), "${at(field)}[$i]")
        }
    }

    /** A list of texts. */
    fun texts(field: String): List<String> {
        val array = json.getValue(field) as? JsonArray ?: fail(field, "a list is needed")
        return array.map { it as? String ?: fail(field, "a list of texts is needed") }
    }
}
