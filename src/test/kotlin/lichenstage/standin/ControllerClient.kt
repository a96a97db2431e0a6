package lichenstage.standin

import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.time.Duration

/** Asks the controllers of a deployment on loopback, as users and the load balancer do. */
internal class ControllerClient(
    private val deployment: Deployment,
) {
    private val http = HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(2)).build()

    /** The answer of a controller, or null where it does not answer. */
    fun answer(
        node: Int,
        method: String,
        path: String,
        body: String? = null,
    ): HttpResponse<String>? =
        try {
            val publisher = if (body == null) HttpRequest.BodyPublishers.noBody() else HttpRequest.BodyPublishers.ofString(body)
            val request = HttpRequest.newBuilder(URI("http://127.0.0.1:${deployment.serve[node]}$path")).timeout(Duration.ofSeconds(5))
            http.send(request.method(method, publisher).build(), HttpResponse.BodyHandlers.ofString())
        } catch (_: java.io.IOException) {
            null
        }

    /** Its status, 0 where it does not answer. */
    fun status(
        node: Int,
        method: String,
        path: String,
        body: String? = null,
    ) = answer(node, method, path, body)?.statusCode() ?: 0
}
