package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Frame of a test: ends all that it started, and exits with 1 if the rule was broken, 0 if it held, 2 otherwise. */
abstract class Case {
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path folder;
    final Record record;
    private final List<AutoCloseable> started = new ArrayList<>();

    Case(String reviewFolder) throws IOException {
        record = new Record(Path.of(reviewFolder, "record.txt"));
        folder = Files.createTempDirectory("review");
        record.line("test", "TROUBLE=" + (trouble ? 1 : 0));
    }

    /** Runs the test; true if the rule was broken. Throws when the test cannot run. */
    abstract boolean run() throws Exception;

    <T extends AutoCloseable> T keep(T part) {
        started.add(0, part);
        return part;
    }

    /** Runs the test and exits. */
    void main() {
        int exit;
        Thread guard = new Thread(this::closeAll);
        Runtime.getRuntime().addShutdownHook(guard);
        try {
            boolean broken = run();
            exit = broken ? 1 : 0;
            record.line("test", broken ? "RULE BROKEN" : "the rule held");
        } catch (Exception failed) {
            record.line("test", "cannot run: " + failed);
            failed.printStackTrace();
            exit = 2;
        }
        System.exit(exit);
    }

    private synchronized void closeAll() {
        for (AutoCloseable part : started) {
            try {
                part.close();
            } catch (Exception ignored) {
                // The others still have to end.
            }
        }
        started.clear();
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs: " + folder);
            return;
        }
        try (var files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
        } catch (IOException ignored) {
            // Left to the system.
        }
    }

    static void require(boolean condition, String what) {
        if (!condition) throw new IllegalStateException(what);
    }

    /** A service without an engine, as in the configuration. */
    static Object plainService(String name) {
        return Json.of("name", name, "healthPath", "/health", "maxConnections", 96, "protocol", "h1", "tls", false);
    }

    static Object route(String name, String prefix, String kind, String service, int attempts, int timeoutMillis) {
        return Json.of("name", name, "host", "desk.example", "prefix", prefix, "kind", kind, "timeoutMs", timeoutMillis,
            "targetLatencyMs", 200, "priority", 2, "service", service, "maxAttempts", attempts, "public", false);
    }

    static Object tenant(String name, double rate, String... keys) {
        return Json.of("name", name, "apiKeys", List.of(keys), "priority", 1, "unit", "tokens", "plainTokens", 200,
            "ratePerS", rate, "burst", rate);
    }

    static Object configuration(long version, List<Object> routes, List<Object> services, List<Object> tenants) {
        return Json.of("version", version, "routes", routes, "services", services,
            "limits", Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000, "idleTimeoutMs",
                15000),
            "tenants", tenants);
    }

    /** A service of engines with [models] of 50 GB each, two to an engine. */
    static Object engineService(String name, int adapters, int adapterSlots, String... models) {
        List<Object> list = new ArrayList<>();
        for (String model : models) {
            list.add(Json.of("name", model, "weightsMb", 65100.0, "loadS", 9.0, "adapters", adapters, "adapterMb", 12.0,
                "warmS", 1.2, "diskS", 2.0));
        }
        return Json.of("name", name, "healthPath", "/health", "maxConnections", 360, "protocol", "h1", "tls", false,
            "engine", Json.of("slots", 64, "kvCapacity", 137551, "kvTokenBytes", 163840, "linkMbps", 550000.0,
                "moves", true, "backups", true, "stride", 2, "upperLimit", 12, "hostMb", 140000.0, "diskMb", 410000.0,
                "pinMs", 4000.0, "holdMs", 2000.0, "handle_s", 5.0, "models", list, "weightsMb", 200000.0,
                "adapterSlots", adapterSlots, "loadsPerS", 1.1));
    }

    static Object streamRoute(String name, String prefix, String service, boolean resumable, int attempts, int timeoutMillis) {
        return Json.of("name", name, "host", "desk.example", "prefix", prefix, "kind", "streaming", "timeoutMs",
            timeoutMillis, "targetLatencyMs", 1_000, "priority", 1, "service", service, "maxAttempts", attempts,
            "public", false, "sticky", true, "resumable", resumable, "gapTargetMs", 400);
    }
}
