package review;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;

/** The holder's process is killed, starts again and is then stopped as planned. */
final class KilledThenStopped extends Case {
    private static final int ADAPTERS = 22;
    private static final int ENGINES = 4;
    private static final String HOLDER = "bergamotwind/placement/holder";

    /** Time after which the platform starts a killed process again; the bench takes as long. */
    private static final long RESTART_MILLIS = 500;

    private KilledThenStopped(String folder) throws Exception {
        super(folder);
    }

    public static void main(String[] arguments) throws Exception {
        new KilledThenStopped(arguments[0]).main();
    }

    @Override
    boolean run() throws Exception {
        List<String> hosts = List.of("127.64.1.1", "127.64.1.2", "127.64.1.10", "127.64.1.20", "127.64.1.21",
            "127.64.1.22", "127.64.1.23");
        int port = Http.freePort(hosts, 12);
        InetSocketAddress storeAddress = new InetSocketAddress("127.64.1.10", port);
        Store store = keep(new Store(storeAddress, record));
        store.put("op/config", configuration(7, List.of(streamRoute("notes", "/notes/", "colour-models", true, 2, 15_000)),
            List.of(engineService("colour-models", ADAPTERS, 8, "m0", "m1", "m2", "m3")),
            List.of(tenant("acme", 500_000, "key-a"))));
        List<Engine> engines = new ArrayList<>();
        for (int i = 0; i < ENGINES; i++) {
            InetSocketAddress address = new InetSocketAddress("127.64.1.2" + i, port);
            engines.add(keep(new Engine("i-engine-" + i, "colour-models", address, address, List.of("m" + i), 8, 4, 10, store,
                record)));
        }
        Vm one = keep(new Vm("front-lowlands-a-1", "127.64.1.1", port, "lowlands-a", storeAddress, true, folder, record));
        Vm two = keep(new Vm("front-lowlands-a-2", "127.64.1.2", port, "lowlands-a", storeAddress, true, folder, record));
        one.start();
        two.start();
        require(one.awaitReady(20_000) && two.awaitReady(20_000), "the VMs are not ready");
        Thread.sleep(1_000);
        Vm holder = store.text(HOLDER).startsWith(one.name) ? one : two;
        Vm other = holder == one ? two : one;
        Client client = new Client(record);
        boolean[] ended = {false};
        Thread clients = Http.thread("clients", () -> {
            for (int i = 0; !ended[0]; i++) {
                String model = "m" + i % ENGINES + "/a" + (1 + i / ENGINES % ADAPTERS);
                String id = Client.newId("ask");
                Http.thread(id, () -> client.ask(other, "/notes/x", id, "key-a", model, 5_000));
                Thread.sleep(60);
            }
        });
        Thread.sleep(4_000);
        require(engines.stream().noneMatch(engine -> engine.orders.isEmpty()), "the holder has given no orders");
        if (trouble) {
            holder.signal("KILL");
            require(holder.awaitEnd(2_000), "the process has not ended");
            Thread.sleep(RESTART_MILLIS);
            holder.restart();
            awaitTerm(holder);
        }
        holder.signal("TERM");
        Thread.sleep(8_000);
        ended[0] = true;
        clients.join();
        boolean broken = false;
        for (Engine engine : engines) {
            require(engine.orders.stream().anyMatch(order -> order.holder().equals(other.name)), "no hand-over");
            String fault = Orders.fault(engine.orders, Double.MAX_VALUE / 2);
            broken = broken || fault != null;
            record.line("test", engine.id + ": " + engine.orders.size() + " orders, " + (fault == null ? "none breaks the rule" : "ONE: " + fault));
        }
        return broken;
    }

    /** Waits until the metrics of the machine tell that its new process is the holder. */
    private void awaitTerm(Vm machine) throws InterruptedException {
        for (int i = 0; i < 400; i++) {
            if (machine.metrics().contains("kind=\"placement.holder\"")) {
                record.line(machine.name, "is the holder again");
                return;
            }
            Thread.sleep(10);
        }
        throw new IllegalStateException("the restarted machine does not become the holder");
    }
}
