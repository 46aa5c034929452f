import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A replica of a service: serves one request at a time on each connection. */
final class Replica {
    /** Writes the answer to one request; the connection is kept when it returns true. */
    interface Behaviour {
        boolean answer(Message request, Socket socket, OutputStream out) throws IOException, InterruptedException;
    }

    final String id;
    final String service;
    final String zone;
    final long born = System.currentTimeMillis();
    private final ServerSocket listening;
    private final Map<Socket, Boolean> open = new ConcurrentHashMap<>();
    volatile Behaviour behaviour;
    private volatile boolean isDown;

    Replica(String id, String service, String zone, String host, Behaviour behaviour) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.behaviour = behaviour;
        listening = new ServerSocket(0, 200, InetAddress.getByName(host));
        daemon("replica " + id, this::accept);
    }

    InetSocketAddress address() {
        return (InetSocketAddress) listening.getLocalSocketAddress();
    }

    String addressText() {
        return address().getAddress().getHostAddress() + ":" + address().getPort();
    }

    /** The entry that a plain service's replica writes into the store. */
    String entry(int slots, String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + addressText() + "\",\"zone\":\"" + zone
            + "\",\"version\":\"v1\",\"slots\":" + slots + ",\"state\":\"" + state
            + "\",\"coldRemainingMs\":0,\"born\":" + born + ",\"sequence\":1}";
    }

    /** Ends all connections and accepts no more. */
    void crash() throws IOException {
        isDown = true;
        listening.close();
        for (Socket socket : open.keySet()) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    static byte[] head(int status, String... headers) {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + status + " X\r\n");
        for (String header : headers) text.append(header).append("\r\n");
        return text.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII);
    }

    /** The headers that every answer to [request] has. */
    String[] identity(Message request) {
        return new String[] {"Request-Id: " + request.header("Request-Id"), "Response-Signature: " + id + ".1.2.3"};
    }

    /** Writes a whole answer with a length. */
    void whole(Message request, OutputStream out, int status, byte[] body) throws IOException {
        String[] own = identity(request);
        out.write(head(status, own[0], own[1], "Content-Type: text/plain", "Content-Length: " + body.length));
        out.write(body);
        out.flush();
    }

    static void daemon(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!isDown) {
            try {
                Socket socket = listening.accept();
                socket.setTcpNoDelay(true);
                open.put(socket, true);
                daemon("connection of " + id, () -> serve(socket));
            } catch (IOException end) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedInputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
            OutputStream out = socket.getOutputStream();
            Message request;
            while ((request = Message.readHead(in)) != null) {
                request.readBody(in, false);
                String expected = request.header("Expected-Instance");
                if (expected != null && !expected.equals(id)) {
                    out.write(head(421, "Instance-Id: " + id, "Content-Length: 0"));
                } else if (!behaviour.answer(request, socket, out)) {
                    return;
                }
            }
        } catch (IOException | InterruptedException end) {
            // The caller has left.
        } finally {
            open.remove(socket);
        }
    }
}
