import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Frame of a case: the record, the store, the entry VMs and the exit status. */
abstract class Case {
    static final String HOST = "models.example";
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path folder = Path.of("").toAbsolutePath();
    private final Path root = folder.getParent().getParent();
    private final List<Vm> vms = new ArrayList<>();
    private Path temporary;
    Record record;
    Store store;

    /** Plays the case; true when the rule was broken. */
    abstract boolean play() throws Exception;

    /** Runs the case and writes its record to the file [recordName]: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. */
    final void run(String recordName) {
        int status = 2;
        Runtime.getRuntime().addShutdownHook(new Thread(this::clean));
        try {
            temporary = Files.createTempDirectory("review");
            record = new Record(folder.resolve(recordName));
            record.line("disruption: %s", hasTrouble ? "yes" : "no (TROUBLE=0)");
            store = new Store(new InetSocketAddress("127.0.0.1", 0));
            boolean isBroken = play();
            record.line(isBroken ? "the rule was broken" : "the rule held");
            status = isBroken ? 1 : 0;
        } catch (Exception failure) {
            failure.printStackTrace();
            if (record != null) record.line("the case could not run: %s", failure);
        }
        System.exit(status);
    }

    Vm startVm(String name, String host, String zone) throws IOException {
        return startVm(name, host, zone, store.address());
    }

    /** Starts an entry VM that reaches the store at [storeAddress]. */
    Vm startVm(String name, String host, String zone, InetSocketAddress storeAddress) throws IOException {
        Vm vm = new Vm(root, temporary, name, host, zone, storeAddress);
        vms.add(vm);
        return vm.start();
    }

    /** Writes the events of the VM that match [pattern] into the record. */
    void recordLog(Vm vm, String pattern, int limit) throws IOException {
        try (Stream<String> lines = Files.lines(vm.log)) {
            lines.filter(line -> line.matches(".*(" + pattern + ").*")).limit(limit)
                .forEach(line -> record.line("log of %s: %s", vm.name, line));
        }
    }

    private void clean() {
        vms.forEach(Vm::close);
        if (temporary == null) return;
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException failure) {
            System.err.println("the temporary folder was not removed: " + failure);
        }
    }
}
