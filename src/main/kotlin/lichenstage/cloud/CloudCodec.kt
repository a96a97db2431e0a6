package lichenstage.cloud

import io.vertx.core.json.JsonArray
import io.vertx.core.json.JsonObject
import lichenstage.common.HttpStatus
import lichenstage.common.SECOND
import lichenstage.common.optionalBoolean
import lichenstage.common.optionalDouble
import lichenstage.common.requiredDouble
import lichenstage.common.requiredObjects
import lichenstage.common.requiredString
import lichenstage.common.requiredStrings
import lichenstage.model.MachineType
import lichenstage.model.Resources

/**
 * The paths and JSON documents of the cloud's HTTP API. No other class contains the names that this API uses.
 *
 * Decoding throws [lichenstage.common.JsonDecodingException] if a document does not have the expected form.
 */
internal object CloudCodec {
    const val MACHINE_TYPES_PATH = "/flavors"
    const val PROVISION_PATH = "/hosts"
    const val TERMINATE_PATH = "/hosts/return"
    private const val PAGE_SIZE = 500
    private const val DEFAULT_FETCH_GB_PER_S = 1.0
    private const val TYPES = "builds"
    private const val TYPE = "build"
    private const val MACHINES = "holdfasts"
    private const val ZONE = "yard"
    private const val SPOT = "loaners"
    private const val PRICE = "hourly"
    private const val ERROR = "error"
    private const val NO_CAPACITY = "no capacity"

    /** Returns the path of the page whose machine names follow [after], or of the first page if [after] is null. */
    fun listPath(after: String?): String {
        val since = if (after == null) "" else "since=$after&"
        return "/hosts?${since}most=$PAGE_SIZE"
    }

    fun encodeProvision(request: ProvisionRequest): JsonObject =
        JsonObject()
            .put("hire", request.name)
            .put(TYPE, request.typeName)
            .put(ZONE, request.zone)
            .put(SPOT, request.isSpot)
            .put("number", request.count)

    fun encodeTerminate(machines: List<String>): JsonObject = JsonObject().put(MACHINES, JsonArray(machines))

    fun decodeProvision(
        status: Int,
        body: JsonObject,
    ): ProvisionResult =
        when {
            status == HttpStatus.OK -> ProvisionResult.Provisioned(body.requiredStrings(MACHINES))
            status == HttpStatus.SERVICE_UNAVAILABLE && body.getString(ERROR) == NO_CAPACITY -> ProvisionResult.NoCapacity
            status == HttpStatus.BAD_REQUEST -> ProvisionResult.NoCapacity
            else -> ProvisionResult.Indeterminate
        }

    fun decodeMachineTypes(body: JsonObject): List<MachineType> = body.requiredObjects(TYPES).map(::decodeMachineType)

    private fun decodeMachineType(row: JsonObject) =
        MachineType(
            row.requiredString("name"),
            Resources(row.requiredDouble("cores"), row.optionalDouble("cards") ?: 0.0, row.requiredDouble("mem_gb")),
            row.requiredDouble(PRICE),
            row.optionalDouble("low_price") ?: row.requiredDouble(PRICE),
            (row.requiredDouble("boot_s") * SECOND).toLong(),
            row.optionalDouble("cache_gb")?.takeIf { it > 0 } ?: Double.POSITIVE_INFINITY,
            row.optionalDouble("pull_gb_per_s")?.takeIf { it > 0 } ?: DEFAULT_FETCH_GB_PER_S,
            row.requiredStrings("yards"),
        )

    fun decodePage(body: JsonObject) =
        MachinePage(body.requiredObjects(MACHINES).map(::decodeMachine), body.optionalBoolean("truncated") ?: false)

    private fun decodeMachine(row: JsonObject) =
        ListedMachine(
            row.requiredString("uid"),
            row.requiredString(TYPE),
            row.requiredString(ZONE),
            row.optionalBoolean(SPOT) ?: false,
            decodeStatus(row.requiredString("status")),
            ((row.optionalDouble("age_s") ?: 0.0) * SECOND).toLong(),
        )

    private fun decodeStatus(status: String) =
        when (status) {
            "starting" -> ListedStatus.STARTING
            "running" -> ListedStatus.RUNNING
            "failed" -> ListedStatus.FAILED
            else -> ListedStatus.OTHER
        }
}
