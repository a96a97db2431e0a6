package standin;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeSet;

/** A stand-in for the worker of one machine, written from the protocol page. All of its code runs on one event loop. */
public final class Worker {
    /** What a case sees of the tasks, and what it may do to the messages of a worker. */
    public interface Observer {
        default void onStart(Worker worker, String part, long attempt) {}

        default void onEnd(Worker worker, String part, long attempt, String cause) {}

        /** Returns how long a task of the part runs, in ms. */
        long runMs(String part);

        /** Returns the cores that a task of the part takes. */
        default double cores(String part) {
            return 1.0;
        }

        /** Returns the delay in ms of a direct command, which then gets no answer; null for none. */
        default Long orderDelayMs(Worker worker, JsonObject order) {
            return null;
        }
    }

    public static final class Task {
        public final String part;
        public final long attempt;
        public String status = "running";
        public String cause;
        long timer = -1;

        Task(String part, long attempt) {
            this.part = part;
            this.attempt = attempt;
        }
    }

    /** The settings that all workers share. */
    public record Profile(String build, double cores, long reportMs, long leaseMs, Map<String, Integer> controllerPorts) {}

    private static final Random RANDOM = new Random(1);
    private final Vertx vertx;
    private final HttpClient client;
    private final Profile profile;
    private final Observer observer;
    private final Recorder recorder;
    public final String name;
    public final String yard;
    public final boolean isLoaner;
    public int port;
    public final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
    private final TreeSet<String> results = new TreeSet<>();
    private final List<String> labels;
    private String target;
    private HttpServer server;
    private long tenure = 1;
    private long tally;
    public long warrant;
    private long leaseFromMs;
    private long lastReportMs;
    private long reportTimer = -1;
    private boolean isReportInFlight;
    private long reportNumber;
    public boolean isUp;
    /** While true, answers and direct commands to the worker are lost; its reports arrive. */
    public boolean isDeaf;
    /** While true, its reports reach no controller; direct commands arrive. */
    public boolean isMute;
    private boolean isHung;
    private final ArrayList<Runnable> held = new ArrayList<>();
    private final ArrayList<Socket> fill = new ArrayList<>();
    private ServerSocket silent;
    public Double recallS;
    /** When its worker began to report, in seconds of the record; 0 before that. */
    public double upAtS;

    public Worker(Vertx vertx, HttpClient client, Profile profile, Observer observer, Recorder recorder, String name, String yard,
        boolean isLoaner, int port) {
        this.vertx = vertx;
        this.client = client;
        this.profile = profile;
        this.observer = observer;
        this.recorder = recorder;
        this.name = name;
        this.yard = yard;
        this.isLoaner = isLoaner;
        this.port = port;
        labels = List.copyOf(profile.controllerPorts.keySet());
        target = labels.get(RANDOM.nextInt(labels.size()));
    }

    /** Boots the machine. */
    public void start() {
        isUp = true;
        leaseFromMs = System.currentTimeMillis();
        vertx.createHttpServer().requestHandler(r -> r.bodyHandler(b -> onRequest(r, b))).listen(port, "127.0.0.1")
            .onSuccess(s -> {
                server = s;
                upAtS = recorder.seconds();
                report();
            })
            .onFailure(e -> {
                // Another program took the port in between.
                port = Controllers.freePort();
                start();
            });
    }

    /** The machine is gone, with all that is on it. */
    public void stop() {
        isUp = false;
        dropTasks("gone");
        if (reportTimer >= 0) vertx.cancelTimer(reportTimer);
        if (server != null) fallSilent();
    }

    /** The machine hangs: it runs nothing, sends nothing and answers nothing, but its connections are accepted. */
    public void hang() {
        isHung = true;
    }

    /** The machine goes on: what it had received is handled now, unless its lease is over. */
    public void goOn() {
        isHung = false;
        checkLease();
        ArrayList<Runnable> received = new ArrayList<>(held);
        held.clear();
        received.forEach(Runnable::run);
        report();
    }

    /**
     * From now on connections to the address of the machine hang without an error, as to a machine without power: a socket listens there
     * whose queue of connections is full, and nobody accepts them.
     */
    public void fallSilent() {
        server.close().onComplete(r -> {
            try {
                silent = new ServerSocket();
                silent.setReuseAddress(true);
                silent.bind(new InetSocketAddress("127.0.0.1", port), 1);
                for (int i = 0; i < 2; i++) {
                    Socket socket = new Socket();
                    socket.connect(new InetSocketAddress("127.0.0.1", port), 200);
                    fill.add(socket);
                }
            } catch (IOException e) {
                // Connections to the old server are still being closed.
                if (fill.isEmpty()) vertx.setTimer(300, t -> fallSilent());
            }
        });
    }

    private void dropTasks(String why) {
        for (Task task : tasks.values()) {
            if (task.timer >= 0) vertx.cancelTimer(task.timer);
            if (!task.status.equals("ended")) observer.onEnd(this, task.part, task.attempt, why);
        }
        tasks.clear();
    }

    private boolean isLeaseOver(long nowMs) {
        return nowMs - leaseFromMs > profile.leaseMs;
    }

    /** Ends the session if the lease is over. A case calls this several times a second. */
    public void checkLease() {
        long nowMs = System.currentTimeMillis();
        if (!isUp || isHung || !isLeaseOver(nowMs)) return;
        recorder.line("WORKER " + name + " lease over, session " + (tenure + 1) + " begins");
        dropTasks("lease");
        tenure++;
        leaseFromMs = nowMs;
        changed();
    }

    public JsonObject state() {
        JsonArray parts = new JsonArray();
        for (Task t : tasks.values()) {
            JsonObject json = new JsonObject().put("part", t.part).put("try", t.attempt).put("status", t.status);
            parts.add(t.cause == null ? json : json.put("cause", t.cause));
        }
        return new JsonObject().put("holdfast", name).put("addr", "127.0.0.1:" + port).put("build", profile.build)
            .put("yard", yard).put("loaners", isLoaner).put("tenure", tenure).put("tally", ++tally).put("warrant", warrant)
            .put("recall_s", recallS).put("parts", parts);
    }

    private void changed() {
        scheduleReport(Math.max(1, lastReportMs + 500 - System.currentTimeMillis()));
    }

    private void scheduleReport(long delayMs) {
        if (reportTimer >= 0) vertx.cancelTimer(reportTimer);
        reportTimer = vertx.setTimer(delayMs, t -> report());
    }

    private void report() {
        if (!isUp || isReportInFlight || isHung) return;
        checkLease();
        long sentMs = System.currentTimeMillis();
        lastReportMs = sentMs;
        long sentTenure = tenure;
        long number = ++reportNumber;
        isReportInFlight = true;
        // Four seconds without an answer: the report is given up, and an answer that comes later is dropped.
        vertx.setTimer(4000, t -> {
            if (isReportInFlight && number == reportNumber) onAnswer(number, sentMs, sentTenure, 0, null);
        });
        if (isMute) return;
        Buffer body = state().toBuffer();
        client.request(new RequestOptions().setMethod(HttpMethod.POST).setHost("127.0.0.1")
                .setPort(profile.controllerPorts.get(target)).setURI("/agent/beat").setConnectTimeout(4000))
            .compose(r -> r.send(body))
            .compose(r -> r.body().map(b -> Map.entry(r.statusCode(), b)))
            .onComplete(r -> {
                if (isDeaf || isHung) return;
                if (r.succeeded()) onAnswer(number, sentMs, sentTenure, r.result().getKey(), r.result().getValue());
                else onAnswer(number, sentMs, sentTenure, 0, null);
            });
    }

    private void onAnswer(long number, long sentMs, long sentTenure, int status, Buffer body) {
        if (!isUp || !isReportInFlight || number != reportNumber) return;
        isReportInFlight = false;
        checkLease();
        String next = labels.get((labels.indexOf(target) + 1) % labels.size());
        if (status == 200) {
            scheduleReport((long) (profile.reportMs * (0.75 + RANDOM.nextDouble() / 2)));
            JsonObject json = new JsonObject(body);
            Long token = json.getLong("warrant");
            if (sentTenure != tenure || token == null || token < warrant) return;
            leaseFromMs = Math.max(leaseFromMs, sentMs);
            boolean isTokenNew = token > warrant;
            warrant = token;
            execute(json.getJsonArray("orders", new JsonArray()));
            if (isTokenNew) changed();
        } else if (status == 421 && labels.contains(new JsonObject(body).getString("steward"))
            && !new JsonObject(body).getString("steward").equals(target)) {
            target = new JsonObject(body).getString("steward");
            scheduleReport(1 + RANDOM.nextInt(400));
        } else {
            target = next;
            scheduleReport(1000);
        }
    }

    private void onRequest(HttpServerRequest request, Buffer body) {
        if (!isUp || isDeaf) return;
        if (isHung) {
            held.add(() -> onRequest(request, body));
            return;
        }
        if (request.path().equals("/status")) {
            request.response().end(state().toBuffer());
            return;
        }
        JsonObject order = new JsonObject(body);
        Long delayMs = observer.orderDelayMs(this, order);
        if (delayMs != null) {
            vertx.setTimer(Math.max(1, delayMs), t -> {
                if (isUp) onOrder(order);
            });
            return;
        }
        int status = onOrder(order);
        JsonObject state = state();
        if (!request.response().ended() && !request.response().closed()) request.response().setStatusCode(status).end(state.toBuffer());
    }

    private int onOrder(JsonObject order) {
        checkLease();
        Long token = order.getLong("warrant");
        Long session = order.getLong("tenure");
        if (token == null || session == null) return 400;
        if (token < warrant || session != tenure) return 409;
        boolean isTokenNew = token > warrant;
        warrant = token;
        execute(order.getJsonArray("orders", new JsonArray()));
        if (isTokenNew) changed();
        return 200;
    }

    private void execute(JsonArray orders) {
        for (Object o : orders) {
            JsonObject command = (JsonObject) o;
            String part = command.getString("part");
            long attempt = command.getLong("try");
            Task task = tasks.get(part + "#" + attempt);
            switch (command.getString("verb")) {
                case "start" -> startTask(part, attempt);
                case "stop" -> {
                    if (task != null && !task.status.equals("ended")) end(task, "halted");
                }
                case "clear" -> {
                    if (task != null && task.status.equals("ended")) tasks.remove(part + "#" + attempt);
                }
                default -> { }
            }
        }
    }

    private void startTask(String part, long attempt) {
        String key = part + "#" + attempt;
        if (tasks.containsKey(key)) return;
        Task task = new Task(part, attempt);
        boolean isBusy = tasks.values().stream().anyMatch(t -> t.part.equals(part) && !t.status.equals("ended"));
        double used = tasks.values().stream().filter(t -> !t.status.equals("ended")).mapToDouble(t -> observer.cores(t.part)).sum();
        tasks.put(key, task);
        if (results.contains(part)) {
            task.status = "ended";
            task.cause = "done";
        } else if (isBusy || used + observer.cores(part) > profile.cores + 1e-6) {
            task.status = "ended";
            task.cause = isBusy ? "busy" : "no_room";
        } else {
            observer.onStart(this, part, attempt);
            task.timer = vertx.setTimer(Math.max(1, observer.runMs(part)), t -> {
                if (isHung) held.add(() -> finish(key, task));
                else finish(key, task);
            });
        }
        changed();
    }

    private void finish(String key, Task task) {
        if (tasks.get(key) != task || task.status.equals("ended")) return;
        results.add(task.part);
        end(task, "done");
    }

    private void end(Task task, String cause) {
        if (task.timer >= 0) vertx.cancelTimer(task.timer);
        task.status = "ended";
        task.cause = cause;
        observer.onEnd(this, task.part, task.attempt, cause);
        changed();
    }
}
