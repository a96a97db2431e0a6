package lichenstage.cloud

import io.vertx.core.Vertx
import io.vertx.core.http.HttpMethod
import io.vertx.core.json.JsonObject
import lichenstage.common.Address
import lichenstage.common.HttpStatus
import lichenstage.common.JsonHttpClient
import lichenstage.common.decodeOrNull
import lichenstage.model.MachineType
import org.slf4j.LoggerFactory

/** A client of the cloud's HTTP API. Callers are responsible for retries and rate limits. */
class CloudClient(
    vertx: Vertx,
    address: Address,
) : Cloud {
    private val log = LoggerFactory.getLogger("lichenstage.app")
    private val http = JsonHttpClient(vertx, address, maxConnections = MAX_CONNECTIONS, maxQueuedRequests = MAX_QUEUED_REQUESTS)

    override suspend fun listMachineTypes(): CloudReply<List<MachineType>> =
        read(CloudCodec.MACHINE_TYPES_PATH) { CloudCodec.decodeMachineTypes(it) }

    override suspend fun listMachines(after: String?): CloudReply<MachinePage> =
        read(CloudCodec.listPath(after)) { CloudCodec.decodePage(it) }

    override suspend fun provision(request: ProvisionRequest): ProvisionResult {
        val body = CloudCodec.encodeProvision(request)
        val response =
            http.call(HttpMethod.POST, CloudCodec.PROVISION_PATH, body, REQUEST_TIMEOUT_MS) ?: return ProvisionResult.Indeterminate
        return decode { CloudCodec.decodeProvision(response.status, response.body) } ?: ProvisionResult.Indeterminate
    }

    override suspend fun terminate(machines: List<String>): TerminateResult {
        val response = http.call(HttpMethod.POST, CloudCodec.TERMINATE_PATH, CloudCodec.encodeTerminate(machines), REQUEST_TIMEOUT_MS)
        return if (response?.status == HttpStatus.OK) TerminateResult.TERMINATED else TerminateResult.INDETERMINATE
    }

    private suspend fun <T : Any> read(
        path: String,
        decodeBody: (JsonObject) -> T,
    ): CloudReply<T> {
        val (status, body) = http.call(HttpMethod.GET, path, null, REQUEST_TIMEOUT_MS) ?: return CloudReply.Unavailable
        if (status != HttpStatus.OK) return CloudReply.Refused(status)
        return decode { CloudReply.Success(decodeBody(body)) } ?: CloudReply.Unavailable
    }

    /** Returns null if the response does not have the form that the protocol requires. Callers treat it like a missing response. */
    private inline fun <T : Any> decode(decodeResponse: () -> T): T? =
        decodeOrNull({ log.info("Cloud reply not decodable reason={}", it.message) }, decodeResponse)

    companion object {
        /** The largest number of connections that this client opens. */
        const val MAX_CONNECTIONS = 2
        private const val MAX_QUEUED_REQUESTS = 4
        private const val REQUEST_TIMEOUT_MS = 4000L
    }
}
