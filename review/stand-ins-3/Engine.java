import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A model replica: reports, carries out loads and unloads one at a time, and answers requests with streams. */
final class Engine implements AutoCloseable {
    final String id;
    private final String service;
    private final Http.Server server;
    private final Store store;
    private final Record record;
    private final long loadMillis;
    private final Map<String, List<String>> models = new TreeMap<>();
    private final long born = System.currentTimeMillis();
    private long accepted;
    private long beats;
    private boolean isBusy;

    Engine(String host, String id, String service, Store store, Record record, long loadMillis, String... models)
        throws IOException {
        this.id = id;
        this.service = service;
        this.store = store;
        this.record = record;
        this.loadMillis = loadMillis;
        for (String model : models) this.models.put(model, new ArrayList<>());
        server = new Http.Server(host, this::handle);
        Http.daemon("beats", this::beat);
    }

    private void beat() {
        try {
            while (true) {
                writeEntry();
                Thread.sleep(1_200);
            }
        } catch (InterruptedException interrupted) {
            // The engine has ended.
        }
    }

    private synchronized void writeEntry() {
        store.put("servers/" + id, Json.of("service", service, "address", server.hostAndPort(), "zone", "zone-a",
            "version", "v1", "slots", 64, "state", "ready", "coldRemainingMs", 0, "stage", "both",
            "models", listedModels(), "atHand", Json.of("inMemory", List.of(), "onDisk", List.of()),
            "sequence", ++beats, "born", born));
    }

    private List<Object> listedModels() {
        List<Object> list = new ArrayList<>();
        models.forEach((name, adapters) ->
            list.add(Json.of("name", name, "version", 1, "adapters", new ArrayList<>(adapters))));
        return list;
    }

    private void handle(Http.Message request, Http.Exchange exchange) throws Exception {
        String expected = request.headers.get("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            exchange.answer(421, "text/plain", "", "Instance-Id", id, "Not-Executed", "1");
        } else if (request.path().equals("/report")) {
            report(exchange);
        } else if (request.path().equals("/order")) {
            order(Json.object(Json.parse(request.text())), exchange);
        } else {
            stream(request, exchange);
        }
    }

    private void report(Http.Exchange exchange) throws IOException {
        Map<String, Object> body;
        synchronized (this) {
            body = new LinkedHashMap<>(Json.of("stage", "both", "models", listedModels(), "busy", isBusy,
                "sequence", accepted, "queueDepth", 0, "activeRequests", 0, "kvUsed", 0, "kvTotal", 137551,
                "handles", 0, "born", born));
        }
        exchange.json(200, body);
    }

    private void order(Map<String, Object> order, Http.Exchange exchange) throws IOException {
        int status;
        String model = (String) order.get("model");
        boolean isLoad = "load".equals(order.get("operation"));
        synchronized (this) {
            Object expected = order.get("expected");
            if (models.containsKey(model) == isLoad) status = 200;
            else if (isBusy || (expected != null && Json.number(expected) != accepted)) status = 409;
            else {
                status = 202;
                accepted++;
                isBusy = true;
            }
        }
        record.add("order", null, "engine " + id + ": " + Json.write(order) + " -> " + status);
        exchange.json(status, Json.of());
        if (status == 202) Http.daemon("order", () -> carryOut(model, isLoad));
    }

    private void carryOut(String model, boolean isLoad) {
        try {
            Thread.sleep(isLoad ? loadMillis : 200);
        } catch (InterruptedException interrupted) {
            return;
        }
        synchronized (this) {
            isBusy = false;
            if (isLoad) models.put(model, new ArrayList<>());
            else models.remove(model);
        }
        record.add("order", null, "engine " + id + " has " + (isLoad ? "loaded " : "unloaded ") + model);
        writeEntry();
    }

    private void stream(Http.Message request, Http.Exchange exchange) throws Exception {
        String requestId = String.valueOf(request.headers.get("Request-Id"));
        String model = request.headers.get("Model");
        boolean isHeld;
        synchronized (this) {
            isHeld = models.containsKey(model);
        }
        if (!isHeld) {
            exchange.answer(421, "text/plain", "", "Instance-Id", id, "Not-Executed", "1", "Request-Id", requestId);
            return;
        }
        record.add("run", requestId, "engine " + id + " runs " + request.firstLine + " tenant "
            + request.headers.get("Tenant"));
        exchange.beginChunks(200, "text/event-stream", "Request-Id", requestId, "Response-Signature",
            id + "." + requestId, "Weight-Versions", "1", "Keep-Alive", "timeout=60");
        for (int event = 1; event <= 11; event++) {
            exchange.chunk("id: " + event + "\ndata: token " + event + "\n\n");
            Thread.sleep(20);
        }
        exchange.endChunks();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
