package review;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Another writer puts bytes that cannot be read under servers/; then the configuration and the servers change. */
final class UnreadableEntry extends Case {
    private static final int NESTING = 20_000;

    private UnreadableEntry(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        new UnreadableEntry(arguments[0]).main();
    }

    @Override
    boolean run() throws Exception {
        List<String> hosts = List.of("127.61.0.1", "127.61.0.2", "127.61.0.10", "127.61.0.20", "127.61.0.21");
        int port = Http.freePort(hosts, 12);
        InetSocketAddress storeAddress = new InetSocketAddress("127.61.0.10", port);
        Store store = keep(new Store(storeAddress, record));
        Object service = plainService("order-desk");
        Object orders = route("orders", "/orders/", "unsafe", "order-desk", 1, 1_000);
        store.put("op/config",
            configuration(7, List.of(orders), List.of(service), List.of(tenant("acme", 50_000, "key-old", "key-kept"))));
        Plain first = keep(new Plain("i-first", "order-desk", new InetSocketAddress("127.61.0.20", port), store, 20, record));
        Vm one = keep(new Vm("front-lowlands-a-1", "127.61.0.1", port, "lowlands-a", storeAddress, true, folder, record));
        Vm two = keep(new Vm("front-lowlands-a-2", "127.61.0.2", port, "lowlands-a", storeAddress, true, folder, record));
        one.start();
        two.start();
        require(one.awaitReady(20_000) && two.awaitReady(20_000), "the VMs are not ready");
        Client client = new Client(record);
        for (Vm vm : List.of(one, two)) {
            for (int i = 0; i < 3; i++) {
                int status = client.send(vm, "POST", "/orders/x", Client.newId("before"), "key-old", new byte[10], 1_000);
                require(status == 200, "a request is not served before the disruption");
            }
        }
        // In touch: nothing but this has been disturbed, and the contact time passes once more after it.
        Thread.sleep(4_000);
        if (trouble) {
            store.put("servers/i-other", "[".repeat(NESTING).getBytes(StandardCharsets.UTF_8));
            record.line("store", "another writer has written servers/i-other, " + NESTING + " bytes that cannot be read");
        }
        Thread.sleep(4_000);
        Object added = route("added", "/added/", "unsafe", "order-desk", 1, 1_000);
        store.put("op/config",
            configuration(9, List.of(orders, added), List.of(service), List.of(tenant("acme", 50_000, "key-kept"))));
        double confirmed = record.seconds();
        record.line("store", "version 9 is confirmed: key-old is gone, the route /added/ is new");
        Thread.sleep(2_600);
        int stale = 0;
        for (int i = 0; i < 10; i++) {
            for (Vm vm : List.of(one, two)) {
                String id = Client.newId("revoked");
                int status = client.send(vm, "POST", "/orders/x", id, "key-old", new byte[10], 1_000);
                if (status == 200 || first.runs.stream().anyMatch(run -> run.id().equals(id))) stale++;
                if (client.send(vm, "POST", "/added/x", Client.newId("added"), "key-kept", new byte[10], 1_000) == 404) stale++;
            }
            Thread.sleep(500);
        }
        record.line("test", stale + " of 40 requests sent " + 2.6 + " s and more after the confirmation at "
            + String.format("%.3f", confirmed) + " s were handled as only version 7 allows");
        observeLaterEvents(store, first, one, two, client, port);
        return stale > 0;
    }

    /** What follows for clients; recorded, and not part of the verdict. */
    private void observeLaterEvents(Store store, Plain first, Vm one, Vm two, Client client, int port) throws Exception {
        keep(new Plain("i-second", "order-desk", new InetSocketAddress("127.61.0.21", port), store, 20, record));
        record.line("test", "planned replacement: i-second has started, i-first drains and leaves after 5 s");
        first.drain();
        Thread.sleep(5_000);
        store.remove("servers/i-first");
        first.close();
        int served = 0;
        for (int i = 0; i < 5; i++) {
            for (Vm vm : List.of(one, two)) {
                if (client.send(vm, "POST", "/orders/x", Client.newId("later"), "key-kept", new byte[10], 1_000) == 200) served++;
            }
        }
        record.line("test", "after the replacement " + served + " of 10 proper requests are served");
        one.signal("KILL");
        one.awaitEnd(2_000);
        one.restart();
        boolean ready = one.awaitReady(15_000);
        record.line("test", "a VM that was killed and started again " + (ready ? "is ready" : "is not ready after 15 s"));
    }
}
