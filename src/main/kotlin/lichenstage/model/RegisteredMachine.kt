package lichenstage.model

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException

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

    /** The machines on a page. Throws [JsonDecodingException] at the first one that can't be read. */
    fun decode(value: JsonObject): List<RegisteredMachine> {
        val rows = value.getValue(MACHINES) as? JsonArray ?: throw JsonDecodingException(MACHINES, "a list")
        return rows.mapIndexed { index, row -> machine(row as? JsonArray, "$MACHINES[$index]") }
    }

    private fun machine(
        row: JsonArray?,
        field: String,
    ): RegisteredMachine {
        if (row == null || row.size() < FIELDS || row.any { it == null }) throw JsonDecodingException(field, MACHINE_FORM)
        val spot = row.getValue(SPOT) as? Boolean ?: throw JsonDecodingException(field, MACHINE_FORM)
        return RegisteredMachine(row.getString(0), row.getString(1), row.getString(2), spot, row.getString(ADDRESS))
    }

    private const val MACHINE_FORM = "a list of name, type, zone, whether it is a spot instance, and address"
    private const val FIELDS = 5
    private const val SPOT = 3
    private const val ADDRESS = 4
}
