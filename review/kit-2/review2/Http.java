package review2;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** Small helpers for HTTP and JSON on loopback. */
final class Http {
    static final String HOST = "127.0.0.1";
    private static final int FIRST_PORT = 12_000;
    private static final int LAST_PORT = 31_000;
    private static final Set<Integer> PORTS = ConcurrentHashMap.newKeySet();
    private static final ExecutorService POOL =
            Executors.newCachedThreadPool(
                    task -> {
                        Thread thread = new Thread(task);
                        thread.setDaemon(true);
                        return thread;
                    });

    private Http() {}

    /** An answer; the status is 0 if none came. */
    record Answer(int status, JsonObject body) {}

    interface Handler {
        Answer handle(String method, URI uri, JsonObject body) throws Exception;
    }

    /** Returns a free port below those that systems give to outgoing connections, so that none of these takes it before it is used. */
    static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(HOST))) {
                if (PORTS.add(socket.getLocalPort())) return socket.getLocalPort();
            } catch (BindException e) {
                // Another program has it.
            }
        }
    }

    static HttpClient client() {
        return HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofMillis(1500))
                .executor(POOL)
                .build();
    }

    static Answer call(HttpClient client, String method, int port, String path, String body, long timeoutMs) {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + HOST + ":" + port + path))
                            .timeout(Duration.ofMillis(timeoutMs))
                            .method(
                                    method,
                                    body == null
                                            ? HttpRequest.BodyPublishers.noBody()
                                            : HttpRequest.BodyPublishers.ofString(body))
                            .build();
            HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
            JsonObject json;
            try {
                json = response.body().isEmpty() ? new JsonObject() : new JsonObject(response.body());
            } catch (RuntimeException e) {
                json = new JsonObject().put("text", response.body());
            }
            return new Answer(response.statusCode(), json);
        } catch (IOException e) {
            return new Answer(0, new JsonObject().put("failure", String.valueOf(e.getMessage())));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return new Answer(0, new JsonObject());
        }
    }

    /** Starts a server. A handler that returns null leaves the request without an answer and closes its connection. */
    static HttpServer serve(int port, Handler handler) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress(HOST, port), 200);
        server.setExecutor(POOL);
        server.createContext("/", exchange -> answer(exchange, handler));
        server.start();
        return server;
    }

    private static void answer(HttpExchange exchange, Handler handler) {
        try {
            byte[] bytes = exchange.getRequestBody().readAllBytes();
            String text = new String(bytes, StandardCharsets.UTF_8);
            JsonObject body = text.isEmpty() ? new JsonObject() : new JsonObject(text);
            Answer answer = handler.handle(exchange.getRequestMethod(), exchange.getRequestURI(), body);
            if (answer != null) {
                byte[] reply = answer.body().encode().getBytes(StandardCharsets.UTF_8);
                exchange.getResponseHeaders().set("Content-Type", "application/json");
                exchange.sendResponseHeaders(answer.status(), reply.length);
                exchange.getResponseBody().write(reply);
            }
        } catch (Exception e) {
            // The caller has gone, or the case is over.
        } finally {
            exchange.close();
        }
    }

    /** Returns a parameter of the query, or null. */
    static String param(URI uri, String name) {
        if (uri.getRawQuery() == null) return null;
        for (String pair : uri.getRawQuery().split("&")) {
            if (pair.startsWith(name + "=")) return pair.substring(name.length() + 1);
        }
        return null;
    }
}
