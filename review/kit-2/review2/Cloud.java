package review2;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Set;
import review2.Http.Answer;

/** A cloud after the protocol with one machine type. Its list lags, and rented machines boot after a while. */
final class Cloud {
    private final World world;
    private final double lagS;
    private final double bootS;
    final LinkedHashMap<String, Worker> machines = new LinkedHashMap<>();
    private final HashMap<String, JsonArray> hires = new HashMap<>();
    private final Set<String> returned = new HashSet<>();
    /** The machines of each type, zone and kind. */
    volatile int capacity = 5;
    private int counter = 0;
    /** A second, larger and dearer machine type; null if there is only one. */
    String secondBuild = null;
    /** The machine types of which no machine is left. */
    final Set<String> soldOut = java.util.concurrent.ConcurrentHashMap.newKeySet();

    Cloud(World world, double lagS, double bootS) {
        this.world = world;
        this.lagS = lagS;
        this.bootS = bootS;
    }

    void serve(int port) throws Exception {
        Http.serve(port, this::route);
    }

    synchronized List<Worker> up() {
        ArrayList<Worker> result = new ArrayList<>();
        for (Worker worker : machines.values()) if (!worker.isGone) result.add(worker);
        return result;
    }

    /** Creates a machine that was there before the case begins, or that a request rents. */
    synchronized Worker create(String zone, boolean isSpot, double delayS) throws Exception {
        return create(world.buildName, zone, isSpot, delayS);
    }

    private Worker create(String build, String zone, boolean isSpot, double delayS) throws Exception {
        String name = String.format("vm-%06d", ++counter);
        Worker worker = new Worker(world, name, build, zone, isSpot, factor(build));
        machines.put(name, worker);
        worker.boot(delayS);
        return worker;
    }

    private synchronized Answer route(String method, URI uri, JsonObject body) throws Exception {
        return switch (uri.getPath()) {
            case "/flavors" -> new Answer(200, new JsonObject().put("builds", types()));
            case "/hosts/return" -> giveBack(body);
            case "/hosts" -> method.equals("POST") ? rent(body) : list(uri);
            default -> new Answer(404, new JsonObject());
        };
    }

    private int factor(String build) {
        return build.equals(secondBuild) ? 2 : 1;
    }

    private JsonArray types() {
        JsonArray types = new JsonArray().add(type(world.buildName, 1.19, 0.44));
        return secondBuild == null ? types : types.add(type(secondBuild, 2.6, 1.0));
    }

    private JsonObject type(String build, double price, double spotPrice) {
        return new JsonObject()
                .put("name", build)
                .put("cores", world.machineCores * factor(build))
                .put("cards", 0)
                .put("mem_gb", world.machineMemGb * factor(build))
                .put("cache_gb", 50.0)
                .put("pull_gb_per_s", world.pullGbPerS)
                .put("hourly", price)
                .put("low_price", spotPrice)
                .put("boot_s", world.nominalBootS)
                .put("yards", new JsonArray(new ArrayList<>(world.zones)));
    }

    private Answer rent(JsonObject body) throws Exception {
        String hire = body.getString("hire");
        JsonArray names = hires.get(hire);
        if (names == null) {
            String zone = body.getString("yard");
            boolean isSpot = body.getBoolean("loaners");
            String build = body.getString("build");
            int number = Math.min(body.getInteger("number"), left(build, zone, isSpot));
            boolean hasCapacity = number > 0 && !soldOut.contains(build);
            if (!hasCapacity) {
                world.record.line("cloud: POST /hosts %s -> 503 no capacity", body.encode());
                return new Answer(503, new JsonObject().put("error", "no capacity"));
            }
            names = new JsonArray();
            for (int i = 0; i < number; i++) names.add(create(build, zone, isSpot, bootS * (0.8 + 0.4 * Math.random())).name);
            hires.put(hire, names);
        }
        world.rented.add(world.now());
        world.record.line("cloud: POST /hosts %s -> 200 %s", body.encode(), names.encode());
        return new Answer(200, new JsonObject().put("holdfasts", names));
    }

    /** How many machines of a pool the cloud has left. */
    private int left(String build, String zone, boolean isSpot) {
        int rented = 0;
        for (Worker worker : up()) if (worker.build.equals(build) && worker.zone.equals(zone) && worker.isSpot == isSpot) rented++;
        return capacity - rented;
    }

    private Answer giveBack(JsonObject body) {
        world.record.line("cloud: POST /hosts/return %s", body.encode());
        for (Object item : body.getJsonArray("holdfasts")) {
            Worker worker = machines.get((String) item);
            if (worker == null) continue;
            world.returned(worker);
            returned.add(worker.name);
            worker.destroy("returned by the service");
        }
        return new Answer(200, new JsonObject());
    }

    private Answer list(URI uri) {
        String since = Http.param(uri, "since");
        String mostText = Http.param(uri, "most");
        int most = mostText == null ? 500 : Math.min(500, Integer.parseInt(mostText));
        double asOf = world.now() - lagS;
        JsonArray rows = new JsonArray();
        boolean isTruncated = false;
        for (Worker worker : machines.values()) {
            if (since != null && worker.name.compareTo(since) <= 0) continue;
            if (worker.createdAt > asOf || worker.goneAt <= asOf) continue;
            if (rows.size() >= most) {
                isTruncated = true;
                break;
            }
            rows.add(
                    new JsonObject()
                            .put("uid", worker.name)
                            .put("addr", worker.address())
                            .put("build", worker.build)
                            .put("yard", worker.zone)
                            .put("loaners", worker.isSpot)
                            .put("status", worker.upAt <= asOf ? "running" : "starting")
                            .put("age_s", asOf - worker.createdAt));
        }
        return new Answer(200, new JsonObject().put("holdfasts", rows).put("truncated", isTruncated));
    }
}
