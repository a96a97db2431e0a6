package review2;

import com.sun.net.httpserver.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import review2.Http.Answer;

/** A machine with its worker, after the protocol: reports, commands, tokens, sessions, image fetches and tasks. */
final class Worker {
    private static final class Task {
        final String part;
        final long number;
        final World.Job job;
        String status = "pulling";
        String cause;
        double startedAt = -1;

        Task(String part, long number, World.Job job) {
            this.part = part;
            this.number = number;
            this.job = job;
        }
    }

    final String name;
    final String build;
    final String zone;
    final boolean isSpot;
    private final int factor;
    final double createdAt;
    private final World world;
    private final int port;
    private final HttpClient client = Http.client();
    private final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
    private final Map<String, Double> imageReadyAt = new LinkedHashMap<>();
    private HttpServer server;
    private int target;
    private long warrant = 0;
    private long tenure = 1;
    private long tally = 0;
    private volatile double leaseFrom;
    private boolean hasChanged;
    /** Until when the machine hangs: it does nothing, and what arrives waits. */
    private volatile double hangsUntil = -1;
    /** Until when its network holds all packets. */
    private volatile double cutUntil = -1;
    /** Whether every task fails on this machine. */
    volatile boolean isFaulty = false;
    volatile boolean isUp = false;
    volatile boolean isGone = false;
    volatile double goneAt = Double.MAX_VALUE;
    volatile double upAt = Double.MAX_VALUE;

    Worker(World world, String name, String build, String zone, boolean isSpot, int factor) throws Exception {
        this.build = build;
        this.factor = factor;
        this.world = world;
        this.name = name;
        this.zone = zone;
        this.isSpot = isSpot;
        this.createdAt = world.now();
        this.port = Http.freePort();
        this.target = Math.floorMod(name.hashCode(), world.labels.size());
    }

    String address() {
        return Http.HOST + ":" + port;
    }

    /** Boots after a delay. */
    void boot(double delayS) {
        Thread thread = new Thread(() -> run(delayS), name);
        thread.setDaemon(true);
        thread.start();
    }

    boolean isLeaseOver() {
        return world.now() - leaseFrom > world.leaseS;
    }

    void hang(double seconds) {
        world.record.line("machine %s hangs for %.0f s", name, seconds);
        hangsUntil = world.now() + seconds;
    }

    void cut(double seconds) {
        world.record.line("machine %s cut off for %.0f s, packets held", name, seconds);
        cutUntil = world.now() + seconds;
    }

    private void awaitEnd(java.util.function.DoubleSupplier until) throws InterruptedException {
        while (world.now() < until.getAsDouble()) Thread.sleep(20);
    }

    /** Takes the machine away: nothing answers or runs any more. */
    synchronized void destroy(String why) {
        if (isGone) return;
        isGone = true;
        isUp = false;
        goneAt = world.now();
        world.record.line("machine %s gone (%s) with %s", name, why, runningParts());
        for (Task task : tasks.values()) if (task.status.equals("running")) world.taskLeft(task.part, name, "machine gone");
        tasks.clear();
        if (server != null) server.stop(0);
        notifyAll();
    }

    synchronized List<String> runningParts() {
        ArrayList<String> result = new ArrayList<>();
        for (Task task : tasks.values()) if (task.status.equals("running")) result.add(task.part);
        return result;
    }

    private void run(double delayS) {
        try {
            Thread.sleep((long) (delayS * 1000));
            synchronized (this) {
                if (isGone) return;
                server = Http.serve(port, this::handle);
                isUp = true;
                upAt = world.now();
                leaseFrom = world.now();
            }
            world.record.line("machine %s up in %s", name, zone);
            double nextReport = world.now();
            double lastReport = -1;
            while (!isGone) {
                awaitEnd(() -> hangsUntil);
                synchronized (this) {
                    advance();
                    double now = world.now();
                    if (!(now >= nextReport || (hasChanged && now >= lastReport + 0.5))) {
                        wait(50);
                        continue;
                    }
                }
                lastReport = world.now();
                nextReport = report();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (Exception e) {
            world.record.line("machine %s failed: %s", name, e);
        }
    }

    /** Sends one report and returns when the next is due. */
    private double report() throws Exception {
        String body;
        long sentTenure;
        double sentAt;
        String label;
        synchronized (this) {
            hasChanged = false;
            sentTenure = tenure;
            sentAt = world.now();
            body = reportJson().encode();
            label = world.labels.get(target);
        }
        Answer answer;
        if (world.now() < cutUntil) {
            Thread late = new Thread(() -> sendLate(label, body));
            late.setDaemon(true);
            late.start();
            Thread.sleep(4000);
            answer = new Answer(0, new JsonObject());
        } else {
            answer = Http.call(client, "POST", world.workerPort(label), "/agent/beat", body, 4000);
        }
        if (world.now() < cutUntil) {
            Thread.sleep(4000);
            answer = new Answer(0, new JsonObject());
        }
        if (world.now() < hangsUntil) awaitEnd(() -> hangsUntil);
        if (world.now() - sentAt > 4) answer = new Answer(0, new JsonObject());
        synchronized (this) {
            if (isGone) return 0;
            advance();
            if (answer.status() == 200) {
                Long token = answer.body().getLong("warrant");
                if (sentTenure == tenure && token != null && token >= warrant) {
                    leaseFrom = sentAt;
                    setWarrant(token);
                    execute(answer.body().getJsonArray("orders"), "reply of " + label);
                }
                return sentAt + world.reportS * (0.75 + 0.5 * Math.random());
            }
            int steward = world.labels.indexOf(String.valueOf(answer.body().getString("steward")));
            if (answer.status() == 421 && steward >= 0 && steward != target) {
                target = steward;
                return world.now() + 0.1;
            }
            target = (target + 1) % world.labels.size();
            return world.now() + 1;
        }
    }

    private void sendLate(String label, String body) {
        try {
            awaitEnd(() -> cutUntil);
            if (!isGone) Http.call(client, "POST", world.workerPort(label), "/agent/beat", body, 4000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private JsonObject reportJson() {
        JsonArray parts = new JsonArray();
        for (Task task : tasks.values()) {
            JsonObject row = new JsonObject().put("part", task.part).put("try", task.number).put("status", task.status);
            if (task.cause != null) row.put("cause", task.cause);
            if ("halted".equals(task.cause)) row.put("saved", false);
            parts.add(row);
        }
        return new JsonObject()
                .put("holdfast", name)
                .put("addr", address())
                .put("build", build)
                .put("yard", zone)
                .put("loaners", isSpot)
                .put("tenure", tenure)
                .put("tally", ++tally)
                .put("warrant", warrant)
                .putNull("recall_s")
                .put("parts", parts);
    }

    private Answer handle(String method, URI uri, JsonObject body) throws InterruptedException {
        awaitEnd(() -> cutUntil);
        awaitEnd(() -> hangsUntil);
        return answer(uri, body);
    }

    private synchronized Answer answer(URI uri, JsonObject body) {
        if (isGone) return null;
        advance();
        if (uri.getPath().equals("/status")) return new Answer(200, reportJson());
        Long token = body.getLong("warrant");
        Long session = body.getLong("tenure");
        if (token == null || session == null) return new Answer(400, new JsonObject());
        if (token < warrant || session != tenure) return new Answer(409, reportJson());
        setWarrant(token);
        execute(body.getJsonArray("orders"), "order");
        return new Answer(200, reportJson());
    }

    private void setWarrant(long token) {
        if (token > warrant) hasChanged = true;
        warrant = token;
    }

    private void execute(JsonArray orders, String source) {
        if (orders == null) return;
        for (Object item : orders) {
            JsonObject order = (JsonObject) item;
            String part = order.getString("part");
            long number = order.getLong("try");
            Task task = tasks.get(part + "#" + number);
            switch (order.getString("verb")) {
                case "start" -> {
                    if (task == null) start(part, number, source);
                }
                case "stop" -> {
                    if (task != null && !task.status.equals("ended")) end(task, "halted");
                }
                case "clear" -> {
                    if (task != null && task.status.equals("ended")) tasks.remove(part + "#" + number);
                }
                default -> world.record.line("machine %s: unknown order %s", name, order.encode());
            }
        }
    }

    private void start(String part, long number, String source) {
        World.Job job = world.jobOf(part);
        Task task = new Task(part, number, job);
        tasks.put(part + "#" + number, task);
        hasChanged = true;
        String refusal = null;
        if (job == null) {
            refusal = "unknown";
        } else {
            double cores = job.cores;
            double mem = job.memGb;
            for (Task other : tasks.values()) {
                if (other == task || other.status.equals("ended")) continue;
                cores += other.job.cores;
                mem += other.job.memGb;
                if (other.part.equals(part)) refusal = "busy";
            }
            if (refusal == null && (cores > world.machineCores * factor + 1e-6 || mem > world.machineMemGb * factor + 1e-6)) refusal = "no_room";
        }
        world.record.line("machine %s: start %s try %d by %s%s", name, part, number, source, refusal == null ? "" : " refused: " + refusal);
        if (refusal != null) {
            task.status = "ended";
            task.cause = refusal;
        } else {
            imageReadyAt.putIfAbsent(job.image, world.now() + job.imageGb / world.pullGbPerS);
        }
    }

    private void end(Task task, String cause) {
        boolean wasRunning = task.status.equals("running");
        task.status = "ended";
        task.cause = cause;
        hasChanged = true;
        if (wasRunning) world.taskLeft(task.part, name, cause);
        else world.record.line("machine %s: %s ended before it ran: %s", name, task.part, cause);
    }

    /** Lets time pass: ends the lease if it is over, begins tasks whose image is there and ends tasks that have run long enough. */
    private void advance() {
        double now = world.now();
        if (now - leaseFrom > world.leaseS) {
            for (Task task : tasks.values()) if (task.status.equals("running")) world.taskLeft(task.part, name, "lease over");
            if (!tasks.isEmpty()) world.record.line("machine %s: lease over", name);
            tasks.clear();
            tenure++;
            tally = 0;
            leaseFrom = now;
            hasChanged = true;
        }
        for (Task task : new ArrayList<>(tasks.values())) {
            if (task.status.equals("pulling") && now >= imageReadyAt.get(task.job.image)) {
                task.status = "running";
                task.startedAt = now;
                hasChanged = true;
                world.taskStarted(task.part, name, zone, task.number);
            }
            if (!task.status.equals("running")) continue;
            if (world.isDone(task.part)) {
                end(task, "done");
            } else if ((task.job.isMistaken || isFaulty) && now - task.startedAt >= task.job.failsAfterS) {
                end(task, "error");
            } else if (!task.job.isMistaken && !isFaulty && now - task.startedAt >= task.job.runS) {
                world.markDone(task.part);
                end(task, "done");
            }
        }
    }
}
