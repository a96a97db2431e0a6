package lichenstage.model

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.JsonDecodingException

/**
 * A machine that is recorded in the state service.
 *
 * @property name the name of the machine; names increase in the order in which machines are provisioned
 * @property typeName the name of the machine's [MachineType]
 * @property zone the zone of the machine
 * @property isSpot whether the machine is a spot machine
 * @property address the address at which its worker takes direct orders, as `host:port`
 */
data class RegisteredMachine(
    val name: String,
    val typeName: String,
    val zone: String,
    val isSpot: Boolean,
    val address: String,
)

/** The codec for the machine records in the state service. Each key `m/CHUNK` holds one registry chunk, a list of several machines. */
object MachineRecordCodec {
    /** The prefix of the keys. */
    const val PREFIX = "m/"
    private const val MACHINES = "machines"

    /** Returns the record of a registry chunk. */
    fun encode(machines: List<RegisteredMachine>): JsonObject = JsonObject().put(MACHINES, JsonArray(machines.map(::encodeMachine)))

    private fun encodeMachine(machine: RegisteredMachine) =
        JsonArray()
            .add(machine.name)
            .add(machine.typeName)
            .add(machine.zone)
            .add(machine.isSpot)
            .add(machine.address)

    /** Returns the size of a machine in the record of a chunk, with a separator, in bytes. */
    fun encodedBytes(machine: RegisteredMachine): Int = encodeMachine(machine).toBuffer().length() + 1

    /** Returns the machines of a registry chunk. Throws [JsonDecodingException] for the first machine that is malformed. */
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

    /** The size of the record of a chunk without machines, in bytes. */
    val EMPTY_CHUNK_BYTES = encode(emptyList()).toBuffer().length()
    private const val EXPECTED_ROW = "a list of name, type, zone, whether it is a spot machine, and address"
    private const val FIELD_COUNT = 5
    private const val SPOT_INDEX = 3
    private const val ADDRESS_INDEX = 4
}
