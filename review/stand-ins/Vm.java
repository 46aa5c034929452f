package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One process of the system, started with the command of the deploy file. */
final class Vm implements AutoCloseable {
    final String name;
    final String ip;
    final InetSocketAddress front;
    final InetSocketAddress readiness;
    final Path log;
    private final Path settings;
    private final Record record;
    private Process process;

    /** Ports: [port] front, +1 readiness, +2 to +9 internal. */
    Vm(String name, String ip, int port, String zone, InetSocketAddress store, boolean bootstrap, Path folder, Record record)
        throws IOException {
        this.name = name;
        this.ip = ip;
        this.record = record;
        front = new InetSocketAddress(ip, port);
        readiness = new InetSocketAddress(ip, port + 1);
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        Map<String, Object> fields = Json.of(
            "nodeName", name, "role", "entry", "machineClass", "front", "serves", List.of("front"), "ip", ip,
            "zone", zone, "region", zone.replaceAll("-.*", ""),
            "zones", Json.of("lowlands-a", "lowlands", "highlands-a", "highlands", "borders-a", "borders"),
            "listen", Json.of("front", ip + ":" + port, "readiness", ip + ":" + (port + 1)),
            "internalPorts", List.of(port + 2, port + 9), "seeds", List.of(), "bootstrap", bootstrap,
            "countsAsLoss", false,
            "limits", Json.of("cpuShare", 0.75, "cores", 1, "memoryMb", 430, "maxFds", 4100, "linkMbps", 1000.0,
                "diskMb", 0),
            "dataDir", null, "discovery", "platform", "entry", "vip", "heartbeatMs", 1200,
            "contracts", List.of("base", "drain", "config", "cost", "retry", "recover", "fleet", "stream", "engine",
                "tenants", "quota", "platform"),
            "faultTolerance", Json.of("machines", 2, "zones", 0, "regions", 0),
            "bounds", Json.of("seedLagS", 3, "reuseAfterS", 2, "contactMs", 4000, "ackMs", 5000, "catchUpS", 4,
                "drainMs", 2500, "graceS", 8, "lossSlackMs", 200, "configApplyMs", 2500, "backMs", 250,
                "maxStretchMs", 6000, "failClosed", false, "revokeMs", 5000, "retryBudgetRatio", 0.2,
                "budgetWindowS", 10, "retrySlack", 52, "quotaWindowS", 8, "quotaOvershoot", 0.1, "quotaSlack", 17000,
                "recoveryS", 12, "passMs", 300, "retryAfterS", 0, "requireFencing", false, "leaseMs", 3000,
                "thawMs", 300, "ceilingWindowS", 5, "ceilingOvershoot", 1.1),
            "platform", Json.of("address", store.getHostString() + ":" + store.getPort(), "form", "kv",
                "writesPerS", 400, "readsPerS", 2000, "historyS", 20, "valueBytes", 1048576, "ttlMinMs", 1000));
        Files.writeString(settings, Json.write(fields));
    }

    /** Runs the command `run` of the deploy file from the repository's root. */
    void start() throws IOException {
        Path root = Path.of("").toAbsolutePath();
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        List<String> words = new ArrayList<>(List.of(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" ")));
        ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile()).redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
        builder.environment().put("BERGAMOTWIND_CONFIG", settings.toString());
        process = builder.start();
        record.line(name, "started");
    }

    /** Starts the process again; the system as a whole does not start for the first time then. */
    void restart() throws IOException {
        Files.writeString(settings, Files.readString(settings).replace("\"bootstrap\":true", "\"bootstrap\":false"));
        start();
    }

    boolean isReady() {
        Http.Message answer = Http.exchange(readiness, "GET", "/ready", Map.of("Host", ip), new byte[0], 500);
        return answer != null && answer.status() == 200;
    }

    /** The text at the metrics address of the deploy file, the second internal port; empty when there is no answer. */
    String metrics() {
        InetSocketAddress address = new InetSocketAddress(ip, front.getPort() + 3);
        Http.Message answer = Http.exchange(address, "GET", "/metrics", Map.of("Host", ip), new byte[0], 500);
        return answer == null ? "" : answer.text();
    }

    /** Waits until the process answers the readiness check with 200; false after [millis]. */
    boolean awaitReady(long millis) throws InterruptedException {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            if (isReady()) {
                record.line(name, "ready");
                return true;
            }
            Thread.sleep(50);
        }
        return false;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitValue() {
        return process.exitValue();
    }

    /** Sends a signal: KILL, STOP, CONT, TERM or HUP. */
    void signal(String signal) throws Exception {
        record.line(name, "SIG" + signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).inheritIO().start().waitFor();
    }

    boolean awaitEnd(long millis) throws InterruptedException {
        return process.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    @Override
    public void close() {
        if (process != null) process.destroyForcibly();
    }
}
