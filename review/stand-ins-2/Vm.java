import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** An entry VM: the process that the deploy file's `run` starts, from the root of the repository. */
final class Vm implements AutoCloseable {
    final String name;
    final String host;
    final InetSocketAddress front;
    final InetSocketAddress readiness;
    final Path log;
    volatile Process process;
    private volatile boolean isClosed;
    private final Path settings;
    private final Path root;

    Vm(Path root, Path folder, String name, String host, String zone, InetSocketAddress store) throws IOException {
        this.root = root;
        this.name = name;
        this.host = host;
        front = new InetSocketAddress(host, freePort(host));
        readiness = new InetSocketAddress(host, freePort(host));
        int peers = freePair(host);
        settings = folder.resolve(name + ".json");
        log = folder.resolve(name + ".log");
        Files.writeString(settings, settingsText(zone, peers, store));
    }

    private String settingsText(String zone, int peers, InetSocketAddress store) {
        return """
            {"nodeName":"NAME","role":"entry","machineClass":"front","serves":["front"],"ip":"HOST","zone":"ZONE",
            "region":"region-ZONE","zones":{"zone-a":"region-zone-a","zone-b":"region-zone-b","zone-c":"region-zone-c"},
            "listen":{"front":"HOST:FRONT","readiness":"HOST:READY"},"internalPorts":[PEERS,LAST],"seeds":[],
            "bootstrap":true,"countsAsLoss":false,
            "limits":{"cpuShare":0.75,"cores":1,"memoryMb":430,"maxFds":4100,"linkMbps":1000.0,"diskMb":0},"dataDir":null,
            "discovery":"platform","entry":"vip","heartbeatMs":1200,
            "contracts":["base","drain","config","cost","retry","recover","fleet","stream","engine","tenants","quota","platform"],
            "faultTolerance":{"machines":2,"zones":0,"regions":0},
            "bounds":{"seedLagS":3,"reuseAfterS":2,"contactMs":4000,"ackMs":5000,"catchUpS":4,"drainMs":2500,"graceS":8,
            "lossSlackMs":200,"configApplyMs":2500,"backMs":250,"maxStretchMs":6000,"failClosed":false,"revokeMs":5000,
            "retryBudgetRatio":0.2,"budgetWindowS":10,"retrySlack":52,"quotaWindowS":8,"quotaOvershoot":0.1,
            "quotaSlack":17000,"recoveryS":12,"passMs":300,"retryAfterS":0,"requireFencing":false,"leaseMs":3000,
            "thawMs":300,"ceilingWindowS":5,"ceilingOvershoot":1.1},
            "platform":{"address":"STORE","form":"kv","writesPerS":400,"readsPerS":2000,"historyS":20,
            "valueBytes":1048576,"ttlMinMs":1000}}
            """
            .replace("NAME", name).replace("HOST", host).replace("ZONE", zone)
            .replace("FRONT", "" + front.getPort()).replace("READY", "" + readiness.getPort())
            .replace("PEERS", "" + peers).replace("LAST", "" + (peers + 1))
            .replace("STORE", store.getAddress().getHostAddress() + ":" + store.getPort());
    }

    /** Starts the process with the command of the deploy file. */
    Vm start() throws IOException {
        String run = Files.readAllLines(root.resolve("deploy/system.toml")).stream()
            .filter(line -> line.startsWith("run = ")).findFirst().orElseThrow();
        List<String> words = Arrays.asList(run.substring(run.indexOf('"') + 1, run.lastIndexOf('"')).split(" "));
        ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile());
        builder.environment().put("BERGAMOTWIND_CONFIG", settings.toString());
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
        return this;
    }

    /** Starts the process again, as the platform does, half a second after each end of its own. */
    Vm restartAtEnd(Runnable onEnd) {
        Replica.daemon("restart of " + name, () -> {
            try {
                while (true) {
                    process.waitFor();
                    if (isClosed) return;
                    onEnd.run();
                    Thread.sleep(500);
                    Files.writeString(settings, Files.readString(settings).replace("\"bootstrap\":true", "\"bootstrap\":false"));
                    if (!isClosed) start();
                }
            } catch (IOException | InterruptedException failure) {
                throw new IllegalStateException(failure);
            }
        });
        return this;
    }

    /** Asks `/ready` as the balancer does; -1 without an answer in time. */
    int ready(int timeoutMillis) {
        try (Caller caller = new Caller(readiness, timeoutMillis)) {
            caller.send("GET", "/ready", "ready", new byte[0]);
            Message answer = caller.read();
            return answer == null ? -1 : answer.status();
        } catch (IOException noAnswer) {
            return -1;
        }
    }

    void awaitReady(int seconds) throws InterruptedException {
        for (int i = 0; i < seconds * 20; i++) {
            if (ready(500) == 200) return;
            Thread.sleep(50);
        }
        throw new IllegalStateException(name + " is not ready after " + seconds + " s");
    }

    void signal(String signal) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + signal, "" + process.pid()).inheritIO().start().waitFor();
    }

    @Override
    public void close() {
        isClosed = true;
        if (process == null) return;
        process.destroyForcibly();
        try {
            process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    static int freePort(String host) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(host))) {
            return socket.getLocalPort();
        }
    }

    /** A port for the VM's peers; the next one, for its metrics, is free as well. */
    private static int freePair(String host) throws IOException {
        while (true) {
            int port = freePort(host);
            try (ServerSocket next = new ServerSocket(port + 1, 1, InetAddress.getByName(host))) {
                return port;
            } catch (IOException taken) {
                // Another pair is tried.
            }
        }
    }
}
