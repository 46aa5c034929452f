import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** A model engine that holds one model. It loads and unloads adapters at once and remembers the orders that reached it. */
final class Engine {
    /** An order that reached the engine. */
    record Order(long millis, String holder, long token, String text, int status) {
    }

    static final String MODEL = "m1";
    final Replica replica;
    final List<Order> orders = new ArrayList<>();
    private final Record record;
    private final Set<String> adapters = new LinkedHashSet<>();
    private long accepted;

    Engine(String id, String zone, String host, Record record) throws IOException {
        this.record = record;
        replica = new Replica(id, "llm", zone, host, null);
        replica.behaviour = (request, socket, out) -> {
            if (request.path().equals("/report")) {
                json(out, 200, "{\"stage\":\"both\",\"models\":" + models() + ",\"busy\":false,\"sequence\":" + accepted()
                    + ",\"born\":" + replica.born + ",\"queueDepth\":0,\"activeRequests\":0,\"kvUsed\":0,\"kvTotal\":137551,\"handles\":0}");
            } else if (request.path().equals("/order")) {
                json(out, order(Json.object(request.body)), "{}");
            } else {
                serve(request, out);
            }
            return true;
        };
    }

    String entry() {
        return "{\"service\":\"llm\",\"address\":\"" + replica.addressText() + "\",\"zone\":\"" + replica.zone
            + "\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"stage\":\"both\",\"models\":"
            + models() + ",\"born\":" + replica.born + ",\"sequence\":1}";
    }

    private synchronized String models() {
        StringBuilder names = new StringBuilder();
        for (String adapter : adapters) names.append(names.isEmpty() ? "" : ",").append('"').append(adapter).append('"');
        return "[{\"name\":\"" + MODEL + "\",\"version\":1,\"adapters\":[" + names + "]}]";
    }

    private synchronized long accepted() {
        return accepted;
    }

    private synchronized int order(Map<String, Object> body) {
        String adapter = (String) body.get("adapter");
        boolean isLoad = "load".equals(body.get("operation"));
        Object expected = body.get("expected");
        int status;
        if (expected != null && (Long) expected != accepted) {
            status = 409;
        } else if (isLoad == adapters.contains(adapter)) {
            status = 200;
        } else {
            if (isLoad) adapters.add(adapter); else adapters.remove(adapter);
            accepted++;
            status = isLoad ? 202 : 200;
        }
        Order order = new Order(record.millis(), (String) body.get("holder"), (Long) body.get("fencingToken"),
            body.get("operation") + " " + body.get("model") + "/" + adapter, status);
        orders.add(order);
        record.line("%s gets an order of %s, token %d: %s -> %d", replica.id, order.holder, order.token, order.text, status);
        return status;
    }

    private void serve(Message request, OutputStream out) throws IOException, InterruptedException {
        String[] own = replica.identity(request);
        String[] model = request.header("Model").split("/");
        boolean isHeld;
        synchronized (this) {
            isHeld = model[0].equals(MODEL) && (model.length == 1 || adapters.contains(model[1]));
        }
        if (!isHeld) {
            out.write(Replica.head(421, own[0], "Instance-Id: " + replica.id, "Content-Length: 0"));
            out.flush();
            return;
        }
        out.write(Replica.head(200, own[0], own[1], "Content-Type: text/event-stream", "Transfer-Encoding: chunked"));
        for (int i = 1; i <= 5; i++) {
            byte[] event = ("id: " + i + "\ndata: token\n\n").getBytes(StandardCharsets.US_ASCII);
            out.write((Integer.toHexString(event.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
            out.write(event);
            out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
            out.flush();
            Thread.sleep(20);
        }
        out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    private static void json(OutputStream out, int status, String text) throws IOException {
        byte[] body = text.getBytes(StandardCharsets.UTF_8);
        out.write(Replica.head(status, "Content-Type: application/json", "Content-Length: " + body.length));
        out.write(body);
        out.flush();
    }
}
