import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;

/**
 * Requests whose body has a transfer coding other than chunked, and holds the text of another request. UNASKED: a server
 * runs a request whose id no client sent, or one that was smuggled inside another request.
 */
final class Case13 {
    private static final List<String> CODINGS = List.of("gzip", "identity", "deflate", "xchunked");
    private static final int TIMEOUT_MILLIS = 4_000;

    private Case13() {}

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = EntryVm.temporaryFolder("case13");
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
            Store store = new Store("127.0.13.1");
            Replica desk = new Replica("127.0.13.2", "i-desk", "desk", 6, record, request -> 20);
            EntryVm vm = new EntryVm("front-1", "127.0.13.3", store.address(), folder)) {
            store.register("servers/" + desk.id, desk::entry);
            store.put("op/config", Sites.configuration(7,
                List.of(Sites.plainRoute("r-desk", "/desk/", "unsafe", "desk", TIMEOUT_MILLIS)),
                List.of(Sites.plainService("desk")), List.of(Sites.tenant("bodyshop", "key-1"))));
            vm.start();
            Thread.sleep(5_000);
            exit = run(record, vm, hasTrouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        } finally {
            EntryVm.delete(folder);
        }
        System.exit(exit);
    }

    private static int run(Record record, EntryVm vm, boolean hasTrouble) throws Exception {
        int answers = 0;
        for (int i = 0; i < CODINGS.size(); i++) {
            String inner = head("/desk/inner", "inner-" + i) + "Content-Length: 0\r\n\r\n";
            String coding = hasTrouble ? CODINGS.get(i) : "chunked";
            String body = hasTrouble ? inner : Integer.toHexString(inner.length()) + "\r\n" + inner + "\r\n0\r\n\r\n";
            record.add("sent", "outer-" + i, "POST /desk/outer, Transfer-Encoding: " + coding
                + ", with the text of a request inner-" + i + " as its body");
            try (Client client = new Client(vm)) {
                OutputStream out = client.socket().getOutputStream();
                out.write((head("/desk/outer", "outer-" + i) + "Transfer-Encoding: " + coding + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
                Client.Result result = client.receive(TIMEOUT_MILLIS);
                while (result.status() > 0) {
                    answers++;
                    record.add("answer", result.answer().headers.get("Request-Id"), String.valueOf(result.status()));
                    result = client.receive(500);
                }
            } catch (IOException ended) {
                record.add("client", "outer-" + i, ended.toString());
            }
        }
        int smuggled = record.find(e -> e.kind().equals("run") && e.id().startsWith("inner-")).size();
        int runs = record.find(e -> e.kind().equals("run")).size();
        String summary = runs + " requests run, " + smuggled + " of them sent by no client but inside another request";
        record.add("summary", null, summary);
        System.out.println(summary);
        if (answers == 0) return 2;
        return smuggled > 0 ? 1 : 0;
    }

    private static String head(String path, String id) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + Sites.HOST + "\r\nRequest-Id: " + id
            + "\r\nCredential: key-1\r\nDeadline-Ms: " + TIMEOUT_MILLIS + "\r\n";
    }
}
