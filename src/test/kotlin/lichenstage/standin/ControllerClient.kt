package lichenstage.standin

import io.vertx.core.json.JsonObject
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Sends requests to the controllers of a loopback deployment, as users and the load balancer do. */
internal class ControllerClient(
    private val deployment: Deployment,
) {
    private val controllers = deployment.zones.indices
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()

    /** Sends a request to a controller and returns its reply, or null if the connection fails or times out. */
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

    /** Returns whether the health check of every controller succeeds. */
    fun areAllHealthy() = controllers.all { statusCode(it, "GET", "/healthz") == 200 }

    /** Submits the job to the controllers in turn, from [firstController] on, and returns whether one has accepted it or already has it. */
    fun submitToAny(
        job: String,
        firstController: Int = 0,
    ) = controllers.any { statusCode((firstController + it) % deployment.zones.size, "POST", "/api/jobs", job) in 200..201 }

    /** Returns the status of the job as the controller reports it, or null if the controller does not reply with status code 200. */
    fun jobStatus(
        controller: Int,
        id: Int,
    ): String? =
        send(controller, "GET", "/api/jobs/j-$id")?.takeIf { it.statusCode() == 200 }?.let { JsonObject(it.body()).getString("status") }

    /** Sends a request to a controller and returns the status code of the reply, or 0 if there is no reply. */
    fun statusCode(
        controller: Int,
        method: String,
        path: String,
        body: String? = null,
    ) = send(controller, method, path, body)?.statusCode() ?: 0
}
