package review;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends requests of a client, each over a new connection, and records the answers. */
final class Client {
    private static final AtomicInteger NUMBER = new AtomicInteger();
    private final Record record;

    /** Milliseconds after which the last answer allowed another try, or 0. */
    long retryAfterMillis;

    Client(Record record) {
        this.record = record;
    }

    static String newId(String prefix) {
        return prefix + "-" + NUMBER.incrementAndGet();
    }

    static Map<String, String> headers(String id, String key, long deadlineMillis) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("Host", "desk.example");
        headers.put("Request-Id", id);
        headers.put("Deadline-Ms", Long.toString(deadlineMillis));
        headers.put("Credential", key);
        return headers;
    }

    /** Sends a request to [vm] and returns the status, or 0 when there was no complete answer. */
    int send(Vm vm, String method, String path, String id, String key, byte[] body, int deadlineMillis) {
        record.line("client", id + " sent to " + vm.name + ": " + method + " " + path + " with key " + key);
        Http.Message answer =
            Http.exchange(vm.front, method, path, headers(id, key, deadlineMillis), body, timeoutMillis(method, deadlineMillis));
        String retryAfter = answer == null ? null : answer.headers.get("Retry-After");
        retryAfterMillis = retryAfter == null ? 0 : (long) (Double.parseDouble(retryAfter) * 1_000);
        int status = answer == null || !answer.whole ? 0 : answer.status();
        record.line("client", id + " answered " + (status == 0 ? "by the end of the connection or not at all" : status));
        return status;
    }

    /** An idempotent request that is not taken up is abandoned after one second or a third of the time left. */
    private static int timeoutMillis(String method, int deadlineMillis) {
        return method.equals("GET") ? Math.min(1_000, deadlineMillis / 3) : deadlineMillis;
    }

    /** Sends a request for [model] to [vm] and returns the status, or 0 when there was no complete answer. */
    int ask(Vm vm, String path, String id, String key, String model, int deadlineMillis) {
        Map<String, String> headers = headers(id, key, deadlineMillis);
        headers.put("Model", model);
        headers.put("Token-Usage", "100,8");
        headers.put("Prefix-Hash", "5c1e07a2:40,91bd3f06:30," + Integer.toHexString(id.hashCode()) + ":30");
        record.line("client", id + " sent to " + vm.name + ": POST " + path + " for " + model + " with key " + key);
        Http.Message answer = Http.exchange(vm.front, "POST", path, headers, new byte[64], deadlineMillis);
        int status = answer == null || !answer.whole ? 0 : answer.status();
        record.line("client", id + " answered " + (status == 0 ? "by the end of the connection or not at all" : status));
        return status;
    }
}
