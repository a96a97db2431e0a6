package lichenstage.model

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject

/**
 * A machine as the state service records it.
 *
 * @property name the machine's name; names are given in the order in which machines are provisioned
 * @property typeName the name of its [MachineType]
 * @property zone the zone in which it runs
 * @property spot it is a spot instance
 * @property address where its worker takes orders, as `host:port`
 */
data class RegisteredMachine(
    val name: String,
    val typeName: String,
    val zone: String,
    val spot: Boolean,
    val address: String,
)

/** The records of machines in the state service: keys `m/PAGE`, each with several machines. */
object MachineRecordCodec {
    /** Prefix of the keys. */
    const val PREFIX = "m/"
    private const val MACHINES = "machines"

    /** The value of a page. */
    fun encode(machines: List<RegisteredMachine>): JsonObject =
        JsonObject().put(
            MACHINES,
            JsonArray(
                machines.map {
                    JsonArray()
                        .add(it.name)
                        .add(it.typeName)
                        .add(it.zone)
                        .add(it.spot)
                        .add(it.address)
                },
            ),
        )

    /** The machines on a page. */
    fun decode(value: JsonObject): List<RegisteredMachine> =
        value.getJsonArray(MACHINES).map { it as JsonArray }.map {
            RegisteredMachine(it.getString(0), it.getString(1), it.getString(2), it.getBoolean(3), it.getString(4))
        }
}
