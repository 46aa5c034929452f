import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Configurations of a small deployment. */
final class Sites {
    static final String HOST = "desk.example";

    private Sites() {}

    static Map<String, Object> plainRoute(String name, String prefix, String kind, String service, int timeoutMillis) {
        return Json.of("name", name, "host", HOST, "prefix", prefix, "kind", kind, "timeoutMs", timeoutMillis,
            "targetLatencyMs", 221, "priority", 2, "service", service, "maxAttempts", kind.equals("safe") ? 2 : 1,
            "public", false, "sticky", false, "resumable", false);
    }

    static Map<String, Object> plainService(String name) {
        return Json.of("name", name, "healthPath", "/health", "maxConnections", 360, "protocol", "h1", "tls", false);
    }

    static Map<String, Object> tenant(String name, String... keys) {
        return Json.of("name", name, "apiKeys", List.of(keys), "priority", 1, "unit", "tokens", "plainTokens", 200,
            "ratePerS", 0, "burst", 0);
    }

    static Map<String, Object> limits() {
        return Json.of("maxHeaderBytes", 16384, "maxBodyBytes", 4194304, "headerTimeoutMs", 3000,
            "idleTimeoutMs", 15000);
    }

    static Map<String, Object> configuration(int version, List<?> routes, List<?> services, List<?> tenants) {
        return Json.of("version", version, "routes", new ArrayList<>(routes), "services", new ArrayList<>(services),
            "limits", limits(), "tenants", new ArrayList<>(tenants));
    }
}
