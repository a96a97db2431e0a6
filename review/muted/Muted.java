import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.File;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import standin.Cloud;
import standin.Controllers;
import standin.Recorder;
import standin.StateService;
import standin.Worker;

/**
 * The reports of five machines reach no controller for 22 s, while direct commands reach them, and in that time the controller of their
 * zone ends and is started again at once. Checks that the tasks that these machines have given up run again: that the job is not left
 * waiting for 90 s while machines that fit are empty.
 */
public final class Muted {
    private static final List<String> ZONES = List.of("ulaanbaatar-east", "darkhan-hall", "erdenet-room");
    private static final String MUTE_ZONE = "erdenet-room";
    private static final int NODE = 2;
    private static final int MUTE = 5;
    private static final int MUTE_MS = Integer.parseInt(System.getenv().getOrDefault("MUTE_MS", "21500"));
    private static final double WAIT_S = 90;
    /** Longer for a watch by hand. */
    private static final double WATCH_S = Double.parseDouble(System.getenv().getOrDefault("WATCH_S", "90.5"));
    private static final Vertx VERTX = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    private static <T> T onLoop(Callable<T> code) {
        CompletableFuture<T> result = new CompletableFuture<>();
        VERTX.runOnContext(v -> {
            try {
                result.complete(code.call());
            } catch (Exception e) {
                result.completeExceptionally(e);
            }
        });
        return result.join();
    }

    public static void main(String[] args) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Recorder recorder = new Recorder(new File("review/muted/record.txt"));
        recorder.line("CASE muted " + (hasTrouble ? "with" : "without") + " the troubles");
        int status = 2;
        Controllers controllers = null;
        try {
            controllers = new Controllers(recorder, ZONES, settings());
            status = run(recorder, controllers, hasTrouble);
        } catch (Exception e) {
            recorder.line("could not run: " + e);
            e.printStackTrace();
        } finally {
            if (controllers != null) controllers.end();
        }
        recorder.line("EXIT " + status);
        System.out.println("case muted: exit " + status);
        System.exit(status);
    }

    /** The settings of the first site of the Tsetseg Authority. */
    private static JsonObject settings() {
        JsonArray teams = new JsonArray()
            .add(new JsonObject().put("name", "clinic-liaison").put("cpus", 160.0).put("cpus_max", 352.0).put("gpus", 0.0).put("gpus_max", 0.0));
        return new JsonObject().put("teams", teams).put("objectives", new JsonArray())
            .put("workers", new JsonObject().put("report_s", 3.0).put("lease_s", 17.0).put("gang_wait_s", 30.0).put("gang_peer_s", 8.0)
                .put("cancel_s", 47.0))
            .put("state", new JsonObject().put("rps", 200.0).put("write_rps", 80.0).put("value_kb", 16.0).put("txn_ops", 48))
            .put("cloud", new JsonObject().put("rps", 8.0).put("list_lag_s", 5.0))
            .put("machine_limits", new JsonObject().put("core_share", 0.136).put("memory_mb", 268.0).put("max_sockets", 1800))
            .put("time_bound_ms", 250.0);
    }

    private static JsonObject job(String uid, int parts, double cores) {
        return new JsonObject().put("uid", uid).put("batchline", "chair-roster").put("owner", "clinic-liaison").put("shape", "batch")
            .put("urgency", "standard").put("parts", parts).put("cores", cores).put("cards", 0.0).put("mem_gb", 25.0)
            .put("bundle", "img-01").put("image_gb", 0.1).put("builds", null).put("yard", null).put("same_place", false)
            .put("spread", false).put("loaners", true).put("guess_s", 35.0).put("snapshot_every_s", 0.0).put("snapshot_s", 0.0)
            .put("due_s", null);
    }

    private static int run(Recorder recorder, Controllers controllers, boolean hasTrouble) throws Exception {
        StateService state = onLoop(() -> new StateService(VERTX, recorder, 200, 80, 48, 16));
        for (int i = 0; i < ZONES.size(); i++) state.listen(Controllers.label(i), controllers.statePorts.get(i));
        HttpClient client = VERTX.createHttpClient(new HttpClientOptions().setKeepAliveTimeout(60), new PoolOptions().setHttp1MaxSize(200));
        TreeSet<String> done = new TreeSet<>();
        Map<String, Integer> running = new HashMap<>();
        Map<String, Double> lastRun = new HashMap<>();
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public void onStart(Worker worker, String part, long attempt) {
                recorder.line("RUN " + part + " try " + attempt + " starts on " + worker.name + " in " + worker.yard);
                running.merge(part, 1, Integer::sum);
            }

            @Override
            public void onEnd(Worker worker, String part, long attempt, String cause) {
                recorder.line("RUN " + part + " try " + attempt + " ends on " + worker.name + ": " + cause);
                running.merge(part, -1, Integer::sum);
                lastRun.put(part, recorder.seconds());
                if (cause.equals("done")) done.add(part);
            }

            @Override
            public long runMs(String part) {
                return part.startsWith("j-1/") ? 40_000 : 2_000;
            }

            @Override
            public double cores(String part) {
                return part.startsWith("j-1/") ? 16.0 : 4.0;
            }
        };
        Worker.Profile profile = new Worker.Profile("molar16", 16.0, 3000, 17_000, controllers.portsByLabel());
        JsonObject flavor = new JsonObject().put("name", "molar16").put("cores", 16).put("cards", 0).put("mem_gb", 128)
            .put("cache_gb", 60.0).put("pull_gb_per_s", 0.6).put("hourly", 1.19).put("low_price", 0.44).put("boot_s", 5);
        Cloud cloud = onLoop(() -> new Cloud(VERTX, recorder, ZONES.stream().sorted().toList(), flavor, 8, 5000,
            (name, yard, isLoaner) ->
                new Worker(VERTX, client, profile, observer, recorder, name, yard, isLoaner, Controllers.freePort())));
        cloud.bootMs = () -> 5000;
        cloud.capacity = 10;
        onLoop(() -> {
            for (int i = 0; i < 15; i++) cloud.boot(ZONES.get(i % 3), true, 1);
            return null;
        });
        cloud.listen(controllers.cloudPort);
        controllers.startAll();
        while (!controllers.areAllHealthy()) {
            if (recorder.seconds() > 12) throw new IllegalStateException("controllers not healthy");
            Thread.sleep(50);
        }
        recorder.line("all controllers are healthy");
        if (controllers.submit(job("j-1", 15, 16.0), 0).status() != 201) throw new IllegalStateException("not accepted");
        List<Worker> zone = onLoop(() -> cloud.workers().stream().filter(w -> w.yard.equals(MUTE_ZONE)).limit(MUTE).toList());
        while (onLoop(() -> zone.stream().anyMatch(w -> w.tasks.isEmpty()))) {
            if (recorder.seconds() > 15) throw new IllegalStateException("j-1 did not start: " + running);
            Thread.sleep(20);
        }
        recorder.line("each machine of " + MUTE_ZONE + " runs a task of j-1");
        if (hasTrouble) {
            recorder.line("MACHINES " + zone.stream().map(w -> w.name).toList() + " reach no controller; direct commands reach them");
            onLoop(() -> {
                zone.forEach(w -> w.isMute = true);
                return null;
            });
            controllers.kill(NODE);
            Thread.sleep(200);
            controllers.start(NODE);
            Thread.sleep(MUTE_MS - 200);
            onLoop(() -> {
                zone.forEach(w -> w.isMute = false);
                return null;
            });
            recorder.line("MACHINES reach the controllers again");
        }
        double overAt = recorder.seconds();
        int second = 0;
        while (true) {
            Thread.sleep(500);
            double now = recorder.seconds();
            List<String> left = onLoop(() -> {
                TreeSet<String> parts = new TreeSet<>();
                for (int i = 0; i < 15; i++) {
                    String part = "j-1/" + i;
                    if (!done.contains(part) && running.getOrDefault(part, 0) == 0) parts.add(part);
                }
                return List.copyOf(parts);
            });
            if (second++ % 20 == 0) {
                recorder.line("SEEN tasks of j-1 that neither run nor are done " + left + "; j-1 is " + controllers.poll(second % 3, "j-1"));
            }
            if (second == 60) controllers.submit(job("j-2", 4, 4.0), 1);
            if (second % 4 == 0 && "done".equals(controllers.poll(second % 3, "j-1").state())) {
                recorder.line("j-1 is done");
                return 0;
            }
            if (now - overAt >= WATCH_S) {
                List<String> waited = onLoop(() -> left.stream().filter(p -> now - Math.max(overAt, lastRun.getOrDefault(p, 0.0)) >= WAIT_S).toList());
                long empty = onLoop(() -> cloud.workers().stream()
                    .filter(w -> w.isUp && w.tasks.isEmpty() && now - w.upAtS >= WAIT_S).count());
                recorder.line("VERDICT tasks of j-1 that wait since the troubles were over, " + WAIT_S + " s: " + waited + "; machines up and empty: "
                    + empty + "; j-1 is " + controllers.poll(0, "j-1") + ", j-2 is " + controllers.poll(1, "j-2"));
                return !waited.isEmpty() && empty > 0 ? 1 : 0;
            }
            if (now > 118 && WATCH_S < 100) throw new IllegalStateException("out of time");
        }
    }
}
