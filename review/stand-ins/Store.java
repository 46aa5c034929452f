package review;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: items, watches, transactions and leases, as PROTOCOL.md describes them. */
final class Store implements AutoCloseable {
    private static final long ANSWER_MILLIS = 4;

    private record Item(String key, byte[] value, long revision, long created, long lease) {
        Map<String, Object> fields() {
            return Json.of("key", key, "value", Base64.getEncoder().encodeToString(value), "revision", revision,
                "created", created, "lease", lease);
        }
    }

    private record Change(long revision, String key, Map<String, Object> fields) {
    }

    private static final class Lease {
        final long ttlMillis;
        long endNanos;

        Lease(long ttlMillis) {
            this.ttlMillis = ttlMillis;
            renew();
        }

        void renew() {
            endNanos = System.nanoTime() + ttlMillis * 1_000_000;
        }
    }

    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Change> history = new ArrayList<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final Record record;
    private final Http.Server server;
    private long revision = 100;
    private long lastLease = 7_000;
    private volatile boolean closed;

    Store(InetSocketAddress address, Record record) throws IOException {
        this.record = record;
        server = new Http.Server(address, this::handle);
        Http.thread("leases", () -> {
            while (!closed) {
                Thread.sleep(20);
                expire();
            }
        });
    }

    /** Writes [key] as the operator or a server does. */
    synchronized long put(String key, byte[] value) {
        write(key, value, 0);
        notifyAll();
        return revision;
    }

    synchronized long put(String key, Object json) {
        return put(key, Json.write(json).getBytes(StandardCharsets.UTF_8));
    }

    synchronized void remove(String key) {
        delete(key);
        notifyAll();
    }

    synchronized boolean has(String key) {
        return items.containsKey(key);
    }

    /** The value of [key] as text, or null. */
    synchronized String text(String key) {
        Item item = items.get(key);
        return item == null ? null : new String(item.value, StandardCharsets.UTF_8);
    }

    private void write(String key, byte[] value, long lease) {
        revision++;
        Item known = items.get(key);
        Item item = new Item(key, value, revision, known == null ? revision : known.created, lease);
        items.put(key, item);
        history.add(new Change(revision, key, item.fields()));
        if (key.startsWith("bergamotwind/placement/")) {
            record.line("store", key + " = " + new String(value, StandardCharsets.UTF_8) + ", created " + item.created);
        }
    }

    private void delete(String key) {
        if (items.remove(key) == null) return;
        revision++;
        history.add(new Change(revision, key, Json.of("key", key, "revision", revision, "deleted", true)));
        if (key.startsWith("bergamotwind/placement/")) record.line("store", key + " removed");
    }

    private synchronized void expire() {
        long now = System.nanoTime();
        List<Long> ended = leases.entrySet().stream().filter(entry -> entry.getValue().endNanos < now)
            .map(Map.Entry::getKey).toList();
        ended.forEach(this::endLease);
        if (!ended.isEmpty()) notifyAll();
    }

    private void endLease(long id) {
        leases.remove(id);
        items.values().stream().filter(item -> item.lease == id).map(Item::key).toList().forEach(this::delete);
    }

    private void handle(Http.Message request, Http.Connection connection) throws Exception {
        String path = request.path().split("\\?")[0];
        Map<String, String> query = new HashMap<>();
        if (request.path().contains("?")) {
            for (String pair : request.path().split("\\?")[1].split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(parts[0], URLDecoder.decode(parts.length > 1 ? parts[1] : "", StandardCharsets.UTF_8));
            }
        }
        Thread.sleep(ANSWER_MILLIS);
        Map<String, Object> body = request.body.length == 0 ? Map.of() : Json.object(request.text());
        if (path.equals("/kv-range")) {
            connection.json(200, range(query));
        } else if (path.equals("/kv-watch")) {
            connection.json(200, watch(query));
        } else if (path.equals("/kv-txn")) {
            transact(body, connection);
        } else if (path.equals("/kv-lease")) {
            connection.json(200, grant(((Number) body.get("ttlMs")).longValue()));
        } else if (path.startsWith("/kv-keep/")) {
            Object renewed = renew(Long.parseLong(path.substring("/kv-keep/".length())));
            connection.json(renewed == null ? 404 : 200, renewed == null ? Map.of() : renewed);
        } else if (path.startsWith("/kv-lease-end/")) {
            synchronized (this) {
                endLease(Long.parseLong(path.substring("/kv-lease-end/".length())));
                notifyAll();
            }
            connection.json(200, Map.of());
        } else {
            connection.json(404, Map.of());
        }
    }

    private synchronized Object range(Map<String, String> query) {
        String after = query.getOrDefault("after", "");
        List<Object> page = new ArrayList<>();
        boolean more = false;
        for (Item item : items.values()) {
            if (!item.key.startsWith(query.get("prefix")) || item.key.compareTo(after) <= 0) continue;
            if (page.size() == 500) {
                more = true;
                break;
            }
            page.add(item.fields());
        }
        return Json.of("items", page, "hasMore", more, "storeRevision", revision);
    }

    private synchronized Object watch(Map<String, String> query) throws InterruptedException {
        long after = Long.parseLong(query.get("after"));
        long end = System.nanoTime() + Long.parseLong(query.get("waitMs")) * 1_000_000;
        while (true) {
            List<Object> events = new ArrayList<>();
            for (Change change : history) {
                if (change.revision > after && change.key.startsWith(query.get("prefix"))) events.add(change.fields);
            }
            long left = (end - System.nanoTime()) / 1_000_000;
            if (!events.isEmpty() || left <= 0) return Json.of("events", events, "storeRevision", revision);
            wait(left);
        }
    }

    @SuppressWarnings("unchecked")
    private void transact(Map<String, Object> body, Http.Connection connection) throws IOException {
        int status = 200;
        long written;
        List<Object> current = new ArrayList<>();
        synchronized (this) {
            for (Object each : (List<Object>) body.getOrDefault("expected", List.of())) {
                Map<String, Object> expected = (Map<String, Object>) each;
                Item item = items.get((String) expected.get("key"));
                long known = item == null ? 0 : item.revision;
                if (item != null) current.add(item.fields());
                if (known != ((Number) expected.get("revision")).longValue()) status = 412;
            }
            List<Object> puts = (List<Object>) body.getOrDefault("puts", List.of());
            List<Object> removed = (List<Object>) body.getOrDefault("remove", List.of());
            for (Object each : puts) {
                Map<String, Object> put = (Map<String, Object>) each;
                long lease = put.get("lease") == null ? 0 : ((Number) put.get("lease")).longValue();
                if (status == 200 && lease != 0 && !leases.containsKey(lease)) status = 404;
                if (isForbidden((String) put.get("key"))) status = 403;
            }
            if (status == 200) {
                for (Object each : puts) {
                    Map<String, Object> put = (Map<String, Object>) each;
                    long lease = put.get("lease") == null ? 0 : ((Number) put.get("lease")).longValue();
                    write((String) put.get("key"), Base64.getDecoder().decode((String) put.get("value")), lease);
                }
                removed.forEach(key -> delete((String) key));
                notifyAll();
            }
            written = revision;
        }
        connection.json(status, status == 200 ? Json.of("revision", written) : Json.of("items", current));
    }

    private static boolean isForbidden(String key) {
        return key.startsWith("op/") || key.startsWith("servers/");
    }

    private synchronized Object grant(long ttlMillis) {
        leases.put(++lastLease, new Lease(ttlMillis));
        return Json.of("lease", lastLease, "ttlMs", ttlMillis);
    }

    private synchronized Object renew(long id) {
        Lease lease = leases.get(id);
        if (lease == null) return null;
        lease.renew();
        return Json.of("ttlMs", lease.ttlMillis);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        server.close();
    }
}
