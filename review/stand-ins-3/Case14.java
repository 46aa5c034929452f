import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One request of a tenant states 2,147,483,647 as the maximum number of its output tokens, and the engine rejects it as
 * too large. CONFIG: in steady state a machine in touch gets 20 or more requests on a route that was added later, and
 * serves them less than a quarter as often as those on the first route.
 */
final class Case14 {
    private static final int CLIENTS = 10;
    private static final int PAUSE_MILLIS = 60;
    private static final int EVENTS = 3;
    private static final int EVENT_MILLIS = 10;
    private static final int REJECTION_MILLIS = 50;
    private static final int MEMORY_TOKENS = 137_551;
    private static final int TIMEOUT_MILLIS = 8_000;
    private static final int ALLOTMENT_PER_S = 100_000;
    private static final long WARM_UP_MILLIS = 6_000;
    private static final long SETTLE_MILLIS = 10_000;
    private static final long STEADY_MILLIS = 15_000;
    private static final String ENGINE_ID = "i-engine";
    private static final String USUAL = "500,100";
    private static final String LARGE = "500,2147483647";

    private final Record record;
    private final EntryVm vm;
    private final AtomicInteger sequence = new AtomicInteger();
    private final Counts first = new Counts();
    private final Counts added = new Counts();
    private final Counts addedBefore = new Counts();
    private volatile long troubleMillis = Long.MAX_VALUE;
    private volatile long steadyMillis = Long.MAX_VALUE;
    private volatile boolean isOver;

    /** Requests of one route that were sent in one span of time. */
    private static final class Counts {
        final AtomicInteger sent = new AtomicInteger();
        final AtomicInteger served = new AtomicInteger();

        double share() {
            return sent.get() == 0 ? 0 : (double) served.get() / sent.get();
        }

        @Override
        public String toString() {
            return served + " of " + sent;
        }
    }

    private Case14(Record record, EntryVm vm) {
        this.record = record;
        this.vm = vm;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = EntryVm.temporaryFolder("case14");
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
            Store store = new Store("127.0.14.1");
            Replica ledger = new Replica("127.0.14.2", "i-ledger", "ledger", 16, record, request -> 20);
            Http.Server engine = new Http.Server("127.0.14.3", (request, exchange) -> serve(record, request, exchange));
            EntryVm vm = new EntryVm("front-1", "127.0.14.4", store.address(), folder)) {
            store.register("servers/" + ledger.id, ledger::entry);
            long born = System.currentTimeMillis();
            AtomicInteger beats = new AtomicInteger();
            store.register("servers/" + ENGINE_ID, () -> Json.of("service", "models", "address", engine.hostAndPort(),
                "zone", "zone-a", "version", "v1", "slots", 64, "state", "ready", "coldRemainingMs", 0, "stage", "both",
                "models", models(), "atHand", Json.of("inMemory", List.of(), "onDisk", List.of()),
                "sequence", beats.incrementAndGet(), "born", born));
            store.put("op/config", configuration(7));
            vm.start();
            store.put("op/config", configuration(8));
            Thread.sleep(WARM_UP_MILLIS);
            exit = new Case14(record, vm).run(hasTrouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        } finally {
            EntryVm.delete(folder);
        }
        System.exit(exit);
    }

    /** Version 8 adds the route to the models. */
    private static Map<String, Object> configuration(int version) {
        Map<String, Object> ledgerRoute = Sites.plainRoute("r-ledger", "/ledger/", "safe", "ledger", TIMEOUT_MILLIS);
        Map<String, Object> photoRoute = Sites.plainRoute("r-photos", "/photos/", "streaming", "models", TIMEOUT_MILLIS);
        photoRoute.putAll(Json.of("targetLatencyMs", 1_000, "priority", 1, "sticky", true, "gapTargetMs", 400));
        Map<String, Object> models = Sites.plainService("models");
        models.put("engine", Json.of("slots", 64, "kvCapacity", MEMORY_TOKENS, "kvTokenBytes", 163840,
            "weightsMb", 200000.0, "adapterSlots", 8, "loadsPerS", 1.1, "models", List.of(
                Json.of("name", "shade", "weightsMb", 65100.0, "loadS", 9.0, "adapters", 0, "adapterMb", 12.0,
                    "warmS", 1.2, "diskS", 2.0))));
        Map<String, Object> bodyshop = Sites.tenant("bodyshop", "key-1");
        bodyshop.putAll(Json.of("ratePerS", ALLOTMENT_PER_S, "burst", ALLOTMENT_PER_S));
        return Sites.configuration(version, version == 7 ? List.of(ledgerRoute) : List.of(ledgerRoute, photoRoute),
            List.of(Sites.plainService("ledger"), models), List.of(bodyshop, Sites.tenant("garage", "key-2")));
    }

    private static List<Object> models() {
        return List.of(Json.of("name", "shade", "version", 1, "adapters", List.of()));
    }

    /** The engine: streams a few events, and rejects a request that is larger than its memory as if it were full. */
    private static void serve(Record record, Http.Message request, Http.Exchange exchange) throws Exception {
        String id = request.headers.get("Request-Id");
        String usage = request.headers.get("Token-Usage");
        String expected = request.headers.get("Expected-Instance");
        if (expected != null && !expected.equals(ENGINE_ID)) {
            exchange.answer(421, "text/plain", "", "Instance-Id", ENGINE_ID, "Not-Executed", "1");
        } else if (request.path().equals("/health")) {
            exchange.answer(200, "text/plain", "", "Instance-Id", ENGINE_ID);
        } else if (request.path().equals("/report")) {
            exchange.json(200, Json.of("stage", "both", "models", models(), "busy", false, "sequence", 0, "queueDepth", 0,
                "activeRequests", 0, "kvUsed", 0, "kvTotal", MEMORY_TOKENS, "handles", 0));
        } else if (request.path().equals("/order")) {
            record.add("order", null, request.text());
            boolean holds = request.text().contains("\"load\"") && request.text().contains("\"shade\"");
            exchange.json(holds ? 200 : 400, Json.of());
        } else if (id == null || usage == null) {
            record.add("other", id, request.firstLine);
            exchange.answer(400, "text/plain", "", "Not-Executed", "1");
        } else if (Long.parseLong(usage.split(",")[0]) + Long.parseLong(usage.split(",")[1]) > MEMORY_TOKENS) {
            Thread.sleep(REJECTION_MILLIS);
            record.add("rejected", id, "the engine rejects a request of " + usage + " tokens");
            exchange.answer(503, "text/plain", "full", "Request-Id", id, "Not-Executed", "1");
        } else {
            record.add("run", id, "the engine runs a request of " + usage + " tokens");
            exchange.beginChunks(200, "text/event-stream", "Request-Id", id, "Response-Signature", ENGINE_ID + "." + id,
                "Weight-Versions", "1");
            for (int i = 1; i <= EVENTS; i++) {
                exchange.chunk("id: " + i + "\ndata: token " + i + "\n\n");
                Thread.sleep(EVENT_MILLIS);
            }
            exchange.endChunks();
        }
    }

    private int run(boolean hasTrouble) throws Exception {
        for (int i = 0; i < CLIENTS; i++) {
            start("/photos/x", "key-1", addedBefore, added, i);
            start("/ledger/x", "key-2", null, first, CLIENTS + i);
        }
        Thread.sleep(WARM_UP_MILLIS);
        troubleMillis = record.millis();
        if (hasTrouble) {
            try (Client client = new Client(vm)) {
                send(client, "/photos/x", "key-1", LARGE);
            }
        }
        Thread.sleep(SETTLE_MILLIS);
        steadyMillis = record.millis();
        Thread.sleep(STEADY_MILLIS);
        isOver = true;
        String summary = "added route before: " + addedBefore + " served; in steady state, first route: " + first
            + ", added route: " + added + "; ready " + vm.isReady();
        record.add("summary", null, summary);
        System.out.println(summary);
        if (addedBefore.share() < 0.9 || first.share() == 0 || added.sent.get() < 20) return 2;
        return added.share() < first.share() / 4 ? 1 : 0;
    }

    private void start(String path, String key, Counts before, Counts steady, int seed) {
        Random random = new Random(seed);
        Http.daemon("client", () -> {
            try {
                Thread.sleep(random.nextInt(1_000));
                Client connection = new Client(vm);
                while (!isOver) {
                    long now = record.millis();
                    Counts counts = now >= steadyMillis ? steady : now < troubleMillis ? before : null;
                    Client.Result result = send(connection, path, key, USUAL);
                    if (counts != null) counts.sent.incrementAndGet();
                    if (counts != null && result.status() == 200) counts.served.incrementAndGet();
                    if (result.status() == 0 || "close".equals(result.answer().headers.get("Connection"))) {
                        connection.close();
                        connection = new Client(vm);
                    }
                    Thread.sleep(PAUSE_MILLIS / 2 + random.nextInt(PAUSE_MILLIS) + retryAfterMillis(result));
                }
            } catch (Exception failure) {
                record.add("client", null, "a client has failed: " + failure);
            }
        });
    }

    /** Clients honour Retry-After up to one third of the time that they have left. */
    private static long retryAfterMillis(Client.Result result) {
        String seconds = result.status() == 0 ? null : result.answer().headers.get("Retry-After");
        return seconds == null ? 0 : Math.min(TIMEOUT_MILLIS / 3, (long) (Double.parseDouble(seconds) * 1_000));
    }

    private Client.Result send(Client connection, String path, String key, String usage) {
        String id = String.format("%08x", sequence.incrementAndGet());
        boolean isPhoto = path.startsWith("/photos/");
        record.add("sent", id, "POST " + path + (isPhoto ? " of " + usage + " tokens" : ""));
        Client.Result result;
        try {
            if (isPhoto) {
                connection.send("POST", Sites.HOST, path, id, new byte[10], "Credential", key, "Deadline-Ms",
                    String.valueOf(TIMEOUT_MILLIS), "Model", "shade", "Token-Usage", usage, "Prefix-Hash",
                    "a1:300," + id + ":200");
            } else {
                connection.send("POST", Sites.HOST, path, id, new byte[10], "Credential", key, "Deadline-Ms",
                    String.valueOf(TIMEOUT_MILLIS));
            }
            result = connection.receive(TIMEOUT_MILLIS);
        } catch (Exception failure) {
            result = new Client.Result(0, failure.toString(), null);
        }
        record.add("answer", id, result.status() + " " + result.text().lines().findFirst().orElse(""));
        return result;
    }
}
