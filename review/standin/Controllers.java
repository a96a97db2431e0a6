package standin;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The controller processes, started with the command of the deploy file, and the requests of users to them. */
public final class Controllers {
    private static final Set<Integer> TAKEN = new HashSet<>();
    private static final Random PORTS = new Random();

    public record Answer(int status, JsonObject body) {
        public String state() {
            return body == null ? null : body.getString("status");
        }

        @Override
        public String toString() {
            return status + (body == null ? "" : " " + body.encode());
        }
    }

    private final Recorder recorder;
    private final List<String> zones;
    private final File folder;
    private final JsonObject settings;
    public final List<Integer> servePorts = new ArrayList<>();
    public final List<Integer> clusterPorts = new ArrayList<>();
    public final List<Integer> statePorts = new ArrayList<>();
    public final int cloudPort = freePort();
    /** The address that controller i uses for controller j; a case may put a proxy there. */
    public final int[][] seedPorts;
    private final Process[] processes;
    private final HttpClient http = HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).version(HttpClient.Version.HTTP_1_1).build();

    public Controllers(Recorder recorder, List<String> zones, JsonObject settings) throws IOException {
        this.recorder = recorder;
        this.zones = zones;
        this.settings = settings;
        folder = Files.createTempDirectory("review").toFile();
        processes = new Process[zones.size()];
        seedPorts = new int[zones.size()][zones.size()];
        for (int i = 0; i < zones.size(); i++) {
            servePorts.add(freePort());
            clusterPorts.add(freePort());
            statePorts.add(freePort());
        }
        for (int[] row : seedPorts) for (int j = 0; j < row.length; j++) row[j] = clusterPorts.get(j);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    /**
     * Returns a port that is free now, below the range from which the system takes the ports of outgoing connections. Each case has a range
     * of its own, so that cases can run at the same time.
     */
    public static synchronized int freePort() {
        int range = Integer.getInteger("ports", 0);
        while (true) {
            int port = 10_000 + 3_000 * range + PORTS.nextInt(3_000);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (TAKEN.add(socket.getLocalPort())) return socket.getLocalPort();
            } catch (IOException e) {
                // Taken by another program: the next one.
            }
        }
    }

    public static String label(int i) {
        return "holdfast-" + i;
    }

    public Map<String, Integer> portsByLabel() {
        LinkedHashMap<String, Integer> ports = new LinkedHashMap<>();
        for (int i = 0; i < zones.size(); i++) ports.put(label(i), servePorts.get(i));
        return ports;
    }

    public int count() {
        return zones.size();
    }

    public void start(int i) throws IOException {
        JsonArray seeds = new JsonArray();
        for (int j = 0; j < zones.size(); j++) {
            if (j != i) seeds.add(new JsonObject().put("label", label(j)).put("area", zones.get(j)).put("addr", "127.0.0.1:" + seedPorts[i][j]));
        }
        JsonObject json = new JsonObject().put("label", label(i)).put("area", zones.get(i))
            .put("serve_on", "127.0.0.1:" + servePorts.get(i)).put("cluster_listen", "127.0.0.1:" + clusterPorts.get(i))
            .put("seeds", seeds)
            .put("endpoints", new JsonObject().put("cloud", "127.0.0.1:" + cloudPort).put("state", "127.0.0.1:" + statePorts.get(i)))
            .put("settings", settings.copy().put("count", zones.size())
                .put("zones", new JsonArray(zones.stream().distinct().sorted().toList())));
        File file = new File(folder, label(i) + ".json");
        Files.writeString(file.toPath(), json.encodePrettily());
        String run = Files.readAllLines(new File("deploy/service.toml").toPath()).stream().filter(l -> l.startsWith("run = ")).findFirst().get();
        List<String> command = new ArrayList<>(List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        command.add(file.getPath());
        ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile(i)));
        builder.environment().put("LOG_LEVEL", System.getenv().getOrDefault("CONTROLLER_LOG", "info"));
        processes[i] = builder.start();
        recorder.line("CONTROLLER " + label(i) + " started");
    }

    public File logFile(int i) {
        return new File(folder, label(i) + ".log");
    }

    public File folder() {
        return folder;
    }

    public void startAll() throws IOException {
        for (int i = 0; i < zones.size(); i++) start(i);
    }

    public boolean isAlive(int i) {
        return processes[i] != null && processes[i].isAlive();
    }

    public Integer exitValue(int i) {
        return isAlive(i) || processes[i] == null ? null : processes[i].exitValue();
    }

    /** Kills the process with no chance to react. */
    public void kill(int i) throws InterruptedException {
        processes[i].destroyForcibly().waitFor();
        recorder.line("CONTROLLER " + label(i) + " killed");
    }

    /** Sends STOP or CONT to the process. */
    public void signal(int i, String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, Long.toString(processes[i].pid())).inheritIO().start().waitFor();
        recorder.line("CONTROLLER " + label(i) + " gets " + signal);
    }

    /** Ends all processes and deletes their files. */
    public void end() {
        for (Process p : processes) if (p != null) p.destroyForcibly();
        if (System.getenv("KEEP") != null) return;
        File[] files = folder.listFiles();
        if (files != null) for (File f : files) f.delete();
        folder.delete();
    }

    /** Sends a request of a user; status 0 means no answer within the time limit or no connection. */
    public Answer send(int i, String method, String path, JsonObject body, int timeoutMs) {
        try {
            HttpRequest.BodyPublisher publisher =
                body == null ? HttpRequest.BodyPublishers.noBody() : HttpRequest.BodyPublishers.ofString(body.encode());
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + servePorts.get(i) + path))
                .timeout(Duration.ofMillis(timeoutMs)).method(method, publisher).build();
            HttpResponse<String> response = http.send(request, HttpResponse.BodyHandlers.ofString());
            String text = response.body();
            return new Answer(response.statusCode(), text.startsWith("{") ? new JsonObject(text) : null);
        } catch (IOException | InterruptedException e) {
            return new Answer(0, null);
        }
    }

    public boolean isHealthy(int i) {
        return send(i, "GET", "/healthz", null, 1000).status() == 200;
    }

    public boolean areAllHealthy() {
        for (int i = 0; i < zones.size(); i++) if (!isHealthy(i)) return false;
        return true;
    }

    /** Submits like a user behind the load balancer: tries one node after the other, again after a second, for up to 60 s. */
    public Answer submit(JsonObject job, int first) throws InterruptedException {
        return repeat("POST", "/api/jobs", job, first, "SUBMIT " + job.getString("uid"));
    }

    public Answer cancel(String uid, int first) throws InterruptedException {
        return repeat("POST", "/api/jobs/" + uid + "/cancel", new JsonObject(), first, "CANCEL " + uid);
    }

    private Answer repeat(String method, String path, JsonObject body, int first, String what) throws InterruptedException {
        Answer answer = new Answer(0, null);
        for (int n = 0; n < 60; n++) {
            int i = (first + n) % zones.size();
            answer = send(i, method, path, body, 5000);
            recorder.line("USER " + what + " at " + label(i) + " -> " + answer);
            if (answer.status() == 200 || answer.status() == 201 || answer.status() == 400 || answer.status() == 422) return answer;
            Thread.sleep(1000);
        }
        return answer;
    }

    public Answer poll(int i, String uid) {
        return send(i, "GET", "/api/jobs/" + uid, null, 2000);
    }
}
