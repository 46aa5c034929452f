package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a plain service: registers itself in the store and answers every request after a short time. */
final class Plain implements AutoCloseable {
    private static final int SLOTS = 6;
    private static final int QUEUE = 24;

    /** A request that this server ran. */
    record Run(double seconds, String id, String path, String tenant, String method, int bodyBytes) {
    }

    final String id;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    private final String service;
    private final InetSocketAddress address;
    private final Store store;
    private final Record record;
    private final Http.Server server;
    private final long born = System.currentTimeMillis();
    private final long workMillis;
    private final Semaphore slots = new Semaphore(SLOTS, true);
    private final AtomicInteger present = new AtomicInteger();
    private volatile String state = "ready";
    private volatile boolean closed;
    private long beats;

    Plain(String id, String service, InetSocketAddress address, Store store, long workMillis, Record record)
        throws IOException {
        this.id = id;
        this.service = service;
        this.address = address;
        this.store = store;
        this.workMillis = workMillis;
        this.record = record;
        server = new Http.Server(address, this::handle);
        Http.thread("beats of " + id, () -> {
            while (!closed) {
                beat();
                Thread.sleep(1_200);
            }
        });
    }

    /** Reports that the server leaves; it goes on serving. */
    void drain() {
        state = "draining";
        beat();
    }

    private synchronized void beat() {
        if (closed) return;
        store.put("servers/" + id, Json.of("service", service, "address",
            address.getHostString() + ":" + address.getPort(), "zone", "lowlands-a", "version", "v1", "slots", SLOTS,
            "state", state, "coldRemainingMs", 0, "sequence", ++beats, "born", born));
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        String expected = request.headers.get("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            connection.answer(421, Map.of("Instance-Id", id), new byte[0]);
            return;
        }
        String requestId = request.headers.getOrDefault("Request-Id", "");
        String tenant = request.headers.get("Tenant");
        if (present.incrementAndGet() > SLOTS + QUEUE) {
            present.decrementAndGet();
            connection.answer(503, Map.of("Request-Id", requestId, "Not-Executed", "1"), new byte[0]);
            return;
        }
        slots.acquire();
        runs.add(new Run(record.seconds(), requestId, request.path(), tenant, request.method(), request.body.length));
        record.line(id, "runs " + requestId + " " + request.path() + " for tenant " + tenant
            + (request.body.length > 0 ? ", body of " + request.body.length + " bytes" : ""));
        Thread.sleep(workMillis);
        slots.release();
        present.decrementAndGet();
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Request-Id", requestId);
        headers.put("Response-Signature", id + "." + requestId);
        headers.put("Server-Load", Math.min(present.get(), SLOTS) + "," + Math.max(0, present.get() - SLOTS) + "," + SLOTS);
        headers.put("Instance-Id", id);
        connection.answer(200, headers, ("done " + requestId).getBytes());
    }

    @Override
    public synchronized void close() throws IOException {
        closed = true;
        server.close();
    }
}
