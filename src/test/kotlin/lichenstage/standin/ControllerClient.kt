package lichenstage.standin

import io.vertx.core.json.JsonObject
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Sends requests to the controllers of a deployment on loopback, as users and the load balancer do. */
internal class ControllerClient(
    private val deployment: Deployment,
) {
    private val controllers = deployment.zones.indices
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()

    /** The answer of a controller, or null where it does not answer. */
    fun send(
        controller: Int,
        method: String,
        path: String,
        body: String? = null,
    ): HttpResponse<String>? =
        try {
            val publisher = if (body == null) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofString(body)
            val request =
                HttpRequest
                    .newBuilder(
                        URI("http://$LOOPBACK:${deployment.servePorts[controller]}$path"),
                    ).timeout(Duration.ofSeconds(5))
            http.send(request.method(method, publisher).build(), HttpResponse.BodyHandlers.ofString())
        } catch (_: java.io.IOException) {
            null
        }

    /** Whether all say that they can take requests. */
    fun allHealthy() = controllers.all { statusCode(it, "GET", "/healthz") == 200 }

    /** One of the controllers, tried from [firstController] on, has accepted the job or knows it. */
    fun submitToAny(
        job: String,
        firstController: Int = 0,
    ) = controllers.any { statusCode((firstController + it) % deployment.zones.size, "POST", "/api/jobs", job) in 200..201 }

    /** The status of the job as a controller answers it; null where it does not. */
    fun jobStatus(
        controller: Int,
        id: Int,
    ): String? =
        send(controller, "GET", "/api/jobs/j-$id")?.takeIf { it.statusCode() == 200 }?.let { JsonObject(it.body()).getString("status") }

    /** The status code of its answer; 0 where it does not answer. */
    fun statusCode(
        controller: Int,
        method: String,
        path: String,
        body: String? = null,
    ) = send(controller, method, path, body)?.statusCode() ?: 0
}
