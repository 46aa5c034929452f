import java.io.IOException;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;

/** A server of a plain service: reads whole requests, works for a time and answers with a receipt. */
final class Replica implements AutoCloseable {
    interface Work {
        /** Returns the milliseconds that the request takes. */
        long millis(Http.Message request);
    }

    final String id;
    final String service;
    private final int slots;
    private final Http.Server server;
    private final Work work;
    private final Semaphore places;
    private final Record record;
    private final AtomicLong sequence = new AtomicLong();
    private final long born = System.currentTimeMillis();

    Replica(String host, String id, String service, int slots, Record record, Work work) throws IOException {
        this.id = id;
        this.service = service;
        this.slots = slots;
        this.work = work;
        this.places = new Semaphore(slots, true);
        this.record = record;
        server = new Http.Server(host, this::handle);
    }

    /** Returns the entry of this server in the store. */
    Map<String, Object> entry() {
        return Json.of("service", service, "address", server.hostAndPort(), "zone", "zone-a", "version", "v1",
            "slots", slots, "state", "ready", "coldRemainingMs", 0, "sequence", sequence.incrementAndGet(), "born", born);
    }

    private void handle(Http.Message request, Http.Exchange exchange) throws Exception {
        String requestId = request.headers.get("Request-Id");
        if (request.path().equals("/health")) {
            exchange.answer(200, "text/plain", "", "Instance-Id", id);
            return;
        }
        String expected = request.headers.get("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
            exchange.answer(421, "text/plain", "", "Instance-Id", id, "Not-Executed", "1",
                "Request-Id", String.valueOf(requestId));
            return;
        }
        if (requestId == null) {
            exchange.answer(400, "text/plain", "", "Not-Executed", "1");
            return;
        }
        places.acquire();
        try {
            work(request, requestId, exchange);
        } finally {
            places.release();
        }
    }

    private void work(Http.Message request, String requestId, Http.Exchange exchange) throws Exception {
        record.add("run", requestId, "server " + id + " runs " + request.firstLine + " tenant "
            + request.headers.get("Tenant") + " body " + request.body.length);
        Thread.sleep(work.millis(request));
        exchange.answer(200, "text/plain", "done " + requestId, "Request-Id", String.valueOf(requestId),
            "Response-Signature", id + "." + requestId, "Keep-Alive", "timeout=60");
        record.add("served", requestId, "server " + id + " has answered 200");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
