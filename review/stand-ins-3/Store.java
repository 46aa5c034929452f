import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Supplier;

/** The platform's metadata store: items, leases, watches and conditional writes, all in memory. */
final class Store implements AutoCloseable {
    private static final long HEARTBEAT_MILLIS = 1_200;

    private record Item(String key, String value, long revision, long created, long lease) {
        Map<String, Object> json() {
            return Json.of("key", key, "value", value, "revision", revision, "created", created, "lease", lease);
        }
    }

    private record Event(long revision, String key, Map<String, Object> json) {}

    private static final class Lease {
        long ttlMillis;
        long endMillis;
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Event> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision = 1;
    private long lastLease = 100;
    private final Http.Server server;

    Store(String host) throws IOException {
        server = new Http.Server(host, this::handle);
        Http.daemon("leases", this::expireLeases);
    }

    String address() {
        return server.hostAndPort();
    }

    /** Writes an item as the operator or a server does. */
    synchronized void put(String key, Object value) {
        put(key, Base64.getEncoder().encodeToString(Json.write(value).getBytes(StandardCharsets.UTF_8)), 0);
    }

    /** Writes an item as a server does, and again at every heartbeat. */
    void register(String key, Supplier<Object> entry) {
        put(key, entry.get());
        Http.daemon("heartbeat", () -> {
            try {
                while (true) {
                    Thread.sleep(HEARTBEAT_MILLIS);
                    put(key, entry.get());
                }
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Removes an item as the operator or a server does. */
    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        history.add(new Event(revision, key, Json.of("key", key, "revision", revision, "deleted", true)));
        notifyAll();
    }

    /** Returns the decoded value of an item, or null. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(Base64.getDecoder().decode(item.value()), StandardCharsets.UTF_8);
    }

    private void put(String key, String value, long lease) {
        Item before = items.get(key);
        revision++;
        Item item = new Item(key, value, revision, before == null ? revision : before.created(), lease);
        items.put(key, item);
        history.add(new Event(revision, key, item.json()));
        notifyAll();
    }

    private void expireLeases() {
        while (true) {
            synchronized (this) {
                long now = System.nanoTime() / 1_000_000;
                List<Long> ended = new ArrayList<>();
                leases.forEach((id, lease) -> {
                    if (lease.endMillis <= now) ended.add(id);
                });
                ended.forEach(this::endLease);
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private void endLease(long id) {
        leases.remove(id);
        List<String> keys = new ArrayList<>();
        items.values().forEach(item -> {
            if (item.lease() == id) keys.add(item.key());
        });
        keys.forEach(this::remove);
    }

    private void handle(Http.Message request, Http.Exchange exchange) throws Exception {
        String[] target = request.path().split("\\?", 2);
        Map<String, String> query = new HashMap<>();
        if (target.length > 1) {
            for (String pair : target[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        String path = target[0];
        if (path.equals("/kv-key")) readKey(query, exchange);
        else if (path.equals("/kv-range")) readRange(query, exchange);
        else if (path.equals("/kv-watch")) watch(query, exchange);
        else if (path.equals("/kv-txn")) write(Json.object(Json.parse(request.text())), exchange);
        else if (path.equals("/kv-lease")) grant(Json.object(Json.parse(request.text())), exchange);
        else if (path.startsWith("/kv-keep/")) keep(lastNumber(path), exchange);
        else if (path.startsWith("/kv-lease-end/")) end(lastNumber(path), exchange);
        else exchange.json(404, Json.of(), "Store-Era", "1");
    }

    private static long lastNumber(String path) {
        return Long.parseLong(path.substring(path.lastIndexOf('/') + 1));
    }

    private void readKey(Map<String, String> query, Http.Exchange exchange) throws IOException {
        Map<String, Object> answer;
        synchronized (this) {
            Item item = items.get(query.get("key"));
            answer = item == null ? null : item.json();
            if (answer != null) answer.put("storeRevision", revision);
        }
        exchange.json(answer == null ? 404 : 200, answer == null ? Json.of() : answer, "Store-Era", "1");
    }

    private void readRange(Map<String, String> query, Http.Exchange exchange) throws IOException {
        Map<String, Object> answer;
        synchronized (this) {
            String prefix = query.getOrDefault("prefix", "");
            String after = query.getOrDefault("after", "");
            List<Object> found = new ArrayList<>();
            boolean hasMore = false;
            for (Item item : items.tailMap(after, after.isEmpty()).values()) {
                if (!item.key().startsWith(prefix)) continue;
                hasMore = found.size() == 500;
                if (hasMore) break;
                found.add(item.json());
            }
            answer = Json.of("items", found, "hasMore", hasMore, "storeRevision", revision);
        }
        exchange.json(200, answer, "Store-Era", "1");
    }

    private void watch(Map<String, String> query, Http.Exchange exchange) throws Exception {
        String prefix = query.getOrDefault("prefix", "");
        long after = Long.parseLong(query.get("after"));
        long endMillis = System.nanoTime() / 1_000_000 + Long.parseLong(query.getOrDefault("waitMs", "0"));
        Map<String, Object> answer;
        synchronized (this) {
            while (true) {
                List<Object> events = new ArrayList<>();
                for (Event event : history) {
                    if (event.revision() > after && event.key().startsWith(prefix)) events.add(event.json());
                }
                long wait = endMillis - System.nanoTime() / 1_000_000;
                if (!events.isEmpty() || wait <= 0) {
                    answer = Json.of("events", events, "storeRevision", revision);
                    break;
                }
                wait(wait);
            }
        }
        exchange.json(200, answer, "Store-Era", "1");
    }

    private void write(Map<String, Object> call, Http.Exchange exchange) throws IOException {
        int status;
        Map<String, Object> answer;
        synchronized (this) {
            List<Object> conflicting = new ArrayList<>();
            boolean holds = true;
            for (Object row : Json.list(call.get("expected"))) {
                String key = (String) Json.object(row).get("key");
                Item item = items.get(key);
                long current = item == null ? 0 : item.revision();
                holds &= current == Json.number(Json.object(row).get("revision"));
                if (item != null) conflicting.add(item.json());
            }
            boolean hasLeases = true;
            for (Object row : Json.list(call.get("puts"))) {
                long lease = Json.number(Json.object(row).getOrDefault("lease", 0L));
                hasLeases &= lease == 0 || leases.containsKey(lease);
            }
            if (!holds) {
                status = 412;
                answer = Json.of("items", conflicting);
            } else if (!hasLeases) {
                status = 404;
                answer = Json.of();
            } else {
                for (Object row : Json.list(call.get("puts"))) {
                    Map<String, Object> put = Json.object(row);
                    put((String) put.get("key"), (String) put.get("value"), Json.number(put.getOrDefault("lease", 0L)));
                }
                for (Object key : Json.list(call.get("remove"))) remove((String) key);
                status = 200;
                answer = Json.of("revision", revision);
            }
        }
        exchange.json(status, answer, "Store-Era", "1");
    }

    private void grant(Map<String, Object> call, Http.Exchange exchange) throws IOException {
        long id;
        Lease lease = new Lease();
        synchronized (this) {
            id = ++lastLease;
            lease.ttlMillis = Math.max(1_000, Json.number(call.get("ttlMs")));
            lease.endMillis = System.nanoTime() / 1_000_000 + lease.ttlMillis;
            leases.put(id, lease);
        }
        exchange.json(200, Json.of("lease", id, "ttlMs", lease.ttlMillis), "Store-Era", "1");
    }

    private void keep(long id, Http.Exchange exchange) throws IOException {
        Lease lease;
        synchronized (this) {
            lease = leases.get(id);
            if (lease != null) lease.endMillis = System.nanoTime() / 1_000_000 + lease.ttlMillis;
        }
        if (lease == null) exchange.json(404, Json.of(), "Store-Era", "1");
        else exchange.json(200, Json.of("ttlMs", lease.ttlMillis), "Store-Era", "1");
    }

    private void end(long id, Http.Exchange exchange) throws IOException {
        synchronized (this) {
            endLease(id);
        }
        exchange.json(200, new LinkedHashMap<String, Object>(), "Store-Era", "1");
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
