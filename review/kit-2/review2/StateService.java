package review2;

import com.sun.net.httpserver.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.URI;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import review2.Http.Answer;

/**
 * A state service after the protocol: keys, transactions, leases and watches. Each controller has a port of its own, so that one controller
 * alone can be refused (503).
 */
final class StateService {
    private record Row(JsonObject value, long stamp, Long lease) {}

    private record Change(String key, long stamp, JsonObject value) {}

    private static final class Lease {
        long lifeMs;
        long endsAtMs;
    }

    private final int txnOps;
    private final int valueBytes;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private final HashMap<Long, Lease> leases = new HashMap<>();
    private long revision = 0;
    private long lastLease = 0;
    private volatile boolean outage = false;
    private final Map<Integer, Boolean> refused = new java.util.concurrent.ConcurrentHashMap<>();
    private final List<HttpServer> servers = new ArrayList<>();

    StateService(int txnOps, int valueKb) {
        this.txnOps = txnOps;
        this.valueBytes = valueKb * 1024;
        Thread thread = new Thread(this::expireLoop);
        thread.setDaemon(true);
        thread.start();
    }

    /** Serves on a port for one controller. */
    void serve(int port) throws Exception {
        servers.add(Http.serve(port, (method, uri, body) -> route(port, method, uri, body)));
    }

    private final Map<Integer, Boolean> held = new java.util.concurrent.ConcurrentHashMap<>();
    volatile long delayMs = 0;

    /** Holds all requests that come through a port; when it ends, they are executed late. */
    void hold(int port, boolean isHeld) {
        held.put(port, isHeld);
        synchronized (this) {
            notifyAll();
        }
    }

    /** Refuses all requests that come through a port, or serves them again. */
    void refuse(int port, boolean isRefused) {
        refused.put(port, isRefused);
        synchronized (this) {
            notifyAll();
        }
    }

    synchronized void setOutage(boolean isOutage) {
        if (outage && !isOutage) leases.values().forEach(lease -> lease.endsAtMs = now() + lease.lifeMs);
        outage = isOutage;
        notifyAll();
    }

    /** The label in the record of a key; null if the key doesn't exist. */
    synchronized String labelOf(String key) {
        Row row = rows.get(key);
        return row == null ? null : row.value().getString("label");
    }

    synchronized List<String> keys(String prefix) {
        ArrayList<String> result = new ArrayList<>();
        for (String key : rows.keySet()) if (key.startsWith(prefix)) result.add(key);
        return result;
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    private boolean isDown(int port) {
        return outage || held.getOrDefault(port, false) || refused.getOrDefault(port, false);
    }

    private Answer route(int port, String method, URI uri, JsonObject body) throws Exception {
        String path = uri.getPath();
        if (held.getOrDefault(port, false)) {
            synchronized (this) {
                while (held.getOrDefault(port, false)) wait();
            }
        }
        if (delayMs > 0) Thread.sleep(delayMs);
        if (isDown(port)) return error(503, "trouble");
        if (path.equals("/changes")) return watch(port, uri);
        synchronized (this) {
            if (path.equals("/txn")) return transact(body);
            if (path.equals("/kv")) return scan(uri);
            if (path.startsWith("/kv/")) return get(path.substring(4));
            if (path.equals("/leases")) return grant(body);
            String[] parts = path.split("/");
            if (path.endsWith("/renew")) return renew(Long.parseLong(parts[2]));
            if (path.startsWith("/leases/") && method.equals("DELETE")) return endLease(Long.parseLong(parts[2]));
        }
        return error(400, "unknown request");
    }

    private static Answer error(int status, String text) {
        return new Answer(status, new JsonObject().put("error", text));
    }

    private Answer get(String key) {
        Row row = rows.get(key);
        return row == null ? new Answer(404, new JsonObject().put("ledger_rev", revision)) : new Answer(200, json(key, row));
    }

    private static JsonObject json(String key, Row row) {
        JsonObject json = new JsonObject().put("k", key).put("value", row.value()).put("stamp", row.stamp());
        if (row.lease() != null) json.put("tenancy", row.lease());
        return json;
    }

    private Answer scan(URI uri) {
        String prefix = Http.param(uri, "prefix");
        String since = Http.param(uri, "since");
        int most = Http.param(uri, "most") == null ? 1000 : Integer.parseInt(Http.param(uri, "most"));
        JsonArray page = new JsonArray();
        boolean isTruncated = false;
        for (Map.Entry<String, Row> entry : rows.tailMap(prefix, true).entrySet()) {
            if (!entry.getKey().startsWith(prefix)) break;
            if (since != null && entry.getKey().compareTo(since) <= 0) continue;
            if (page.size() >= Math.min(most, 1000)) {
                isTruncated = true;
                break;
            }
            page.add(json(entry.getKey(), entry.getValue()));
        }
        return new Answer(
                200, new JsonObject().put("rows", page).put("truncated", isTruncated).put("ledger_rev", revision));
    }

    private Answer transact(JsonObject body) {
        JsonArray guards = body.getJsonArray("guards", new JsonArray());
        JsonArray then = body.getJsonArray("then", new JsonArray());
        if (body.encode().length() > 65536 || then.size() > txnOps || guards.size() > 4 * txnOps) {
            return error(400, "too large");
        }
        for (Object item : then) {
            JsonObject operation = (JsonObject) item;
            JsonObject value = operation.getJsonObject("value");
            if (value != null && value.encode().length() > valueBytes) return error(400, "value too large");
            Long lease = operation.getLong("tenancy");
            if (lease != null && !leases.containsKey(lease)) return error(400, "no such lease");
        }
        JsonArray failed = new JsonArray();
        for (Object item : guards) {
            JsonObject guard = (JsonObject) item;
            Row row = rows.get(guard.getString("k"));
            if ((row == null ? 0 : row.stamp()) != guard.getLong("stamp")) failed.add(guard.getString("k"));
        }
        if (!failed.isEmpty()) {
            return new Answer(409, new JsonObject().put("failed", failed).put("ledger_rev", revision));
        }
        if (!then.isEmpty()) revision++;
        for (Object item : then) {
            JsonObject operation = (JsonObject) item;
            String key = operation.getString("put");
            if (key != null) {
                JsonObject value = operation.getJsonObject("value");
                rows.put(key, new Row(value, revision, operation.getLong("tenancy")));
                changes.add(new Change(key, revision, value));
            } else {
                delete(operation.getString("delete"));
            }
        }
        notifyAll();
        return new Answer(200, new JsonObject().put("ledger_rev", revision));
    }

    private void delete(String key) {
        if (rows.remove(key) != null) changes.add(new Change(key, revision, null));
    }

    private Answer grant(JsonObject body) {
        Lease lease = new Lease();
        lease.lifeMs = body.getLong("life_ms");
        lease.endsAtMs = now() + lease.lifeMs;
        leases.put(++lastLease, lease);
        return new Answer(200, new JsonObject().put("tenancy", lastLease));
    }

    private Answer renew(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return error(404, "no such lease");
        lease.endsAtMs = now() + lease.lifeMs;
        return new Answer(200, new JsonObject().put("tenancy", id));
    }

    private Answer endLease(long id) {
        if (leases.containsKey(id)) removeLease(id);
        return new Answer(200, new JsonObject());
    }

    private void removeLease(long id) {
        leases.remove(id);
        revision++;
        for (Map.Entry<String, Row> entry : new ArrayList<>(rows.entrySet())) {
            if (entry.getValue().lease() != null && entry.getValue().lease() == id) delete(entry.getKey());
        }
        notifyAll();
    }

    private void expireLoop() {
        while (true) {
            synchronized (this) {
                if (!outage) {
                    long now = now();
                    for (Map.Entry<Long, Lease> entry : new ArrayList<>(leases.entrySet())) {
                        if (entry.getValue().endsAtMs < now) removeLease(entry.getKey());
                    }
                }
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private synchronized Answer watch(int port, URI uri) throws InterruptedException {
        String prefix = Http.param(uri, "prefix");
        long since = Long.parseLong(Http.param(uri, "since"));
        String wait = Http.param(uri, "wait_ms");
        long deadline = now() + (wait == null ? 0 : Long.parseLong(wait));
        while (true) {
            JsonArray events = new JsonArray();
            if (!isDown(port)) {
                for (int i = changes.size() - 1; i >= 0 && changes.get(i).stamp() > since; i--) {
                    Change change = changes.get(i);
                    if (!change.key().startsWith(prefix)) continue;
                    JsonObject event = new JsonObject();
                    if (change.value() == null) event.put("delete", change.key());
                    else event.put("put", change.key()).put("value", change.value());
                    events.getList().add(0, event.put("stamp", change.stamp()));
                }
            }
            long left = deadline - now();
            if (!isDown(port) && (!events.isEmpty() || left <= 0)) {
                return new Answer(200, new JsonObject().put("ledger_rev", revision).put("events", events));
            }
            wait(Math.max(1, left <= 0 ? 50 : left));
        }
    }
}
