package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;

/** A model engine: streams answers, and takes orders for adapters and models, as PROTOCOL.md describes them. */
final class Engine implements AutoCloseable {
    private static final long ADAPTER_LOAD_MILLIS = 10;
    private static final long MODEL_LOAD_MILLIS = 9_000;

    /** An order as it arrived. */
    record Order(double seconds, String holder, long token, long expected, int status, String text) {
    }

    /** A request that this engine ran. */
    record Run(double seconds, String id, String tenant, String model) {
    }

    final String id;
    final List<Order> orders = new CopyOnWriteArrayList<>();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final Map<String, Set<String>> models = new LinkedHashMap<>();
    /** Running requests by model and by adapter, and adapters that leave with their last request. */
    private final Map<String, Integer> uses = new HashMap<>();
    private final Set<String> leaving = new HashSet<>();
    private final String service;
    private final InetSocketAddress published;
    private final int adapterSlots;
    private final int events;
    private final long eventMillis;
    private final Store store;
    private final Record record;
    private final Http.Server server;
    private final long born = System.currentTimeMillis();
    private volatile boolean closed;
    private boolean busy;
    private long accepted;
    private long beats;

    /** The engine listens at [address]; its entry names [published], which may be a proxy. */
    Engine(String id, String service, InetSocketAddress address, InetSocketAddress published, List<String> held,
        int adapterSlots, int events, long eventMillis, Store store, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.published = published;
        this.adapterSlots = adapterSlots;
        this.events = events;
        this.eventMillis = eventMillis;
        this.store = store;
        this.record = record;
        held.forEach(model -> models.put(model, new LinkedHashSet<>()));
        server = new Http.Server(address, this::handle);
        Http.thread("beats of " + id, () -> {
            while (!closed) {
                beat();
                Thread.sleep(1_200);
            }
        });
    }

    private synchronized List<Object> modelFields() {
        List<Object> fields = new ArrayList<>();
        models.forEach((name, adapters) ->
            fields.add(Json.of("name", name, "version", 1, "adapters", new ArrayList<>(adapters))));
        return fields;
    }

    private synchronized void beat() {
        if (closed) return;
        store.put("servers/" + id, Json.of("service", service, "address",
            published.getHostString() + ":" + published.getPort(), "zone", "lowlands-a", "version", "v1", "slots", 64,
            "state", "ready", "coldRemainingMs", 0, "stage", "both", "models", modelFields(), "sequence", ++beats,
            "born", born));
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        String expected = request.headers.get("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            connection.answer(421, Map.of("Instance-Id", id), new byte[0]);
        } else if (request.path().equals("/report")) {
            Object report;
            synchronized (this) {
                report = Json.of("stage", "both", "models", modelFields(), "busy", busy, "sequence", accepted,
                    "queueDepth", 0, "activeRequests", 0, "kvUsed", 0, "kvTotal", 137551, "handles", 0, "born", born);
            }
            connection.json(200, report);
        } else if (request.path().equals("/order")) {
            int status = order(Json.object(request.text()));
            connection.json(status, Map.of());
        } else {
            stream(request, connection);
        }
    }

    private synchronized int order(Map<String, Object> body) {
        String model = (String) body.get("model");
        String adapter = (String) body.get("adapter");
        boolean load = body.get("operation").equals("load");
        long expected = body.get("expected") == null ? accepted : ((Number) body.get("expected")).longValue();
        int status = decide(model, adapter, load, expected);
        String text = body.get("operation") + " " + model + (adapter == null ? "" : "/" + adapter);
        Order order = new Order(record.seconds(), (String) body.get("holder"),
            ((Number) body.get("fencingToken")).longValue(), expected, status, text);
        orders.add(order);
        record.line(id, "order " + text + " of " + order.holder + ", token " + order.token + ", expected " + expected
            + ": " + status);
        return status;
    }

    private int decide(String model, String adapter, boolean load, long expected) {
        if (busy || expected != accepted) return 409;
        Set<String> adapters = models.get(model);
        if (adapter != null) {
            if (adapters == null) return 400;
            if (load == adapters.contains(adapter)) return 200;
            accepted++;
            if (load) {
                Http.thread("load", () -> {
                    Thread.sleep(ADAPTER_LOAD_MILLIS);
                    synchronized (this) {
                        adapters.add(adapter);
                        int count = models.values().stream().mapToInt(Set::size).sum();
                        if (count > adapterSlots) record.line(id, "holds " + count + " adapters in " + adapterSlots + " places");
                    }
                });
                return 202;
            }
            if (uses.getOrDefault(model + "/" + adapter, 0) > 0) {
                leaving.add(model + "/" + adapter);
                return 202;
            }
            adapters.remove(adapter);
            return 200;
        }
        if (load == (adapters != null)) return 200;
        accepted++;
        busy = true;
        Http.thread("operation", () -> {
            Thread.sleep(load ? MODEL_LOAD_MILLIS : 100);
            synchronized (this) {
                while (!load && uses.getOrDefault(model, 0) > 0) wait();
                if (load) models.put(model, new LinkedHashSet<>());
                else models.remove(model);
                busy = false;
            }
            beat();
        });
        return 202;
    }

    private void stream(Http.Message request, Http.Connection connection) throws Exception {
        String requestId = request.headers.getOrDefault("Request-Id", "");
        String model = request.headers.getOrDefault("Model", "");
        boolean held;
        synchronized (this) {
            if (leaving.contains(model)) {
                connection.answer(503, Map.of("Request-Id", requestId, "Not-Executed", "1"), new byte[0]);
                return;
            }
            Set<String> adapters = models.get(model.split("/")[0]);
            held = adapters != null && (!model.contains("/") || adapters.contains(model.split("/")[1]));
            if (held) use(model, 1);
        }
        if (!held) {
            connection.answer(421, Map.of("Instance-Id", id), new byte[0]);
            return;
        }
        try {
            run(request, connection, requestId, model);
        } finally {
            synchronized (this) {
                use(model, -1);
            }
        }
    }

    /** Counts a request for [model], which may name an adapter; the last one of an adapter that leaves ends it. */
    private void use(String model, int change) {
        String base = model.split("/")[0];
        uses.merge(base, change, Integer::sum);
        if (!model.equals(base) && uses.merge(model, change, Integer::sum) == 0 && leaving.remove(model)) {
            models.getOrDefault(base, Set.of()).remove(model.split("/")[1]);
        }
        notifyAll();
    }

    private void run(Http.Message request, Http.Connection connection, String requestId, String model) throws Exception {
        String tenant = request.headers.get("Tenant");
        runs.add(new Run(record.seconds(), requestId, tenant, model));
        record.line(id, "runs " + requestId + " on " + model + " for tenant " + tenant);
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", requestId);
        headers.put("Response-Signature", id + "." + requestId);
        headers.put("Content-Type", "text/event-stream");
        headers.put("Weight-Versions", "1");
        headers.put("Server-Load", "1,0,64");
        long next = Long.parseLong(request.headers.getOrDefault("Last-Event-Id", "0")) + 1;
        connection.startChunked(200, headers);
        for (long event = next; event <= events; event++) {
            Thread.sleep(eventMillis);
            connection.chunk("id: " + event + "\ndata: token" + event + "\n\n");
        }
        connection.endChunks();
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        server.close();
    }
}
