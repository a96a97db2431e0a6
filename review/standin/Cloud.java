package standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.LongSupplier;

/** A stand-in for the cloud, written from the protocol page, with one machine type. */
public final class Cloud {
    /** Creates the worker of a new machine; it is started when the machine is up. */
    public interface WorkerFactory {
        Worker create(String name, String yard, boolean isLoaner);
    }

    private static final class Host {
        final Worker worker;
        final long createdMs = System.currentTimeMillis();
        long upMs = Long.MAX_VALUE;
        long goneMs = Long.MAX_VALUE;

        Host(Worker worker) {
            this.worker = worker;
        }
    }

    private final Vertx vertx;
    private final Recorder recorder;
    private final List<String> yards;
    private final JsonObject flavor;
    private final long lagMs;
    private final double rps;
    private final WorkerFactory factory;
    private final LinkedHashMap<String, Host> hosts = new LinkedHashMap<>();
    private final HashMap<String, JsonArray> hires = new HashMap<>();
    private double budget;
    private long budgetAtMs = System.currentTimeMillis();
    /** The largest number of machines in a yard. */
    public int capacity = Integer.MAX_VALUE;
    /** The time in ms that the next machine takes to boot. */
    public LongSupplier bootMs = () -> 1000;
    public int rented;

    public Cloud(Vertx vertx, Recorder recorder, List<String> yards, JsonObject flavor, double rps, long lagMs, WorkerFactory factory) {
        this.vertx = vertx;
        this.recorder = recorder;
        this.yards = yards;
        this.flavor = flavor.copy().put("yards", new JsonArray(yards));
        this.rps = rps;
        this.lagMs = lagMs;
        this.factory = factory;
        budget = 2 * rps;
        vertx.setPeriodic(200, t -> hosts.values().forEach(h -> h.worker.checkLease()));
    }

    public void listen(int port) {
        vertx.createHttpServer().requestHandler(r -> r.bodyHandler(b -> route(r, b.length() == 0 ? null : new JsonObject(b))))
            .listen(port, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    public List<Worker> workers() {
        return hosts.values().stream().filter(h -> h.goneMs == Long.MAX_VALUE).map(h -> h.worker).toList();
    }

    public Worker worker(String name) {
        return hosts.get(name).worker;
    }

    /** Rents a machine without a request. Must run on the event loop. */
    public Worker boot(String yard, boolean isLoaner, long delayMs) {
        String name = String.format("vm-%06d", hosts.size() + 1);
        Host host = new Host(factory.create(name, yard, isLoaner));
        hosts.put(name, host);
        vertx.setTimer(Math.max(1, delayMs), t -> {
            if (host.goneMs != Long.MAX_VALUE) return;
            host.upMs = System.currentTimeMillis();
            host.worker.start();
        });
        return host.worker;
    }

    /** The machine is taken or stops, with all that is on it. */
    public void take(String name) {
        Host host = hosts.get(name);
        if (host == null || host.goneMs != Long.MAX_VALUE) return;
        host.goneMs = System.currentTimeMillis();
        host.worker.stop();
    }

    private void route(HttpServerRequest request, JsonObject body) {
        long nowMs = System.currentTimeMillis();
        budget = Math.min(2 * rps, budget + (nowMs - budgetAtMs) / 1000.0 * rps);
        budgetAtMs = nowMs;
        if (budget < 1) {
            request.response().setStatusCode(429).end("{}");
            return;
        }
        budget -= 1;
        switch (request.path()) {
            case "/flavors" -> request.response().end(new JsonObject().put("builds", new JsonArray().add(flavor)).encode());
            case "/hosts/return" -> {
                body.getJsonArray("holdfasts").forEach(n -> take((String) n));
                recorder.line("CLOUD returned " + body.getJsonArray("holdfasts").encode());
                request.response().end("{}");
            }
            default -> {
                if (body == null) list(request);
                else hire(request, body);
            }
        }
    }

    private void hire(HttpServerRequest request, JsonObject body) {
        JsonArray names = hires.get(body.getString("hire"));
        if (names == null) {
            String yard = body.getString("yard");
            long present = hosts.values().stream().filter(h -> h.goneMs == Long.MAX_VALUE && h.worker.yard.equals(yard)).count();
            int number = (int) Math.min(Math.min(50, body.getInteger("number")), capacity - present);
            if (number <= 0) {
                request.response().setStatusCode(503).end("{\"error\":\"no capacity\"}");
                return;
            }
            names = new JsonArray();
            for (int i = 0; i < number; i++) names.add(boot(yard, body.getBoolean("loaners"), bootMs.getAsLong()).name);
            hires.put(body.getString("hire"), names);
            rented += number;
            recorder.line("CLOUD rented " + number + " in " + yard + " by " + body.getString("hire") + ", first " + names.getString(0));
        }
        request.response().end(new JsonObject().put("holdfasts", names).encode());
    }

    private void list(HttpServerRequest request) {
        long asOfMs = System.currentTimeMillis() - lagMs;
        String since = request.getParam("since") == null ? "" : request.getParam("since");
        int most = request.getParam("most") == null ? 500 : Math.min(500, Integer.parseInt(request.getParam("most")));
        JsonArray page = new JsonArray();
        boolean truncated = false;
        for (Map.Entry<String, Host> e : hosts.entrySet()) {
            Host h = e.getValue();
            if (e.getKey().compareTo(since) <= 0 || h.createdMs > asOfMs || h.goneMs <= asOfMs) continue;
            if (page.size() >= most) {
                truncated = true;
                break;
            }
            page.add(new JsonObject().put("uid", e.getKey()).put("addr", "127.0.0.1:" + h.worker.port).put("build", flavor.getString("name"))
                .put("yard", h.worker.yard).put("loaners", h.worker.isLoaner)
                .put("status", h.upMs <= asOfMs ? "running" : "starting").put("age_s", (asOfMs - h.createdMs) / 1000.0));
        }
        request.response().end(new JsonObject().put("holdfasts", page).put("truncated", truncated).encode());
    }
}
