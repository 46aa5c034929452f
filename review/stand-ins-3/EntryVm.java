import java.io.File;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One entry VM: the command `run` of the deploy file, with a settings file of its own. */
final class EntryVm implements AutoCloseable {
    final String name;
    final String host;
    final int frontPort;
    final int readinessPort;
    final Path log;
    private final Path settings;
    private final Path temporary;
    private Process process;

    EntryVm(String name, String host, String storeAddress, Path temporary) throws IOException {
        this.name = name;
        this.host = host;
        this.temporary = temporary;
        frontPort = freePort(host);
        readinessPort = freePort(host);
        int internal = freePortPair(host);
        log = temporary.resolve(name + ".log");
        settings = temporary.resolve(name + ".json");
        Map<String, Object> bounds = Json.of("seedLagS", 3, "reuseAfterS", 2, "contactMs", 4000, "ackMs", 5000,
            "catchUpS", 4, "drainMs", 2500, "graceS", 8, "lossSlackMs", 200, "configApplyMs", 2500, "backMs", 250,
            "maxStretchMs", 6000, "failClosed", false, "revokeMs", 5000, "retryBudgetRatio", 0.2,
            "budgetWindowS", 10, "retrySlack", 52, "quotaWindowS", 8, "quotaOvershoot", 0.1, "quotaSlack", 17000,
            "recoveryS", 12, "passMs", 300, "retryAfterS", 0, "requireFencing", false, "leaseMs", 3000,
            "thawMs", 300, "ceilingWindowS", 5, "ceilingOvershoot", 1.1);
        Files.writeString(settings, Json.write(Json.of("nodeName", name, "role", "entry", "machineClass", "front",
            "serves", List.of("front"), "ip", host, "zone", "zone-a", "region", "region-a",
            "zones", Json.of("zone-a", "region-a"),
            "listen", Json.of("front", host + ":" + frontPort, "readiness", host + ":" + readinessPort),
            "internalPorts", List.of(internal, internal + 1), "seeds", List.of(), "bootstrap", true,
            "countsAsLoss", false,
            "limits", Json.of("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4100, "linkMbps", 1000.0,
                "diskMb", 0),
            "discovery", "platform", "entry", "vip", "heartbeatMs", 1200,
            "faultTolerance", Json.of("machines", 2, "zones", 0, "regions", 0),
            "bounds", bounds,
            "platform", Json.of("address", storeAddress, "form", "kv", "writesPerS", 400, "readsPerS", 2000,
                "historyS", 20, "valueBytes", 1048576, "ttlMinMs", 1000))));
    }

    /** Starts the process and waits until it is ready. */
    void start() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(runCommand());
        builder.environment().put("BERGAMOTWIND_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        Process started = process;
        Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
        for (int i = 0; i < 300; i++) {
            if (isReady()) return;
            if (!process.isAlive()) break;
            Thread.sleep(50);
        }
        throw new IllegalStateException(name + " did not become ready; see " + log);
    }

    long pid() {
        return process.pid();
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    /** Asks the readiness address as the platform does; true for 200 within a second. */
    boolean isReady() {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(host, readinessPort), 1_000);
            socket.setSoTimeout(1_000);
            socket.getOutputStream().write("GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n".getBytes());
            return Http.readHead(socket.getInputStream()).status() == 200;
        } catch (IOException | RuntimeException failure) {
            return false;
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(10, TimeUnit.SECONDS);
    }

    @Override
    public void close() throws Exception {
        if (process != null) kill();
    }

    private static List<String> runCommand() throws IOException {
        for (String line : Files.readAllLines(Path.of("deploy", "system.toml"))) {
            if (line.startsWith("run = ")) {
                String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
                return List.of(command.split(" "));
            }
        }
        throw new IllegalStateException("the deploy file has no command");
    }

    private static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    private static int freePortPair(String host) throws IOException {
        while (true) {
            int port = freePort(host);
            try (DatagramSocket datagrams = new DatagramSocket(new InetSocketAddress(host, port));
                ServerSocket next = new ServerSocket(port + 1, 1, InetAddress.getByName(host))) {
                return port;
            } catch (IOException taken) {
                // Another pair is tried.
            }
        }
    }

    /** Creates the temporary folder of a case. */
    static Path temporaryFolder(String name) throws IOException {
        return Files.createTempDirectory(name);
    }

    /** Deletes a temporary folder. */
    static void delete(Path folder) {
        List<File> files = new ArrayList<>(List.of(folder.toFile().listFiles()));
        files.forEach(File::delete);
        folder.toFile().delete();
    }
}
