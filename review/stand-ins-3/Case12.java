import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Requests wait for a model that is being loaded, and meanwhile a configuration gives their key to another tenant.
 * UNASKED: a server runs a request whose `Tenant` isn't the tenant that holds the client's key.
 */
final class Case12 {
    private static final int REQUESTS = 5;
    private static final int CONFIG_APPLY_MILLIS = 2_500;
    private static final int LOAD_MILLIS = 6_600;

    private Case12() {}

    public static void main(String[] arguments) throws Exception {
        boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
        Path folder = EntryVm.temporaryFolder("case12");
        int exit = 2;
        try (Record record = new Record(Path.of(arguments[0]));
            Store store = new Store("127.0.12.1");
            Engine engine = new Engine("127.0.12.2", "i-engine", "models", store, record, LOAD_MILLIS, "shade");
            EntryVm vm = new EntryVm("front-1", "127.0.12.3", store.address(), folder)) {
            store.put("op/config", configuration(7, "bodyshop"));
            vm.start();
            Thread.sleep(2_000);
            exit = run(record, store, vm, hasTrouble);
        } catch (Exception failure) {
            failure.printStackTrace();
        } finally {
            EntryVm.delete(folder);
        }
        System.exit(exit);
    }

    /** The key `key-1` belongs to [holder]; the other tenant has one of its own. */
    private static Map<String, Object> configuration(int version, String holder) {
        Map<String, Object> route = Sites.plainRoute("r-photos", "/photos/", "streaming", "models", 20_000);
        route.putAll(Json.of("targetLatencyMs", 8_000, "priority", 1, "sticky", true, "gapTargetMs", 400));
        Map<String, Object> service = Sites.plainService("models");
        service.put("engine", Json.of("slots", 64, "kvCapacity", 137551, "kvTokenBytes", 163840, "weightsMb", 200000.0,
            "adapterSlots", 8, "loadsPerS", 1.1, "models", List.of(
                Json.of("name", "shade", "weightsMb", 65100.0, "loadS", 9.0, "adapters", 0, "adapterMb", 12.0,
                    "warmS", 1.2, "diskS", 2.0),
                Json.of("name", "photo", "weightsMb", 42700.0, "loadS", 6.6, "adapters", 0, "adapterMb", 66.0,
                    "warmS", 0.89, "diskS", 1.3))));
        boolean isBodyshop = holder.equals("bodyshop");
        return Sites.configuration(version, List.of(route), List.of(service), List.of(
            isBodyshop ? Sites.tenant("bodyshop", "key-0", "key-1") : Sites.tenant("bodyshop", "key-0"),
            isBodyshop ? Sites.tenant("garage", "key-2") : Sites.tenant("garage", "key-1", "key-2")));
    }

    private static int run(Record record, Store store, EntryVm vm, boolean hasTrouble) throws Exception {
        List<Client> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Client client = new Client(vm);
            clients.add(client);
            String id = "request-" + i;
            record.add("sent", id, "POST /photos/x for model photo with key-1");
            client.send("POST", Sites.HOST, "/photos/x", id, new byte[100], "Credential", "key-1", "Deadline-Ms",
                "20000", "Model", "photo", "Token-Usage", "2368,22", "Prefix-Hash", "a1:568,b" + i + ":1800");
        }
        Thread.sleep(1_000);
        long confirmedMillis = Long.MAX_VALUE;
        if (hasTrouble) {
            store.put("op/config", configuration(8, "garage"));
            confirmedMillis = record.millis();
            record.add("trouble", null, "configuration 8 is confirmed: key-1 belongs to garage");
        }
        int answered = 0;
        for (int i = 0; i < REQUESTS; i++) {
            Client.Result result = clients.get(i).receive(21_000);
            record.add("answer", "request-" + i, result.status() + " " + result.text().length() + " bytes");
            if (result.status() == 200) answered++;
            clients.get(i).close();
        }
        long boundMillis = hasTrouble ? confirmedMillis + CONFIG_APPLY_MILLIS : Long.MAX_VALUE;
        int foreign = record.find(entry -> entry.kind().equals("run")
            && entry.millis() > boundMillis && !entry.text().endsWith("tenant garage")).size();
        int runs = record.find(entry -> entry.kind().equals("run")).size();
        String summary = answered + " answered, " + runs + " run, " + foreign + " of them later than "
            + CONFIG_APPLY_MILLIS + " ms after the confirmation for a tenant that does not hold the key";
        record.add("summary", null, summary);
        System.out.println(summary);
        if (runs == 0) return 2;
        return foreign > 0 ? 1 : 0;
    }
}
