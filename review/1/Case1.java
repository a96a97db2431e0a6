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
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Callable;
import standin.Cloud;
import standin.Controllers;
import standin.Recorder;
import standin.StateService;
import standin.Worker;

/**
 * A fleet of 1,300 machines comes up while the state service is down for 12 s. Checks that afterwards no job waits for 90 s while a
 * machine that fits has room.
 */
public final class Case1 {
    private static final List<String> ZONES =
        List.of("ulaanbaatar-east", "darkhan-hall", "erdenet-room", "ulaanbaatar-east", "darkhan-hall");
    private static final int JOBS = 5;
    private static final int TASKS = 260;
    private static final int OUTAGE_MS = 12_000;
    private static final double WAIT_S = 90;
    private static final Vertx VERTX = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    /** Runs code on the event loop of the stand-ins and returns its result. */
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
        Recorder recorder = new Recorder(new File("review/1/record.txt"));
        recorder.line("CASE 1 " + (hasTrouble ? "with" : "without") + " the outage");
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
        System.out.println("case 1: exit " + status);
        System.exit(status);
    }

    /** The settings of the fleet site of the Tsetseg Authority. */
    private static JsonObject settings() {
        JsonArray teams = new JsonArray()
            .add(new JsonObject().put("name", "clinic-liaison").put("cpus", 6000.0).put("cpus_max", 25000.0).put("gpus", 0.0).put("gpus_max", 0.0));
        return new JsonObject().put("teams", teams).put("objectives", new JsonArray())
            .put("workers", new JsonObject().put("report_s", 4.0).put("lease_s", 22.0).put("gang_wait_s", 30.0).put("gang_peer_s", 8.0)
                .put("cancel_s", 52.0))
            .put("state", new JsonObject().put("rps", 300.0).put("write_rps", 120.0).put("value_kb", 16.0).put("txn_ops", 48))
            .put("cloud", new JsonObject().put("rps", 10.0).put("list_lag_s", 5.0))
            .put("machine_limits", new JsonObject().put("core_share", 0.187).put("memory_mb", 365.0).put("max_sockets", 2481))
            .put("time_bound_ms", 250.0);
    }

    private static JsonObject job(int n) {
        return new JsonObject().put("uid", "j-" + n).put("batchline", "chair-roster").put("owner", "clinic-liaison").put("shape", "batch")
            .put("urgency", "standard").put("parts", TASKS).put("cores", 16.0).put("cards", 0.0).put("mem_gb", 100.0)
            .put("bundle", "img-01").put("image_gb", 0.1).put("builds", null).put("yard", null).put("same_place", false)
            .put("spread", false).put("loaners", true).put("guess_s", 120.0).put("snapshot_every_s", 0.0).put("snapshot_s", 0.0)
            .put("due_s", null);
    }

    private static int run(Recorder recorder, Controllers controllers, boolean hasTrouble) throws Exception {
        StateService state = onLoop(() -> new StateService(VERTX, recorder, 300, 120, 48, 16));
        for (int i = 0; i < ZONES.size(); i++) state.listen(Controllers.label(i), controllers.statePorts.get(i));
        HttpClient client = VERTX.createHttpClient(new HttpClientOptions().setKeepAliveTimeout(60),
            new PoolOptions().setHttp1MaxSize(4000).setMaxWaitQueueSize(-1));
        Map<String, Integer> starts = new HashMap<>();
        Map<String, Double> firstUse = new HashMap<>();
        Worker.Observer observer = new Worker.Observer() {
            @Override
            public void onStart(Worker worker, String part, long attempt) {
                starts.merge(part, 1, Integer::sum);
                firstUse.putIfAbsent(worker.name, recorder.seconds());
                if (starts.size() <= 20 || starts.size() % 100 == 0) {
                    recorder.line("RUN " + part + " on " + worker.name + ", task number " + starts.size() + " to start");
                }
            }

            @Override
            public long runMs(String part) {
                return 200_000;
            }

            @Override
            public double cores(String part) {
                return 16.0;
            }
        };
        Worker.Profile profile = new Worker.Profile("molar16", 16.0, 4000, 22_000, controllers.portsByLabel());
        JsonObject flavor = new JsonObject().put("name", "molar16").put("cores", 16).put("cards", 0).put("mem_gb", 128)
            .put("cache_gb", 60.0).put("pull_gb_per_s", 0.6).put("hourly", 1.19).put("low_price", 0.44).put("boot_s", 6);
        Cloud cloud = onLoop(() -> new Cloud(VERTX, recorder, ZONES.stream().distinct().sorted().toList(), flavor, 10, 5000,
            (name, yard, isLoaner) ->
                new Worker(VERTX, client, profile, observer, recorder, name, yard, isLoaner, Controllers.freePort())));
        // At most 1.5 times the capacity of the smallest yard of the site: 1.5 x (165 + 142).
        cloud.capacity = 460;
        // 0.6 to 1.5 times boot_s.
        Random random = new Random(7);
        cloud.bootMs = () -> (long) (6000 * (0.6 + 0.9 * random.nextDouble()));
        cloud.listen(controllers.cloudPort);
        controllers.startAll();
        while (!controllers.areAllHealthy()) {
            if (recorder.seconds() > 30) throw new IllegalStateException("controllers not healthy");
            Thread.sleep(100);
        }
        recorder.line("all controllers are healthy");
        for (int n = 1; n <= JOBS; n++) {
            Controllers.Answer answer = controllers.submit(job(n), n % ZONES.size());
            if (answer.status() != 201 && answer.status() != 200) throw new IllegalStateException("not accepted: " + answer);
        }
        while (onLoop(() -> cloud.workers().stream().noneMatch(w -> w.isUp))) {
            if (recorder.seconds() > 40) throw new IllegalStateException("no machine came up");
            Thread.sleep(20);
        }
        recorder.line("the first machine is up, " + cloud.rented + " are rented");
        if (hasTrouble) onLoop(() -> {
            state.setDown(true);
            return null;
        });
        Thread.sleep(OUTAGE_MS);
        if (hasTrouble) onLoop(() -> {
            state.setDown(false);
            return null;
        });
        double overAt = recorder.seconds();
        int nextPoll = 0;
        while (true) {
            Thread.sleep(1000);
            double now = recorder.seconds();
            int started = onLoop(starts::size);
            long up = onLoop(() -> cloud.workers().stream().filter(w -> w.isUp).count());
            if (nextPoll++ % 5 == 0) {
                String line = "SEEN machines up " + up + ", ever used " + onLoop(firstUse::size) + ", tasks ever started " + started + " of "
                    + JOBS * TASKS;
                recorder.line(line);
                for (int n = 1; n <= JOBS; n++) {
                    recorder.line("USER POLL j-" + n + " -> " + controllers.poll(n % ZONES.size(), "j-" + n));
                }
            }
            if (started == JOBS * TASKS) {
                recorder.line("every task of every job was started");
                return 0;
            }
            if (now - overAt >= WAIT_S + 1) {
                return verdict(recorder, state, cloud, starts, firstUse, overAt);
            }
            if (now > 118) throw new IllegalStateException("out of time");
        }
    }

    /** Broken if a job waited for 90 s since the trouble was over while a machine that fits was up and empty all that time. */
    private static int verdict(Recorder recorder, StateService state, Cloud cloud, Map<String, Integer> starts,
        Map<String, Double> firstUse, double overAt) {
        return onLoop(() -> {
            double now = recorder.seconds();
            long empty = cloud.workers().stream()
                .filter(w -> w.isUp && !firstUse.containsKey(w.name) && w.upAtS > 0 && now - Math.max(w.upAtS, overAt) >= WAIT_S).count();
            int waiting = JOBS * TASKS - starts.size();
            recorder.line("VERDICT " + waiting + " tasks have waited for " + WAIT_S + " s since the trouble was over; " + empty
                + " machines that fit were up and empty all that time; transactions over 64 KiB: " + state.tooLarge + ", largest "
                + state.largestTransaction + " bytes");
            return waiting > 0 && empty > 0 ? 1 : 0;
        });
    }
}
