import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A tenant sends many times its usual over kept connections with pipelined requests. CONFIG: of the requests that are
 * still unanswered at their route's `timeoutMs`, more than half have no answer half a second later.
 */
final class Case11 {
    private static final int CONNECTIONS = 4;
    private static final int ROUNDS = 2;
    private static final long ROUND_MILLIS = 5_000;
    private static final long CONTACT_MILLIS = 4_000;
    private static final int USUAL_REQUESTS = 33;
    private static final double HOT_FACTOR = 6.0;
    private static final int HOT_REQUESTS = (int) (USUAL_REQUESTS * HOT_FACTOR);
    private static final int TIMEOUT_MILLIS = 4_000;
    private static final int GRACE_MILLIS = 500;
    private static final int DEADLINE_MILLIS = 6_000;
    private static final int WORK_MILLIS = 20;
    private static final int UPLOAD_BYTES = 60_000;
    private static final long RESTART_MILLIS = 500;

    /** The usual rate of the tenant times 1.8, in tokens; a request counts as 200. */
    private static final int ALLOTMENT_PER_S = 9_500;

    private final Record record;
    private final EntryVm vm;
    private final AtomicInteger answered = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger closed = new AtomicInteger();
    private final AtomicInteger ends = new AtomicInteger();
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
            Replica replica = new Replica("127.0.11.2", "i-stock", "stock", 64, record, request -> WORK_MILLIS);
            EntryVm vm = new EntryVm("front-1", "127.0.11.3", store.address(), folder)) {
            store.register("servers/" + replica.id, replica::entry);
            Map<String, Object> tenant = Sites.tenant("bodyshop", "key-1");
            tenant.putAll(Json.of("ratePerS", ALLOTMENT_PER_S, "burst", ALLOTMENT_PER_S));
            store.put("op/config", Sites.configuration(7,
                List.of(Sites.plainRoute("r-stock", "/stock/", "safe", "stock", TIMEOUT_MILLIS)),
                List.of(Sites.plainService("stock")), List.of(tenant, Sites.tenant("garage", "key-2"))));
            vm.start();
            Thread.sleep(CONTACT_MILLIS + 1_000);
            exit = new Case11(record, vm).run(hasTrouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        } finally {
            EntryVm.delete(folder);
        }
        System.exit(exit);
    }

    private int run(boolean hasTrouble) throws Exception {
        Thread platform = Http.daemon("platform", this::restartWhenEnded);
        if (hasTrouble) record.add("trouble", null, "the tenant sends " + HOT_FACTOR + " times its usual");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            int index = i;
            clients.add(Http.daemon("client", () -> {
                pause(index * ROUND_MILLIS / CONNECTIONS);
                int requests = hasTrouble ? HOT_REQUESTS : USUAL_REQUESTS;
                for (int round = 0; round < ROUNDS; round++) sendRound("c" + index + "-" + round, requests);
            }));
        }
        for (Thread client : clients) client.join();
        isOver = true;
        platform.join();
        String summary = answered + " answered, " + served + " of them with 200; " + closed
            + " ended by the close of their connection; unanswered at their timeout: " + (late.get() + unanswered.get())
            + ", and half a second later: " + unanswered + "; ready " + vm.isReady() + "; the process has ended by itself "
            + ends + " times";
        record.add("summary", null, summary);
        System.out.println(summary);
        if (served.get() == 0) return 2;
        return unanswered.get() >= 8 && unanswered.get() > late.get() ? 1 : 0;
    }

    /** The platform starts a process that ends by itself again, after a short delay. */
    private void restartWhenEnded() {
        try {
            while (!isOver) {
                if (!vm.isAlive()) {
                    ends.incrementAndGet();
                    record.add("ended", null, vm.name + " ended by itself with " + vm.exitValue());
                    Thread.sleep(RESTART_MILLIS);
                    vm.start();
                    record.add("started", null, vm.name + " was started again and is ready");
                }
                Thread.sleep(50);
            }
        } catch (Exception failure) {
            record.add("platform", null, "the start has failed: " + failure);
        }
    }

    /** Uploads a document, and then asks for the stock of many parts at once on the same connection. */
    private void sendRound(String name, int requests) {
        long startMillis = record.millis();
        try (Client client = new Client(vm)) {
            client.send("POST", Sites.HOST, "/stock/list", name + "-list", new byte[UPLOAD_BYTES], "Credential", "key-1",
                "Deadline-Ms", String.valueOf(DEADLINE_MILLIS));
            client.receive(DEADLINE_MILLIS);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int i = 0; i < requests; i++) {
                all.write(("GET /stock/part HTTP/1.1\r\nHost: " + Sites.HOST + "\r\nRequest-Id: " + name + "-" + i
                    + "\r\nCredential: key-1\r\nDeadline-Ms: " + DEADLINE_MILLIS + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                record.add("sent", name + "-" + i, "GET /stock/part");
            }
            client.socket().getOutputStream().write(all.toByteArray());
            long sentMillis = record.millis();
            readAnswers(client, name, requests, sentMillis);
        } catch (Exception failure) {
            record.add("client", name, "a client has failed: " + failure);
        }
        pause(startMillis + ROUND_MILLIS - record.millis());
    }

    private static void pause(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void readAnswers(Client client, String name, int requests, long sentMillis) {
        for (int i = 0; i < requests; i++) {
            long left = sentMillis + TIMEOUT_MILLIS + GRACE_MILLIS - record.millis();
            Client.Result result = left > 0 ? client.receive((int) left) : new Client.Result(0, "no answer", null);
            record.add("answer", name + "-" + i, result.status() + " " + result.text().strip());
            if (result.status() == 0) {
                boolean isClosed = left > 0 && record.millis() < sentMillis + TIMEOUT_MILLIS + GRACE_MILLIS - 20;
                (isClosed ? closed : unanswered).addAndGet(requests - i);
                return;
            }
            answered.incrementAndGet();
            if (result.status() == 200) served.incrementAndGet();
            if (record.millis() > sentMillis + TIMEOUT_MILLIS) late.incrementAndGet();
        }
    }
}
