import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.File;
import java.util.List;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import standin.Cloud;
import standin.Controllers;
import standin.Recorder;
import standin.StateService;
import standin.Worker;

/**
 * Thirty one-task jobs bound to one zone run on the only machine of that zone, and the machine is taken back. Checks that other jobs,
 * which may run anywhere, are not left waiting for 90 s while fifteen machines are empty.
 */
public final class Case2 {
    private static final List<String> ZONES = List.of("dublin-north", "cork-quay", "galway-west");
    private static final String BOUND_TO = "galway-west";
    private static final int BOUND_JOBS = 30;
    private static final int FREE_JOBS = 5;
    private static final double WAIT_S = 90;
    /** Longer for a watch by hand. */
    private static final double WATCH_S = Double.parseDouble(System.getenv().getOrDefault("WATCH_S", "91"));
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
        Recorder recorder = new Recorder(new File("review/2/record.txt"));
        recorder.line("CASE 2 " + (hasTrouble ? "with" : "without") + " the end of the machine");
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
        System.out.println("case 2: exit " + status);
        System.exit(status);
    }

    /** The settings of the first site of the Baile Board. */
    private static JsonObject settings() {
        JsonArray teams = new JsonArray()
            .add(new JsonObject().put("name", "depot-systems").put("cpus", 0.0).put("cpus_max", 0.0).put("gpus", 0.0).put("gpus_max", 0.0));
        return new JsonObject().put("teams", teams)
            .put("objectives", new JsonArray().add(new JsonObject().put("kind", "deadline").put("class", "council-orders").put("share", 0.9)
                .put("times", 1.0)))
            .put("workers", new JsonObject().put("report_s", 3.0).put("lease_s", 26.0).put("gang_wait_s", 30.0).put("gang_peer_s", 5.0)
                .put("cancel_s", 46.0))
            .put("state", new JsonObject().put("rps", 250.0).put("write_rps", 100.0).put("value_kb", 8.0).put("txn_ops", 12))
            .put("cloud", new JsonObject().put("rps", 4.0).put("list_lag_s", 4.0))
            .put("machine_limits", new JsonObject().put("core_share", 0.255).put("memory_mb", 325.0).put("max_sockets", 2500))
            .put("time_bound_ms", 25.0);
    }

    private static JsonObject job(int n, String yard) {
        return new JsonObject().put("uid", "j-" + n).put("batchline", "isbn-checks").put("owner", "depot-systems").put("shape", "batch")
            .put("urgency", "low").put("parts", 1).put("cores", 0.5).put("cards", 0.0).put("mem_gb", 1.0)
            .put("bundle", "img-01").put("image_gb", 0.1).put("builds", null).put("yard", yard).put("same_place", false)
            .put("spread", false).put("loaners", true).put("guess_s", 25.0).put("snapshot_every_s", 0.0).put("snapshot_s", 0.0)
            .put("due_s", null);
    }

    private static boolean isBound(String part) {
        return Integer.parseInt(part.substring(2, part.indexOf('/'))) <= BOUND_JOBS;
    }

    private static int run(Recorder recorder, Controllers controllers, boolean hasTrouble) throws Exception {
        StateService state = onLoop(() -> new StateService(VERTX, recorder, 250, 100, 12, 8));
        for (int i = 0; i < ZONES.size(); i++) state.listen(Controllers.label(i), controllers.statePorts.get(i));
        HttpClient client = VERTX.createHttpClient(new HttpClientOptions().setKeepAliveTimeout(60), new PoolOptions().setHttp1MaxSize(200));
        TreeSet<String> started = new TreeSet<>();
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public void onStart(Worker worker, String part, long attempt) {
                recorder.line("RUN " + part + " try " + attempt + " starts on " + worker.name + " in " + worker.yard);
                started.add(part);
            }

            @Override
            public void onEnd(Worker worker, String part, long attempt, String cause) {
                recorder.line("RUN " + part + " try " + attempt + " ends on " + worker.name + ": " + cause);
            }

            @Override
            public long runMs(String part) {
                return 40_000;
            }

            @Override
            public double cores(String part) {
                return 0.5;
            }
        };
        Worker.Profile profile = new Worker.Profile("quire16", 16.0, 3000, 26_000, controllers.portsByLabel());
        JsonObject flavor = new JsonObject().put("name", "quire16").put("cores", 16).put("cards", 0).put("mem_gb", 64)
            .put("cache_gb", 50.0).put("pull_gb_per_s", 0.5).put("hourly", 0.86).put("low_price", 0.31).put("boot_s", 5);
        Cloud cloud = onLoop(() -> new Cloud(VERTX, recorder, ZONES.stream().sorted().toList(), flavor, 4, 4000,
            (name, yard, isLoaner) ->
                new Worker(VERTX, client, profile, observer, recorder, name, yard, isLoaner, Controllers.freePort())));
        cloud.bootMs = () -> 5000;
        cloud.capacity = 10;
        // 16 cheap machines are up at the start, one of them in the zone of the bound jobs.
        Worker only = onLoop(() -> {
            for (int i = 0; i < 8; i++) cloud.boot("dublin-north", true, 1);
            for (int i = 0; i < 7; i++) cloud.boot("cork-quay", true, 1);
            return cloud.boot(BOUND_TO, true, 1);
        });
        cloud.listen(controllers.cloudPort);
        controllers.startAll();
        while (!controllers.areAllHealthy()) {
            if (recorder.seconds() > 12) throw new IllegalStateException("controllers not healthy");
            Thread.sleep(100);
        }
        recorder.line("all controllers are healthy");
        for (int n = 1; n <= BOUND_JOBS; n++) {
            if (controllers.submit(job(n, BOUND_TO), n % 3).status() != 201) throw new IllegalStateException("not accepted");
        }
        while (onLoop(started::size) < BOUND_JOBS) {
            if (recorder.seconds() > 20) throw new IllegalStateException("the bound jobs did not start");
            Thread.sleep(100);
        }
        if (hasTrouble) {
            recorder.line("MACHINE " + only.name + " is taken back without a notice");
            onLoop(() -> {
                cloud.take(only.name);
                return null;
            });
        }
        // Users go on as ever; by now the service has noticed the loss.
        Thread.sleep(hasTrouble ? 13_000 : 2000);
        for (int n = BOUND_JOBS + 1; n <= BOUND_JOBS + FREE_JOBS; n++) {
            if (controllers.submit(job(n, null), n % 3).status() != 201) throw new IllegalStateException("not accepted");
        }
        double acceptedAt = recorder.seconds();
        int second = 0;
        while (true) {
            Thread.sleep(1000);
            double now = recorder.seconds();
            long free = onLoop(() -> started.stream().filter(p -> !isBound(p)).count());
            long elsewhere = onLoop(() -> cloud.workers().stream().filter(w -> w.isUp && w.tasks.isEmpty()).count());
            if (second++ % 10 == 0) {
                recorder.line("SEEN jobs that may run anywhere started " + free + " of " + FREE_JOBS + "; machines up and empty " + elsewhere
                    + "; j-31 " + controllers.poll(second % 3, "j-31") + "; j-1 " + controllers.poll(second % 3, "j-1"));
            }
            if (free == FREE_JOBS && WATCH_S < 100) {
                recorder.line("every job that may run anywhere was started");
                return 0;
            }
            if (now - acceptedAt >= WATCH_S) {
                long empty = onLoop(() -> cloud.workers().stream()
                    .filter(w -> w.isUp && w.tasks.isEmpty() && w.warrant > 0 && now - w.upAtS >= WAIT_S).count());
                recorder.line("VERDICT " + (FREE_JOBS - free) + " jobs that may run anywhere have waited for " + WAIT_S
                    + " s; machines that were up and empty all that time: " + empty);
                return free < FREE_JOBS && empty > 0 ? 1 : 0;
            }
            if (now > 118 && WATCH_S < 100) throw new IllegalStateException("out of time");
        }
    }
}
