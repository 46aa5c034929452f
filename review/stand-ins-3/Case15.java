import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A machine freezes for four seconds under load and wakes up. CONFIG: in steady state it gets 20 or more requests on a
 * route that was added later, and serves them less than a quarter as often as those on the first route.
 */
final class Case15 {
    private static final int DESK_CLIENTS = 15;
    private static final int DESK_PAUSE_MILLIS = 20;
    private static final int DESK_WORK_MILLIS = 100;
    private static final int LEDGER_CLIENTS = 4;
    private static final int LEDGER_PAUSE_MILLIS = 500;
    private static final int LEDGER_WORK_MILLIS = 20;
    private static final int REFUSED_PAUSE_MILLIS = 100;
    private static final int TIMEOUT_MILLIS = 10_000;
    private static final int SLOTS = 6;
    private static final long RAMP_MILLIS = 8_000;
    private static final long FREEZE_AT_MILLIS = 14_000;
    private static final long FREEZE_MILLIS = 4_000;
    private static final long SETTLE_MILLIS = 8_000;
    private static final long STEADY_MILLIS = 14_000;

    private final Record record;
    private final EntryVm vm;
    private final AtomicInteger sequence = new AtomicInteger();
    private final Counts first = new Counts();
    private final Counts added = new Counts();
    private final Counts addedBefore = new Counts();
    private volatile long freezeMillis = Long.MAX_VALUE;
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

    private Case15(Record record, EntryVm vm) {
        this.record = record;
        this.vm = vm;
    }

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = EntryVm.temporaryFolder("case15");
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
            Store store = new Store("127.0.15.1");
            Replica one = new Replica("127.0.15.2", "i-desk-1", "desk", SLOTS, record, request -> DESK_WORK_MILLIS);
            Replica two = new Replica("127.0.15.3", "i-desk-2", "desk", SLOTS, record, request -> DESK_WORK_MILLIS);
            Replica three = new Replica("127.0.15.4", "i-desk-3", "desk", SLOTS, record, request -> DESK_WORK_MILLIS);
            Replica ledger = new Replica("127.0.15.6", "i-ledger-1", "ledger", SLOTS, record,
                request -> LEDGER_WORK_MILLIS);
            EntryVm vm = new EntryVm("front-1", "127.0.15.5", store.address(), folder)) {
            for (Replica replica : List.of(one, two, three, ledger)) {
                store.put("servers/" + replica.id, replica.entry());
            }
            Map<String, Object> ledgerRoute = Sites.plainRoute("r-ledger", "/ledger/", "safe", "ledger", TIMEOUT_MILLIS);
            Map<String, Object> deskRoute = Sites.plainRoute("r-desk", "/desk/", "unsafe", "desk", TIMEOUT_MILLIS);
            List<?> services = List.of(Sites.plainService("ledger"), Sites.plainService("desk"));
            List<?> tenants = List.of(Sites.tenant("bodyshop", "key-1"));
            store.put("op/config", Sites.configuration(7, List.of(ledgerRoute), services, tenants));
            vm.start();
            store.put("op/config", Sites.configuration(8, List.of(ledgerRoute, deskRoute), services, tenants));
            Thread.sleep(3_000);
            exit = new Case15(record, vm).run(hasTrouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        } finally {
            EntryVm.delete(folder);
        }
        System.exit(exit);
    }

    private int run(boolean hasTrouble) throws Exception {
        for (int i = 0; i < DESK_CLIENTS; i++) {
            start("/desk/x", addedBefore, added, DESK_PAUSE_MILLIS, RAMP_MILLIS * i / DESK_CLIENTS, i);
        }
        for (int i = 0; i < LEDGER_CLIENTS; i++) {
            start("/ledger/x", null, first, LEDGER_PAUSE_MILLIS, 0, DESK_CLIENTS + i);
        }
        Thread.sleep(FREEZE_AT_MILLIS);
        freezeMillis = record.millis();
        if (hasTrouble) signal("STOP");
        Thread.sleep(FREEZE_MILLIS);
        if (hasTrouble) signal("CONT");
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

    private void signal(String name) throws Exception {
        record.add("trouble", null, "SIG" + name + " to the entry process");
        new ProcessBuilder("kill", "-" + name, String.valueOf(vm.pid())).start().waitFor();
    }

    private void start(String path, Counts before, Counts steady, int pauseMillis, long delayMillis, int seed) {
        Random random = new Random(seed);
        Http.daemon("client", () -> {
            try {
                // The load grows slowly, so that the first requests do not meet a cold process together.
                Thread.sleep(delayMillis);
                Client connection = null;
                while (!isOver) {
                    if (connection == null) connection = new Client(vm);
                    Client.Result result = send(connection, path, before, steady);
                    if (result.status() == 0 || "close".equals(result.answer().headers.get("Connection"))) {
                        connection.close();
                        connection = null;
                    }
                    long pause = result.status() == 200 ? pauseMillis : REFUSED_PAUSE_MILLIS + retryAfterMillis(result);
                    Thread.sleep(pause / 2 + random.nextInt((int) pause));
                }
            } catch (Exception failure) {
                record.add("client", null, "a client has failed: " + failure);
            }
        });
    }

    private static long retryAfterMillis(Client.Result result) {
        String seconds = result.status() == 0 ? null : result.answer().headers.get("Retry-After");
        return seconds == null ? 0 : (long) (Double.parseDouble(seconds) * 1_000);
    }

    private Client.Result send(Client connection, String path, Counts before, Counts steady) {
        String id = String.format("%08x", sequence.incrementAndGet());
        long now = record.millis();
        Counts counts = null;
        if (now >= steadyMillis) counts = steady;
        else if (freezeMillis == Long.MAX_VALUE) counts = before;
        record.add("sent", id, "POST " + path);
        Client.Result result;
        try {
            connection.send("POST", Sites.HOST, path, id, new byte[0], "Credential", "key-1", "Deadline-Ms",
                String.valueOf(TIMEOUT_MILLIS));
            result = connection.receive(TIMEOUT_MILLIS + 500);
        } catch (Exception failure) {
            result = new Client.Result(0, failure.toString(), null);
        }
        record.add("answer", id, result.status() + " " + result.text().strip());
        if (counts != null) counts.sent.incrementAndGet();
        if (counts != null && result.status() == 200) counts.served.incrementAndGet();
        return result;
    }
}
