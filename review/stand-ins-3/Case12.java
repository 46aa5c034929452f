import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An entry VM gets SIGTERM while it has read pipelined requests that wait for the answer before theirs. LOST: around
 * planned work, a process has read a whole request and the connection ends without a complete answer, later than
 * `lossSlackMs` after its last byte was sent.
 */
final class Case12 {
    private static final int CONNECTIONS = 5;
    private static final int REQUESTS = 3;
    private static final int WORK_MILLIS = 600;
    private static final int TIMEOUT_MILLIS = 6_000;
    private static final long TERM_AFTER_MILLIS = 300;
    private static final long LOSS_SLACK_MILLIS = 200;
    private static final long CONTACT_MILLIS = 4_000;

    private Case12() {}

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = EntryVm.temporaryFolder("case12");
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
            Store store = new Store("127.0.12.1");
            Replica replica = new Replica("127.0.12.2", "i-stock", "stock", 64, record, request -> WORK_MILLIS);
            EntryVm vm = new EntryVm("front-1", "127.0.12.3", store.address(), folder)) {
            store.register("servers/" + replica.id, replica::entry);
            var route = Sites.plainRoute("r-stock", "/stock/", "safe", "stock", TIMEOUT_MILLIS);
            route.put("targetLatencyMs", 1_000);
            store.put("op/config", Sites.configuration(7, List.of(route),
                List.of(Sites.plainService("stock")), List.of(Sites.tenant("bodyshop", "key-1"))));
            vm.start();
            Thread.sleep(CONTACT_MILLIS + 1_000);
            exit = run(record, vm, hasTrouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        } finally {
            EntryVm.delete(folder);
        }
        System.exit(exit);
    }

    private static int run(Record record, EntryVm vm, boolean hasTrouble) throws Exception {
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger lost = new AtomicInteger();
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            Client client = new Client(vm);
            clients.add(client);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            for (int k = 0; k < REQUESTS; k++) {
                String id = "request-" + i + "-" + k;
                all.write(("GET /stock/part HTTP/1.1\r\nHost: " + Sites.HOST + "\r\nRequest-Id: " + id
                    + "\r\nCredential: key-1\r\nDeadline-Ms: " + TIMEOUT_MILLIS + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
                record.add("sent", id, "GET /stock/part");
            }
            client.socket().getOutputStream().write(all.toByteArray());
        }
        long sentMillis = record.millis();
        Thread.sleep(TERM_AFTER_MILLIS);
        if (hasTrouble) {
            record.add("trouble", null, "SIGTERM to the entry process");
            vm.terminate();
        }
        List<Thread> readers = new ArrayList<>();
        for (int i = 0; i < CONNECTIONS; i++) {
            int index = i;
            readers.add(Http.daemon("reader", () -> {
                for (int k = 0; k < REQUESTS; k++) {
                    Client.Result result = clients.get(index).receive(TIMEOUT_MILLIS);
                    String head = result.answer() == null ? "" : " Connection: " + result.answer().headers.get("Connection");
                    record.add("answer", "request-" + index + "-" + k, result.status() + " " + result.text().strip() + head);
                    if (result.status() == 0) {
                        if (record.millis() - sentMillis > LOSS_SLACK_MILLIS) lost.addAndGet(REQUESTS - k);
                        return;
                    }
                    answered.incrementAndGet();
                }
            }));
        }
        for (Thread reader : readers) reader.join();
        String summary = answered + " answered, " + lost + " sent more than " + LOSS_SLACK_MILLIS
            + " ms before their connection ended without an answer to them";
        record.add("summary", null, summary);
        System.out.println(summary);
        return lost.get() > 0 ? 1 : 0;
    }
}
