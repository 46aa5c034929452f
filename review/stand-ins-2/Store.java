import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

/** The platform's metadata store: items, watches, conditional writes and leases, as PROTOCOL.md describes them. */
final class Store {
    private static final class Item implements Cloneable {
        String key;
        String value;
        long revision;
        long created;
        long lease;

        @Override
        public Item clone() {
            try {
                return (Item) super.clone();
            } catch (CloneNotSupportedException impossible) {
                throw new AssertionError(impossible);
            }
        }
    }

    private static final int NO_ANSWER = -1;
    private static final long SILENCE_MILLIS = 10_000;
    private final HttpServer server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Map<String, Object>> history = new ArrayList<>();
    private final Map<Long, long[]> leases = new HashMap<>();
    private long revision = 100;
    private long firstRevision = 100;
    private long lastLease = 70_000;
    private long era = 1;
    private boolean isAway;
    private long watchedFrom;

    /** A copy of all items and leases, from which the store may return. */
    static final class Copy {
        private final Map<String, Item> items = new HashMap<>();
        private final Map<Long, long[]> leases = new HashMap<>();
        private long revision;
    }

    Store(InetSocketAddress address) throws IOException {
        server = HttpServer.create(address, 200);
        server.setExecutor(Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "store");
            thread.setDaemon(true);
            return thread;
        }));
        server.createContext("/", this::handle);
        server.start();
        Thread expiry = new Thread(this::expire, "leases");
        expiry.setDaemon(true);
        expiry.start();
    }

    InetSocketAddress address() {
        return server.getAddress();
    }

    /** Writes an item as the operator or a replica does. */
    synchronized long put(String key, String json) {
        return write(key, Base64.getEncoder().encodeToString(json.getBytes(StandardCharsets.UTF_8)), 0);
    }

    synchronized void remove(String key) {
        if (items.remove(key) == null) return;
        revision++;
        Map<String, Object> event = new LinkedHashMap<>();
        event.put("key", key);
        event.put("revision", revision);
        event.put("deleted", true);
        history.add(event);
        notifyAll();
    }

    synchronized int count(String prefix) {
        return (int) items.keySet().stream().filter(key -> key.startsWith(prefix)).count();
    }

    synchronized Copy copy() {
        Copy copy = new Copy();
        items.forEach((key, item) -> copy.items.put(key, item.clone()));
        leases.forEach((id, lease) -> copy.leases.put(id, lease.clone()));
        copy.revision = revision;
        return copy;
    }

    /** Leaves all calls without an answer until [restore]. */
    synchronized void goAway() {
        isAway = true;
        notifyAll();
    }

    /** Returns from [copy], in the next era; leases run from now. */
    synchronized void restore(Copy copy) {
        long now = System.nanoTime() / 1_000_000;
        items.clear();
        copy.items.forEach((key, item) -> items.put(key, item.clone()));
        leases.clear();
        copy.leases.forEach((id, lease) -> leases.put(id, new long[] {now + lease[1], lease[1]}));
        history.clear();
        revision = copy.revision;
        firstRevision = revision;
        watchedFrom = 0;
        era++;
        isAway = false;
        notifyAll();
    }

    private synchronized long eraNow() {
        return era;
    }

    synchronized long revision() {
        return revision;
    }

    /** Waits until a watch continues from [revision] or a later one, whose caller has seen all changes up to it. */
    synchronized void awaitWatchFrom(long wanted, long limitMillis) throws InterruptedException {
        long end = System.nanoTime() / 1_000_000 + limitMillis;
        while (watchedFrom < wanted) {
            long left = end - System.nanoTime() / 1_000_000;
            if (left <= 0) throw new IllegalStateException("no watch has continued from revision " + wanted);
            wait(left);
        }
    }

    private long write(String key, String value, long lease) {
        revision++;
        Item item = items.computeIfAbsent(key, any -> {
            Item created = new Item();
            created.created = revision;
            return created;
        });
        item.key = key;
        item.value = value;
        item.revision = revision;
        item.lease = lease;
        history.add(describe(item));
        notifyAll();
        return revision;
    }

    private static Map<String, Object> describe(Item item) {
        Map<String, Object> map = new LinkedHashMap<>();
        map.put("key", item.key);
        map.put("value", item.value);
        map.put("revision", item.revision);
        map.put("created", item.created);
        map.put("lease", item.lease);
        return map;
    }

    private synchronized void expire() {
        try {
            while (true) {
                wait(20);
                long now = System.nanoTime() / 1_000_000;
                for (Long lease : new ArrayList<>(leases.keySet())) {
                    if (leases.get(lease)[0] <= now) endLease(lease);
                }
            }
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        }
    }

    private void endLease(long lease) {
        leases.remove(lease);
        for (String key : new ArrayList<>(items.keySet())) if (items.get(key).lease == lease) remove(key);
    }

    /** Ends a call without an answer: nothing more comes on its connection, which stays open for a while. */
    private static void leaveUnanswered(HttpExchange exchange) {
        try {
            Thread.sleep(SILENCE_MILLIS);
        } catch (InterruptedException end) {
            Thread.currentThread().interrupt();
        }
        exchange.close();
    }

    private synchronized boolean isAway() {
        return isAway;
    }

    private void handle(HttpExchange exchange) throws IOException {
        byte[] body = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw != null) {
            for (String pair : raw.split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        if (isAway()) {
            leaveUnanswered(exchange);
            return;
        }
        Map<String, Object> answer = new LinkedHashMap<>();
        int status = 500;
        try {
            status = answer(exchange.getRequestMethod() + " " + exchange.getRequestURI().getPath(), query, body, answer);
        } catch (InterruptedException | RuntimeException failure) {
            answer.put("error", String.valueOf(failure));
        }
        if (status == NO_ANSWER) {
            leaveUnanswered(exchange);
            return;
        }
        byte[] bytes = Json.write(answer).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Store-Era", "" + eraNow());
        exchange.sendResponseHeaders(status, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    @SuppressWarnings("unchecked")
    private synchronized int answer(String call, Map<String, String> query, byte[] body, Map<String, Object> answer)
        throws InterruptedException {
        long now = System.nanoTime() / 1_000_000;
        String prefix = query.getOrDefault("prefix", "");
        if (call.equals("GET /kv-key")) {
            Item item = items.get(query.get("key"));
            if (item == null) return 404;
            answer.putAll(describe(item));
            answer.put("storeRevision", revision);
            return 200;
        }
        if (call.equals("GET /kv-range")) {
            List<Object> found = new ArrayList<>();
            String after = query.get("after");
            for (Item item : items.values()) {
                if (item.key.startsWith(prefix) && (after == null || item.key.compareTo(after) > 0)) found.add(describe(item));
            }
            answer.put("items", found);
            answer.put("hasMore", false);
            answer.put("storeRevision", revision);
            return 200;
        }
        if (call.equals("GET /kv-watch")) {
            long after = Long.parseLong(query.get("after"));
            long end = now + Long.parseLong(query.get("waitMs"));
            if (after > revision || after < firstRevision) return 410;
            watchedFrom = Math.max(watchedFrom, after);
            notifyAll();
            long startedEra = era;
            List<Object> events = new ArrayList<>();
            while (true) {
                for (Map<String, Object> event : history) {
                    if ((Long) event.get("revision") > after && ((String) event.get("key")).startsWith(prefix)) events.add(event);
                }
                long left = end - System.nanoTime() / 1_000_000;
                if (isAway) return NO_ANSWER;
                if (era != startedEra) return 410;
                if (!events.isEmpty() || left <= 0) break;
                wait(left);
            }
            answer.put("events", events);
            answer.put("storeRevision", revision);
            return 200;
        }
        if (call.equals("POST /kv-txn")) {
            Map<String, Object> write = Json.object(body);
            boolean holds = true;
            List<Object> current = new ArrayList<>();
            for (Object row : (List<Object>) write.getOrDefault("expected", List.of())) {
                Map<String, Object> condition = (Map<String, Object>) row;
                Item item = items.get((String) condition.get("key"));
                if (item != null) current.add(describe(item));
                if ((item == null ? 0 : item.revision) != (Long) condition.get("revision")) holds = false;
            }
            if (!holds) {
                answer.put("items", current);
                return 412;
            }
            List<Object> puts = (List<Object>) write.getOrDefault("puts", List.of());
            for (Object put : puts) {
                long lease = (Long) ((Map<String, Object>) put).getOrDefault("lease", 0L);
                if (lease != 0 && !leases.containsKey(lease)) return 404;
            }
            for (Object put : puts) {
                Map<String, Object> fields = (Map<String, Object>) put;
                write((String) fields.get("key"), (String) fields.get("value"), (Long) fields.getOrDefault("lease", 0L));
            }
            for (Object key : (List<Object>) write.getOrDefault("remove", List.of())) remove((String) key);
            answer.put("revision", revision);
            return 200;
        }
        if (call.equals("POST /kv-lease")) {
            long ttl = (Long) Json.object(body).get("ttlMs");
            leases.put(++lastLease, new long[] {now + ttl, ttl});
            answer.put("lease", lastLease);
            answer.put("ttlMs", ttl);
            return 200;
        }
        if (call.startsWith("POST /kv-keep/")) {
            long[] lease = leases.get(Long.parseLong(call.substring(14)));
            if (lease == null) return 404;
            lease[0] = now + lease[1];
            answer.put("ttlMs", lease[1]);
            return 200;
        }
        if (call.startsWith("DELETE /kv-lease-end/")) {
            endLease(Long.parseLong(call.substring(21)));
            return 200;
        }
        return 404;
    }
}
