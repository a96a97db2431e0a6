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
 * @property isSpot it is a spot instance
 * @property address where its worker takes orders, as `host:port`
 */
data class RegisteredMachine(
    val name: String,
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
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
                        .add(it.isSpot)
                        .add(it.address)
                },
            ),
        )

    /** The machines on a page. Throws [JsonDecodingException] at the first one that can't be read. */
    fun decode(value: JsonObject): List<RegisteredMachine> {
        val rows = value.getValue(MACHINES) as? JsonArray ?: throw JsonDecodingException(MACHINES, "a list")
        return rows.mapIndexed { index, row -> decodeMachine(row as? JsonArray, "$MACHINES[$index]") }
    }

    private fun decodeMachine(
        row: JsonArray?,
        field: String,
    ): RegisteredMachine {
        if (row == null || row.size() < FIELD_COUNT || row.any { it == null }) throw JsonDecodingException(field, EXPECTED_ROW)
        val isSpot = row.getValue(SPOT_INDEX) as? Boolean ?: throw JsonDecodingException(field, EXPECTED_ROW)
        return RegisteredMachine(row.getString(0), row.getString(1), row.getString(2), isSpot, row.getString(ADDRESS_INDEX))
    }

    private const val EXPECTED_ROW = "a list of name, type, zone, whether it is a spot instance, and address"
    private const val FIELD_COUNT = 5
    private const val SPOT_INDEX = 3
    private const val ADDRESS_INDEX = 4
}
