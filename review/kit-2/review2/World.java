package review2;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.File;
import java.net.http.HttpClient;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import review2.Http.Answer;

/**
 * One deployment on loopback: controllers as real processes, started with the run line of the deploy file, and stand-ins for the state
 * service, the cloud, the workers and the users. It also keeps account of what ran where and of what users were told.
 */
final class World implements AutoCloseable {
    /** A job as its user submitted it. */
    static final class Job {
        final String uid;
        int parts = 1;
        double cores = 1;
        double memGb = 4;
        String owner;
        String image = "img-1";
        double imageGb = 0.5;
        double runS = 10;
        boolean isMistaken = false;
        double failsAfterS = 1;
        boolean loaners = true;
        boolean samePlace = false;
        boolean spread = false;
        String yard = null;
        String urgency = "standard";
        String batchline = "stock-recount";
        Double dueS = null;
        List<String> waitsOn = null;
        volatile double acceptedAt = -1;
        volatile double cancelledToldAt = -1;
        volatile double cancelAskedAt = -1;
        volatile double doneToldAt = -1;

        Job(String uid, String owner) {
            this.uid = uid;
            this.owner = owner;
        }

        JsonObject json() {
            JsonObject json =
                    new JsonObject()
                            .put("uid", uid)
                            .put("batchline", batchline)
                            .put("owner", owner)
                            .put("shape", "batch")
                            .put("urgency", urgency)
                            .put("parts", parts)
                            .put("cores", cores)
                            .put("cards", 0.0)
                            .put("mem_gb", memGb)
                            .put("bundle", image)
                            .put("image_gb", imageGb)
                            .putNull("builds")
                            .put("yard", yard)
                            .put("same_place", samePlace)
                            .put("spread", spread)
                            .put("loaners", loaners)
                            .put("guess_s", runS)
                            .put("snapshot_every_s", 0.0)
                            .put("snapshot_s", 0.0)
                            .put("due_s", dueS);
            if (waitsOn != null) json.put("waits_on", new JsonArray(waitsOn));
            return json;
        }
    }

    final Record record;
    final List<String> zones;
    final List<String> labels = new ArrayList<>();
    final List<Integer> servePorts = new ArrayList<>();
    final List<Integer> statePorts = new ArrayList<>();
    private final List<Integer> clusterPorts = new ArrayList<>();
    private final int cloudPort;
    private final Path folder;
    private final List<Process> processes = new ArrayList<>();
    private final HttpClient client = Http.client();
    final StateService state;
    Cloud cloud;

    // The settings; the defaults are those of the smaller site of the users' pages.
    String buildName = "molar16";
    double machineCores = 16;
    double machineMemGb = 128;
    double pullGbPerS = 0.6;
    double nominalBootS = 40;
    double reportS = 3;
    double leaseS = 17;
    double cancelS = 47;
    double stateRps = 200;
    double stateWriteRps = 80;
    int valueKb = 16;
    int txnOps = 48;
    double cloudRps = 8;
    double listLagS = 5;
    double coreShare = 0.136;
    int maxSockets = 1800;
    JsonArray teams = new JsonArray();
    JsonArray objectives = new JsonArray();

    // Accounts.
    private final Map<String, Job> jobs = new ConcurrentHashMap<>();
    private final Map<String, String> runningOn = new HashMap<>();
    private final Set<String> doneParts = ConcurrentHashMap.newKeySet();
    final Map<String, Integer> starts = new LinkedHashMap<>();
    /** Parts that ran on machines which the service returned while they ran. */
    final List<String> killedByReturn = new CopyOnWriteArrayList<>();
    /** Whether the machine on which the first task starts is faulty. */
    volatile boolean isFirstMachineFaulty = false;
    final Set<String> usedMachines = new java.util.TreeSet<>();
    final List<Double> rented = new CopyOnWriteArrayList<>();
    final List<String> broken = new CopyOnWriteArrayList<>();

    World(Path recordFile, List<String> zones, int txnOps, int valueKb) throws Exception {
        this.record = new Record(recordFile);
        this.zones = zones;
        this.folder = Files.createTempDirectory("review2-");
        this.txnOps = txnOps;
        this.valueKb = valueKb;
        for (int i = 0; i < zones.size(); i++) {
            labels.add("holdfast-" + i);
            servePorts.add(Http.freePort());
            statePorts.add(Http.freePort());
            clusterPorts.add(Http.freePort());
            processes.add(null);
        }
        cloudPort = Http.freePort();
        state = new StateService(txnOps, valueKb);
        for (int port : statePorts) state.serve(port);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    /** The teams of the site whose other settings are the defaults here. */
    void useTsetseg() {
        team("booking-core", 96, 160);
        team("clinic-liaison", 160, 352);
        team("patient-notify", 96, 240);
    }

    /** The settings of the other small site of the users' pages. */
    void useBaile() {
        buildName = "quire16";
        machineMemGb = 64;
        pullGbPerS = 0.5;
        nominalBootS = 30;
        leaseS = 26;
        cancelS = 46;
        stateRps = 250;
        stateWriteRps = 100;
        cloudRps = 4;
        listLagS = 4;
        coreShare = 0.255;
        maxSockets = 2500;
        team("depot-systems", 0, 0);
    }

    void startCloud(double bootS) throws Exception {
        cloud = new Cloud(this, listLagS, bootS);
        cloud.serve(cloudPort);
    }

    void team(String name, double cpus, double cpusMax) {
        teams.add(new JsonObject().put("name", name).put("cpus", cpus).put("cpus_max", cpusMax).put("gpus", 0.0).put("gpus_max", 0.0));
    }

    double now() {
        return record.seconds();
    }

    void sleep(double seconds) throws InterruptedException {
        if (seconds > 0) Thread.sleep((long) (seconds * 1000));
    }

    int workerPort(String label) {
        return servePorts.get(labels.indexOf(label));
    }

    // Controllers.

    private JsonObject settings(int node) {
        JsonArray seeds = new JsonArray();
        for (int i = 0; i < zones.size(); i++) {
            if (i == node) continue;
            seeds.add(
                    new JsonObject()
                            .put("label", labels.get(i))
                            .put("area", zones.get(i))
                            .put("addr", clusterAddress(node, i)));
        }
        List<String> sorted = new ArrayList<>(zones);
        sorted.sort(Comparator.naturalOrder());
        return new JsonObject()
                .put("label", labels.get(node))
                .put("area", zones.get(node))
                .put("serve_on", Http.HOST + ":" + servePorts.get(node))
                .put("cluster_listen", Http.HOST + ":" + clusterPorts.get(node))
                .put("seeds", seeds)
                .put(
                        "endpoints",
                        new JsonObject()
                                .put("cloud", Http.HOST + ":" + cloudPort)
                                .put("state", Http.HOST + ":" + statePorts.get(node)))
                .put(
                        "settings",
                        new JsonObject()
                                .put("count", zones.size())
                                .put("zones", new JsonArray(sorted))
                                .put("teams", teams)
                                .put("objectives", objectives)
                                .put(
                                        "workers",
                                        new JsonObject()
                                                .put("report_s", reportS)
                                                .put("lease_s", leaseS)
                                                .put("gang_wait_s", 30.0)
                                                .put("gang_peer_s", 8.0)
                                                .put("cancel_s", cancelS))
                                .put(
                                        "state",
                                        new JsonObject()
                                                .put("rps", stateRps)
                                                .put("write_rps", stateWriteRps)
                                                .put("value_kb", (double) valueKb)
                                                .put("txn_ops", txnOps))
                                .put("cloud", new JsonObject().put("rps", cloudRps).put("list_lag_s", listLagS))
                                .put(
                                        "machine_limits",
                                        new JsonObject()
                                                .put("core_share", coreShare)
                                                .put("memory_mb", 268.0)
                                                .put("max_sockets", maxSockets))
                                .put("time_bound_ms", 250.0));
    }

    /** The address under which one controller finds another. Cases with links that can be disturbed change it. */
    private String clusterAddress(int from, int to) {
        Integer proxied = proxiedLinks.get(from + ">" + to);
        return Http.HOST + ":" + (proxied == null ? clusterPorts.get(to) : proxied);
    }

    final Map<String, Integer> proxiedLinks = new HashMap<>();

    int clusterPort(int node) {
        return clusterPorts.get(node);
    }

    /** The folder of another version of the program, and the controllers that run it; only trials use it. */
    Path otherVersion = null;
    final Set<Integer> runOther = ConcurrentHashMap.newKeySet();

    void launch(int node) throws Exception {
        Path program = runOther.contains(node) ? otherVersion : Path.of("");
        Path file = folder.resolve(labels.get(node) + ".json");
        Files.writeString(file, settings(node).encodePrettily());
        String line =
                Files.readAllLines(program.resolve("deploy/service.toml")).stream().filter(it -> it.startsWith("run = ")).findFirst().get();
        List<String> command = new ArrayList<>(Arrays.asList(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" ")));
        command.add(file.toString());
        ProcessBuilder builder = new ProcessBuilder(command);
        if (runOther.contains(node)) builder.directory(otherVersion.toFile());
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("LOG_LEVEL", "info"));
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(node)));
        synchronized (processes) {
            processes.set(node, builder.start());
        }
        record.line("controller %s started", labels.get(node));
    }

    File logFile(int node) {
        return folder.resolve(labels.get(node) + ".log").toFile();
    }

    void launchAll() throws Exception {
        for (int i = 0; i < zones.size(); i++) launch(i);
    }

    boolean isAlive(int node) {
        return processes.get(node).isAlive();
    }

    int exitValue(int node) {
        return processes.get(node).exitValue();
    }

    void kill(int node) throws Exception {
        processes.get(node).destroyForcibly().waitFor();
        record.line("controller %s killed", labels.get(node));
    }

    void signal(int node, String name) throws Exception {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + processes.get(node).pid()).start().waitFor();
        record.line("controller %s: signal %s", labels.get(node), name);
    }

    private void killAll() {
        synchronized (processes) {
            for (Process process : processes) if (process != null) process.destroyForcibly();
        }
    }

    boolean isHealthy(int node) {
        return Http.call(client, "GET", servePorts.get(node), "/healthz", null, 1000).status() == 200;
    }

    boolean awaitHealthy(double untilS) throws Exception {
        while (now() < untilS) {
            int healthy = 0;
            for (int i = 0; i < zones.size(); i++) if (isHealthy(i)) healthy++;
            if (healthy == zones.size()) {
                record.line("all controllers healthy");
                return true;
            }
            sleep(0.2);
        }
        record.line("not all controllers are healthy");
        recordLogs(20);
        return false;
    }

    /** The number of the controller that leads; -1 if there is none now. */
    int leader() {
        return labels.indexOf(String.valueOf(state.labelOf("c/leader")));
    }

    /** The number of the controller that owns the only partition of a zone; -1 if there is none now. */
    int owner(String zone) {
        return labels.indexOf(String.valueOf(state.labelOf("c/part/" + zone + "/0")));
    }

    // Users.

    Answer submit(int node, Job job) {
        jobs.put(job.uid, job);
        Answer answer = Http.call(client, "POST", servePorts.get(node), "/api/jobs", job.json().encode(), 5000);
        record.line("user: POST /api/jobs %s to %s -> %d %s", job.uid, labels.get(node), answer.status(), answer.body().encode());
        if (answer.status() == 200 || answer.status() == 201) {
            if (job.acceptedAt < 0) job.acceptedAt = now();
            told(job, answer.body().getString("status"));
        } else if (job.acceptedAt >= 0 && (answer.status() == 400 || answer.status() == 422)) {
            breach("forgotten: repeated submission of " + job.uid + " got " + answer.status());
        }
        return answer;
    }

    /** Submits a job and repeats it as a user does, for up to 60 s. */
    boolean submitUntilAccepted(Job job) throws Exception {
        double until = now() + 60;
        for (int i = 0; now() < until; i++) {
            int status = submit(i % zones.size(), job).status();
            if (status == 200 || status == 201) return true;
            if (status == 400 || status == 422) return false;
            sleep(1);
        }
        return false;
    }

    Answer poll(int node, Job job) {
        double sentAt = now();
        Answer answer = Http.call(client, "GET", servePorts.get(node), "/api/jobs/" + job.uid, null, 2000);
        record.line("user: GET /api/jobs/%s at %s -> %d %s", job.uid, labels.get(node), answer.status(), answer.body().encode());
        if (answer.status() == 404 && job.acceptedAt >= 0 && job.acceptedAt < sentAt) breach("forgotten: " + job.uid + " got 404");
        if (answer.status() == 200) {
            String status = answer.body().getString("status");
            if (job.doneToldAt >= 0 && job.doneToldAt < sentAt && !status.equals("done")) breach("went_back: " + job.uid + " done, then " + status);
            if (job.cancelledToldAt >= 0 && job.cancelledToldAt < sentAt && !status.equals("cancelled")) {
                breach("went_back: " + job.uid + " cancelled, then " + status);
            }
            told(job, status);
        }
        return answer;
    }

    /** Asks the controllers in turn until one answers with a state; returns null if none does. */
    String status(Job job) {
        for (int i = 0; i < zones.size(); i++) {
            Answer answer = poll(i, job);
            if (answer.status() == 200) return answer.body().getString("status");
        }
        return null;
    }

    Answer cancel(int node, Job job) {
        if (job.cancelAskedAt < 0) job.cancelAskedAt = now();
        Answer answer = Http.call(client, "POST", servePorts.get(node), "/api/jobs/" + job.uid + "/cancel", "", 5000);
        record.line("user: POST /api/jobs/%s/cancel to %s -> %d %s", job.uid, labels.get(node), answer.status(), answer.body().encode());
        if (answer.status() == 200) told(job, answer.body().getString("status"));
        return answer;
    }

    private void told(Job job, String status) {
        if ("done".equals(status)) {
            if (job.doneToldAt < 0) job.doneToldAt = now();
            for (int i = 0; i < job.parts; i++) {
                if (!doneParts.contains(job.uid + "/" + i)) {
                    breach("not_done: " + job.uid + " called done, " + i + " is not");
                    break;
                }
            }
        }
        if ("cancelled".equals(status)) {
            if (job.cancelledToldAt < 0) job.cancelledToldAt = now();
            if (job.cancelAskedAt < 0 && job.waitsOn == null) breach("went_back: " + job.uid + " is called cancelled, nobody asked for it");
        }
    }

    Answer get(int node, String path) {
        return Http.call(client, "GET", servePorts.get(node), path, null, 2000);
    }

    Answer post(int node, String path, String body) {
        return Http.call(client, "POST", servePorts.get(node), path, body, 5000);
    }

    // What ran.

    Job jobOf(String part) {
        return jobs.get(part.substring(0, part.indexOf('/')));
    }

    synchronized void taskStarted(String part, String machine, String zone, long number) {
        record.line("run: %s try %d is on %s", part, number, machine);
        starts.merge(part, 1, Integer::sum);
        if (isFirstMachineFaulty && usedMachines.isEmpty()) {
            cloud.machines.get(machine).isFaulty = true;
            record.line("machine %s is faulty: every task fails on it", machine);
        }
        usedMachines.add(machine);
        String other = runningOn.put(part, machine);
        if (other != null && !other.equals(machine) && isAlive(other)) breach("ran_twice: " + part + " starts on " + machine + " while on " + other);
        Job job = jobOf(part);
        if (job.cancelledToldAt >= 0 && now() > job.cancelledToldAt + cancelS) breach("ran_cancelled: " + part + " starts");
        double used = 0;
        for (Map.Entry<String, String> entry : runningOn.entrySet()) {
            if (isAlive(entry.getValue()) && jobOf(entry.getKey()).owner.equals(job.owner)) used += jobOf(entry.getKey()).cores;
        }
        for (Object item : teams) {
            JsonObject team = (JsonObject) item;
            double limit = team.getDouble("cpus_max");
            if (team.getString("name").equals(job.owner) && limit > 0 && used > limit + 1e-6) {
                breach("quota: " + job.owner + " uses " + used + " of " + limit);
            }
        }
        Map<String, Integer> inZone = new HashMap<>();
        for (Map.Entry<String, String> entry : runningOn.entrySet()) {
            if (isAlive(entry.getValue()) && jobOf(entry.getKey()) == job) inZone.merge(cloud.machines.get(entry.getValue()).zone, 1, Integer::sum);
        }
        if (job.yard != null && !job.yard.equals(zone)) breach("wrong_place: " + part + " in " + zone);
        if (job.samePlace && inZone.size() > 1) breach("wrong_place: " + part + " starts in " + zone + ", others run elsewhere");
        if (job.spread && inZone.get(zone) > (job.parts + 1) / 2) breach("wrong_place: too many tasks of " + job.uid + " in " + zone);
        if (!job.loaners && cloud.machines.get(machine).isSpot) breach("wrong_place: " + part + " on a spot machine");
        if (job.waitsOn != null) {
            for (String uid : job.waitsOn) {
                Job before = jobs.get(uid);
                for (int i = 0; i < before.parts; i++) {
                    if (!doneParts.contains(uid + "/" + i)) {
                        breach("too_early: " + part + " before " + uid);
                        break;
                    }
                }
            }
        }
    }

    synchronized void taskLeft(String part, String machine, String why) {
        record.line("run: %s left %s: %s", part, machine, why);
        if (machine.equals(runningOn.get(part))) runningOn.remove(part);
    }

    /** Whether a machine is there and its worker's lease is not over: what hangs past its lease runs no more. */
    private boolean isAlive(String machine) {
        Worker worker = cloud.machines.get(machine);
        return worker != null && !worker.isGone && !worker.isLeaseOver();
    }

    boolean isDone(String part) {
        return doneParts.contains(part);
    }

    void markDone(String part) {
        doneParts.add(part);
    }

    void returned(Worker worker) {
        killedByReturn.addAll(worker.runningParts());
    }

    synchronized void checkCancelled() {
        for (Map.Entry<String, String> entry : runningOn.entrySet()) {
            Job job = jobOf(entry.getKey());
            if (isAlive(entry.getValue()) && job.cancelledToldAt >= 0 && now() > job.cancelledToldAt + cancelS) {
                breach("ran_cancelled: " + entry.getKey() + " is on " + entry.getValue());
            }
        }
    }

    void breach(String what) {
        if (broken.contains(what)) return;
        broken.add(what);
        record.line("BROKEN %s", what);
    }

    /** Copies the last lines of the controllers' logs into the record. */
    void recordLogs(int lines) {
        for (int i = 0; i < zones.size(); i++) {
            try {
                List<String> log = Files.readAllLines(logFile(i).toPath());
                record.line("log of %s, last lines:", labels.get(i));
                for (String line : log.subList(Math.max(0, log.size() - lines), log.size())) record.line("  %s", line.replace(folder.toString(), "TMP"));
            } catch (Exception e) {
                record.line("no log of %s", labels.get(i));
            }
        }
    }

    @Override
    public void close() {
        killAll();
        if (cloud != null) for (Worker worker : cloud.up()) worker.destroy("end of the case");
        record.close();
        deleteFolder(folder.toFile());
    }

    private static void deleteFolder(File file) {
        File[] children = file.listFiles();
        if (children != null) for (File child : children) deleteFolder(child);
        file.delete();
    }
}
