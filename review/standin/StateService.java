package standin;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * A stand-in for the state service, with the limits of the protocol page. It listens on one port for each controller, so that it can
 * refuse a single one. Everything runs on one event loop.
 */
public final class StateService {
    private record Row(JsonObject value, long stamp, long tenancy) {}

    private record Change(String key, JsonObject value, long stamp) {}

    private static final class Lease {
        final long lifeMs;
        long endsAtMs;

        Lease(long lifeMs, long nowMs) {
            this.lifeMs = lifeMs;
            endsAtMs = nowMs + lifeMs;
        }
    }

    private record Watch(String front, HttpServerRequest request, String prefix, long since, long endsAtMs) {}

    /** Decides what happens to a transaction of a controller. Null: it is carried out and answered. */
    public interface TransactionFault {
        /** Returns the delay in ms after which the transaction is carried out without an answer; 0 for at once; null for no fault. */
        Long unansweredAfterMs(String front, JsonObject body);
    }

    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int MAX_CHANGES_KEPT = 10_000;
    private final Vertx vertx;
    private final Recorder recorder;
    private final int rps;
    private final int writeRps;
    private final int txnOps;
    private final int valueBytes;
    private final TreeMap<String, Row> rows = new TreeMap<>();
    private final ArrayList<Change> changes = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final ArrayList<Watch> watches = new ArrayList<>();
    private final Set<String> refused = new HashSet<>();
    private long revision = 1;
    private long lastLease = 0;
    private long droppedUpTo = 0;
    private boolean isDown;
    private double requestBudget;
    private double writeBudget;
    private long budgetAtMs = System.currentTimeMillis();
    public TransactionFault transactionFault = (front, body) -> null;
    public int answerDelayMs = 0;
    public int tooLarge;
    public int largestTransaction;

    public StateService(Vertx vertx, Recorder recorder, int rps, int writeRps, int txnOps, int valueKb) {
        this.vertx = vertx;
        this.recorder = recorder;
        this.rps = rps;
        this.writeRps = writeRps;
        this.txnOps = txnOps;
        valueBytes = valueKb * 1024;
        requestBudget = rps;
        writeBudget = writeRps;
        vertx.setPeriodic(25, t -> onTick());
    }

    /** Listens on a port for the requests of one controller. */
    public void listen(String front, int port) {
        vertx.createHttpServer()
            .requestHandler(r -> r.bodyHandler(b -> {
                if (answerDelayMs > 0) vertx.setTimer(answerDelayMs, t -> route(front, r, b.toString()));
                else route(front, r, b.toString());
            }))
            .listen(port, "127.0.0.1").toCompletionStage().toCompletableFuture().join();
    }

    /** Begins or ends an outage. During an outage no lease ends; after it all leases have their full time again. */
    public void setDown(boolean down) {
        recorder.line("STATE " + (down ? "outage begins: every request gets 503" : "outage ends"));
        isDown = down;
        if (!down) {
            long nowMs = System.currentTimeMillis();
            leases.values().forEach(l -> l.endsAtMs = nowMs + l.lifeMs);
            notifyWatches();
        }
    }

    /** Begins or ends the refusal of one controller: it gets 503, its leases run out and its open watches wait. */
    public void setRefused(String front, boolean isRefused) {
        recorder.line("STATE " + (isRefused ? "refuses " : "serves again ") + front);
        if (isRefused) refused.add(front);
        else refused.remove(front);
        notifyWatches();
    }

    public long revision() {
        return revision;
    }

    public JsonObject value(String key) {
        Row row = rows.get(key);
        return row == null ? null : row.value;
    }

    public List<String> keys(String prefix) {
        return rows.tailMap(prefix).keySet().stream().takeWhile(k -> k.startsWith(prefix)).toList();
    }

    private boolean takeBudget(int writes) {
        long nowMs = System.currentTimeMillis();
        double passedS = (nowMs - budgetAtMs) / 1000.0;
        budgetAtMs = nowMs;
        requestBudget = Math.min(rps, requestBudget + passedS * rps);
        writeBudget = Math.min(writeRps, writeBudget + passedS * writeRps);
        if (requestBudget < 1 || writeBudget < writes) return false;
        requestBudget -= 1;
        writeBudget -= writes;
        return true;
    }

    private void route(String front, HttpServerRequest request, String text) {
        if (isDown || refused.contains(front)) {
            answer(request, 503, new JsonObject().put("error", "trouble"));
            return;
        }
        String path = request.path();
        JsonObject body = text.isEmpty() ? new JsonObject() : new JsonObject(text);
        int writes = path.equals("/txn") ? body.getJsonArray("then", new JsonArray()).size() : 0;
        if (!takeBudget(writes)) {
            answer(request, 429, new JsonObject().put("error", "rate"));
        } else if (path.equals("/txn")) {
            onTransaction(front, request, text, body);
        } else if (path.equals("/changes")) {
            onWatch(front, request);
        } else if (path.equals("/kv")) {
            scan(request);
        } else if (path.startsWith("/kv/")) {
            get(request, path.substring(4));
        } else if (path.equals("/leases")) {
            long lease = ++lastLease;
            leases.put(lease, new Lease(body.getLong("life_ms"), System.currentTimeMillis()));
            answer(request, 200, new JsonObject().put("tenancy", lease));
        } else if (path.endsWith("/renew")) {
            Lease lease = leases.get(Long.parseLong(path.split("/")[2]));
            if (lease != null) lease.endsAtMs = System.currentTimeMillis() + lease.lifeMs;
            answer(request, lease == null ? 404 : 200, new JsonObject());
        } else if (path.startsWith("/leases/")) {
            endLeases(Set.of(Long.parseLong(path.split("/")[2])));
            answer(request, 200, new JsonObject());
        } else {
            answer(request, 404, new JsonObject());
        }
    }

    private void answer(HttpServerRequest request, int status, JsonObject body) {
        if (!request.response().ended() && !request.response().closed()) {
            request.response().setStatusCode(status).end(body.encode());
        }
    }

    private void get(HttpServerRequest request, String key) {
        Row row = rows.get(key);
        if (row == null) answer(request, 404, new JsonObject().put("ledger_rev", revision));
        else answer(request, 200, rowJson(key, row));
    }

    private JsonObject rowJson(String key, Row row) {
        JsonObject json = new JsonObject().put("k", key).put("value", row.value).put("stamp", row.stamp);
        return row.tenancy == 0 ? json : json.put("tenancy", row.tenancy);
    }

    private void scan(HttpServerRequest request) {
        String prefix = request.getParam("prefix");
        String since = request.getParam("since") == null ? "" : request.getParam("since");
        int most = request.getParam("most") == null ? 1000 : Math.min(1000, Integer.parseInt(request.getParam("most")));
        JsonArray page = new JsonArray();
        boolean truncated = false;
        int bytes = 0;
        for (Map.Entry<String, Row> e : rows.tailMap(prefix).entrySet()) {
            if (!e.getKey().startsWith(prefix)) break;
            if (e.getKey().compareTo(since) <= 0) continue;
            JsonObject row = rowJson(e.getKey(), e.getValue());
            bytes += row.encode().length();
            if (page.size() >= most || bytes > 512 * 1024) {
                truncated = true;
                break;
            }
            page.add(row);
        }
        answer(request, 200, new JsonObject().put("rows", page).put("truncated", truncated).put("ledger_rev", revision));
    }

    private void onTransaction(String front, HttpServerRequest request, String text, JsonObject body) {
        int bytes = text.getBytes(java.nio.charset.StandardCharsets.UTF_8).length;
        largestTransaction = Math.max(largestTransaction, bytes);
        if (bytes > MAX_BODY_BYTES) {
            tooLarge++;
            if (tooLarge <= 5 || tooLarge % 50 == 0) {
                recorder.line("STATE transaction of " + front + " has " + bytes + " bytes, "
                    + body.getJsonArray("then", new JsonArray()).size() + " changes, first key "
                    + firstKey(body) + ": answered 400 (number " + tooLarge + " of this kind)");
            }
            answer(request, 400, new JsonObject().put("error", "transaction too large"));
            return;
        }
        Long delayMs = transactionFault.unansweredAfterMs(front, body);
        if (delayMs == null) {
            JsonObject result = new JsonObject();
            int status = transact(body, result);
            answer(request, status, result);
        } else if (delayMs == 0) {
            transact(body, new JsonObject());
        } else {
            vertx.setTimer(delayMs, t -> transact(body, new JsonObject()));
        }
    }

    private String firstKey(JsonObject body) {
        JsonArray then = body.getJsonArray("then", new JsonArray());
        if (then.isEmpty()) return "none";
        JsonObject first = then.getJsonObject(0);
        return first.getString("put") != null ? first.getString("put") : first.getString("delete");
    }

    private int transact(JsonObject body, JsonObject result) {
        JsonArray guards = body.getJsonArray("guards", new JsonArray());
        JsonArray then = body.getJsonArray("then", new JsonArray());
        if (then.size() > txnOps || guards.size() > 4 * txnOps) {
            result.put("error", "too many");
            return 400;
        }
        for (Object o : then) {
            JsonObject op = (JsonObject) o;
            if (op.getString("put") == null) continue;
            if (op.getJsonObject("value").encode().getBytes(java.nio.charset.StandardCharsets.UTF_8).length > valueBytes) {
                recorder.line("STATE value of " + op.getString("put") + " is too large: answered 400");
                result.put("error", "value too large");
                return 400;
            }
            if (op.getLong("tenancy") != null && !leases.containsKey(op.getLong("tenancy"))) {
                result.put("error", "no such lease");
                return 400;
            }
        }
        JsonArray failed = new JsonArray();
        for (Object o : guards) {
            JsonObject guard = (JsonObject) o;
            Row row = rows.get(guard.getString("k"));
            if ((row == null ? 0 : row.stamp) != guard.getLong("stamp")) failed.add(guard.getString("k"));
        }
        if (!failed.isEmpty()) {
            result.put("failed", failed).put("ledger_rev", revision);
            return 409;
        }
        if (!then.isEmpty()) {
            revision++;
            for (Object o : then) {
                JsonObject op = (JsonObject) o;
                String key = op.getString("put");
                if (key == null) {
                    delete(op.getString("delete"));
                } else {
                    Long tenancy = op.getLong("tenancy");
                    rows.put(key, new Row(op.getJsonObject("value"), revision, tenancy == null ? 0 : tenancy));
                    changes.add(new Change(key, op.getJsonObject("value"), revision));
                }
            }
            while (changes.size() > MAX_CHANGES_KEPT) droppedUpTo = changes.remove(0).stamp;
        }
        result.put("ledger_rev", revision);
        notifyWatches();
        return 200;
    }

    private void delete(String key) {
        if (rows.remove(key) != null) changes.add(new Change(key, null, revision));
    }

    private void endLeases(Set<Long> ids) {
        revision++;
        for (long id : ids) {
            leases.remove(id);
            for (String key : new ArrayList<>(rows.keySet())) if (rows.get(key).tenancy == id) delete(key);
        }
        notifyWatches();
    }

    private void onTick() {
        long nowMs = System.currentTimeMillis();
        if (!isDown) {
            HashSet<Long> ended = new HashSet<>();
            leases.forEach((id, lease) -> {
                if (lease.endsAtMs < nowMs) ended.add(id);
            });
            if (!ended.isEmpty()) endLeases(ended);
        }
        for (Watch watch : new ArrayList<>(watches)) {
            if (watch.endsAtMs <= nowMs && !isDown && !refused.contains(watch.front)) {
                watches.remove(watch);
                answerWatch(watch);
            }
        }
    }

    private void onWatch(String front, HttpServerRequest request) {
        long since = Long.parseLong(request.getParam("since"));
        if (since < droppedUpTo) {
            answer(request, 410, new JsonObject());
            return;
        }
        long waitMs = request.getParam("wait_ms") == null ? 0 : Long.parseLong(request.getParam("wait_ms"));
        Watch watch = new Watch(front, request, request.getParam("prefix"), since, System.currentTimeMillis() + waitMs);
        if (waitMs == 0 || hasChanges(watch)) answerWatch(watch);
        else watches.add(watch);
    }

    private boolean hasChanges(Watch watch) {
        for (int i = changes.size() - 1; i >= 0 && changes.get(i).stamp > watch.since; i--) {
            if (changes.get(i).key.startsWith(watch.prefix)) return true;
        }
        return false;
    }

    private void answerWatch(Watch watch) {
        JsonArray events = new JsonArray();
        for (Change c : changes) {
            if (c.stamp <= watch.since || !c.key.startsWith(watch.prefix)) continue;
            JsonObject event = new JsonObject().put("stamp", c.stamp);
            events.add(c.value == null ? event.put("delete", c.key) : event.put("put", c.key).put("value", c.value));
        }
        answer(watch.request, 200, new JsonObject().put("ledger_rev", revision).put("events", events));
    }

    private void notifyWatches() {
        if (isDown) return;
        for (Watch watch : new ArrayList<>(watches)) {
            if (!refused.contains(watch.front) && hasChanges(watch)) {
                watches.remove(watch);
                answerWatch(watch);
            }
        }
    }
}
