import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A burst of clients that send photos of up to 2 MB over kept connections, beside clients whose requests a sound server
 * works on for 0.7 s. CONFIG: eight or more of the requests that last longer than the timeout of their route, and over a
 * quarter of them, have no final answer half a second after it. LOST: a request from a kept connection is passed on to a
 * sound server, and the connection is closed without an answer, more than three times.
 */
final class Case11 {
    private static final int PHOTO_CLIENTS = 100;
    private static final double BURST_FACTOR = 2.4;
    private static final long BURST_START_MILLIS = 8_000;
    private static final long BURST_MILLIS = 4_500;
    private static final long TRAFFIC_MILLIS = 24_000;
    private static final int LEDGER_CLIENTS = 16;
    private static final int PERMITTED_LOSSES = 3;
    private static final int PERMITTED_UNANSWERED = 7;
    private static final int TIMEOUT_MILLIS = 4_000;

    private final Record record;
    private final EntryVm vm;
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unread = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger sequence = new AtomicInteger();
    private volatile boolean isOver;

    private Case11(Record record, EntryVm vm) {
        this.record = record;
        this.vm = vm;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = EntryVm.temporaryFolder("case11");
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
            Store store = new Store("127.0.11.1");
            Replica photos = new Replica("127.0.11.2", "i-photos", "photos", 64, record, request -> 20);
            Replica morePhotos = new Replica("127.0.11.3", "i-photos-2", "photos", 64, record, request -> 20);
            Replica ledger = new Replica("127.0.11.4", "i-ledger", "ledger", 64, record, request -> 700);
            EntryVm vm = new EntryVm("front-1", "127.0.11.5", store.address(), folder)) {
            for (Replica replica : List.of(photos, morePhotos, ledger)) {
                store.put("servers/" + replica.id, replica.entry());
            }
            var ledgerRoute = Sites.plainRoute("r-ledger", "/ledger/", "unsafe", "ledger", TIMEOUT_MILLIS);
            ledgerRoute.put("targetLatencyMs", 1_000);
            store.put("op/config", Sites.configuration(7,
                List.of(Sites.plainRoute("r-photos", "/photos/", "unsafe", "photos", TIMEOUT_MILLIS), ledgerRoute),
                List.of(Sites.plainService("photos"), Sites.plainService("ledger")),
                List.of(Sites.tenant("bodyshop", "key-1"))));
            vm.start();
            exit = new Case11(record, vm).run(hasTrouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        } finally {
            EntryVm.delete(folder);
        }
        System.exit(exit);
    }

    private int run(boolean hasTrouble) throws Exception {
        long start = record.millis();
        int usual = PHOTO_CLIENTS;
        int all = hasTrouble ? (int) (usual * BURST_FACTOR) : usual;
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < LEDGER_CLIENTS; i++) {
            Random random = new Random(1_000 + i);
            long end = start + TRAFFIC_MILLIS;
            threads.add(Http.daemon("ledger", () -> client("/ledger/x", random, 200, 200, 100, start, end)));
        }
        for (int i = 0; i < all; i++) {
            Random random = new Random(i);
            boolean isExtra = i >= usual;
            long begin = start + (isExtra ? BURST_START_MILLIS : 0);
            long end = isExtra ? begin + BURST_MILLIS : start + TRAFFIC_MILLIS;
            // Each client sends photos of one kind: small previews up to whole pictures.
            int bytes = (int) Math.exp(Math.log(8_000) + random.nextDouble() * Math.log(250));
            threads.add(Http.daemon("photos",
                () -> client("/photos/x", random, bytes * 9 / 10, bytes, 600, begin, end)));
        }
        if (hasTrouble) {
            Thread.sleep(BURST_START_MILLIS);
            record.add("trouble", null, "burst: " + (all - usual) + " more clients for " + BURST_MILLIS + " ms");
        }
        boolean hasEnded = false;
        while (record.millis() < start + TRAFFIC_MILLIS + 1_000) {
            Thread.sleep(100);
            if (!hasEnded && !vm.isAlive()) {
                hasEnded = true;
                record.add("process", null, "the entry VM has ended by itself with exit code " + vm.exitValue());
                // Clients whose requests were read by nobody still wait for the timeout.
                Thread.sleep(TIMEOUT_MILLIS + 1_000);
                break;
            }
        }
        isOver = true;
        String summary = answered + " answered, " + lost + " passed on to a sound server and closed without an answer, "
            + unread + " closed without an answer before they were passed on, " + unanswered
            + " without an answer half a second after the timeout of their route, " + late + " answered in it; process "
            + (hasEnded ? "ended by itself" : "runs");
        record.add("summary", null, summary);
        System.out.println(summary);
        if (answered.get() == 0) return 2;
        boolean breaksTimeouts = unanswered.get() > PERMITTED_UNANSWERED
            && unanswered.get() * 4 > unanswered.get() + late.get();
        return breaksTimeouts || lost.get() > PERMITTED_LOSSES ? 1 : 0;
    }

    /** Sends one request after the other over a kept connection, and opens another one only when it has ended. */
    private void client(String path, Random random, int least, int most, int pause, long begin, long end) {
        Client connection = null;
        try {
            Thread.sleep(Math.max(0, begin - record.millis()) + random.nextInt(1_000));
            while (record.millis() < end && !isOver && vm.isAlive()) {
                boolean isKept = connection != null;
                if (!isKept) connection = connect();
                if (connection != null && !send(connection, path, isKept, least + random.nextInt(most - least + 1))) {
                    connection.close();
                    connection = null;
                }
                Thread.sleep(pause / 2 + random.nextInt(pause));
            }
            // The connection stays open, idle for less than the limit of the configuration.
            while (!isOver) Thread.sleep(100);
        } catch (Exception failure) {
            record.add("client", null, "a client has failed: " + failure);
        }
    }

    private Client connect() {
        try {
            return new Client(vm);
        } catch (Exception failure) {
            record.add("refused", null, "no connection: " + failure.getMessage());
            return null;
        }
    }

    private boolean send(Client connection, String path, boolean isKept, int bytes) {
        String id = String.format("%08x", sequence.incrementAndGet());
        Client.Result result;
        long sentMillis = record.millis();
        record.add("sent", id, "POST " + path + " with " + bytes + " bytes" + (isKept ? ", kept connection" : ""));
        try {
            connection.send("POST", Sites.HOST, path, id, new byte[bytes], "Credential", "key-1",
                "Deadline-Ms", String.valueOf(TIMEOUT_MILLIS));
            result = connection.receive((int) Math.max(1, sentMillis + TIMEOUT_MILLIS + 500 - record.millis()));
        } catch (Exception failure) {
            result = new Client.Result(0, failure.toString(), null);
        }
        record.add("answer", id, result.status() + " " + result.text().strip());
        if (result.status() > 0) {
            if (record.millis() - sentMillis >= TIMEOUT_MILLIS) late.incrementAndGet();
            answered.incrementAndGet();
            return !"close".equalsIgnoreCase(result.answer().headers.get("Connection"));
        }
        boolean hasRun = !record.find(entry -> entry.kind().equals("run") && id.equals(entry.id())).isEmpty();
        if (result.text().contains("timed out")) unanswered.incrementAndGet();
        else if (hasRun && isKept) lost.incrementAndGet();
        else if (!hasRun) unread.incrementAndGet();
        return false;
    }
}
