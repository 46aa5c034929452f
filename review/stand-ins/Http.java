package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** A small HTTP/1.1 server with one thread for each connection, and the reading of messages. */
final class Http {
    private Http() {
    }

    /** Start line, headers and body of a request or response. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];

        /** False when the connection ended before the body was complete. */
        boolean whole = true;

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        /** Answers [request]; the connection is kept unless this throws. */
        void handle(Message request, Connection connection) throws Exception;
    }

    /** One connection of a server. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void answer(int status, Map<String, String> headers, byte[] body) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(body);
            out.write(all.toByteArray());
            out.flush();
        }

        void json(int status, Object body) throws IOException {
            answer(status, Map.of("Content-Type", "application/json"), Json.write(body).getBytes(StandardCharsets.UTF_8));
        }

        /** Begins a response whose body follows in chunks. */
        void startChunked(int status, Map<String, String> headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Transfer-Encoding: chunked\r\n\r\n");
            out.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void chunk(String text) throws IOException {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            all.write("\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.write(all.toByteArray());
            out.flush();
        }

        void endChunks() throws IOException {
            out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }
    }

    /** A listening server; [close] ends its connections too. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listening;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
        private volatile boolean closed;

        Server(InetSocketAddress address, Handler handler) throws IOException {
            listening = new ServerSocket();
            listening.setReuseAddress(true);
            listening.bind(address, 512);
            thread("accept " + address, () -> {
                while (!closed) {
                    Socket socket = listening.accept();
                    socket.setTcpNoDelay(true);
                    sockets.add(socket);
                    thread("connection", () -> serve(socket, handler));
                }
            });
        }

        private void serve(Socket socket, Handler handler) throws IOException {
            try (socket) {
                Connection connection = new Connection(socket);
                while (!closed) {
                    Message request = read(connection.in, false, "GET");
                    if (request == null) return;
                    handler.handle(request, connection);
                }
            } catch (Exception ended) {
                // The connection ends; the other side sees it.
            } finally {
                sockets.remove(socket);
            }
        }

        @Override
        public void close() throws IOException {
            closed = true;
            listening.close();
            for (Socket socket : sockets) socket.close();
        }
    }

    /** Reads one message; null when the connection ended before its first byte. */
    static Message read(InputStream in, boolean isResponse, String requestMethod) throws IOException {
        String start = line(in);
        if (start == null) return null;
        Message message = new Message();
        message.start = start;
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String length = message.headers.get("Content-Length");
        if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            try {
                while (true) {
                    String size = line(in);
                    if (size == null) throw new EOFException();
                    int count = Integer.parseInt(size.trim(), 16);
                    body.write(exactly(in, count));
                    line(in);
                    if (count == 0) break;
                }
            } catch (IOException ended) {
                message.whole = false;
            }
        } else if (length != null) {
            try {
                body.write(exactly(in, Integer.parseInt(length)));
            } catch (IOException ended) {
                message.whole = false;
            }
        } else if (isResponse && message.status() >= 200) {
            in.transferTo(body);
        }
        message.body = body.toByteArray();
        return message;
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) throw new EOFException();
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) return null;
            if (b != '\r') out.write(b);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Sends one request over a new connection and reads the response; null when there was none. */
    static Message exchange(InetSocketAddress to, String method, String path, Map<String, String> headers, byte[] body,
        int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(to, Math.min(timeoutMillis, 1_000));
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(encode(method, path, headers, body));
            socket.getOutputStream().flush();
            return read(new BufferedInputStream(socket.getInputStream()), true, method);
        } catch (IOException failed) {
            return null;
        }
    }

    static byte[] encode(String method, String path, Map<String, String> headers, byte[] body) {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
        headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        if (body.length > 0 || !method.equals("GET")) head.append("Content-Length: ").append(body.length).append("\r\n");
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(body);
        return all.toByteArray();
    }

    interface Action {
        void run() throws Exception;
    }

    static Thread thread(String name, Action action) {
        Thread thread = new Thread(null, () -> {
            try {
                action.run();
            } catch (Exception ended) {
                // Threads of stand-ins end with their sockets.
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Returns a port that is free at all of [hosts], for TCP and UDP. */
    static int freePort(List<String> hosts, int count) throws IOException {
        for (int attempt = 0; attempt < 200; attempt++) {
            int port = 20_000 + (int) (Math.random() * 12_000);
            List<AutoCloseable> taken = new ArrayList<>();
            boolean free = true;
            try {
                for (String host : hosts) {
                    for (int i = 0; i < count; i++) {
                        taken.add(new ServerSocket(port + i, 1, InetAddress.getByName(host)));
                        taken.add(new java.net.DatagramSocket(port + i, InetAddress.getByName(host)));
                    }
                }
            } catch (IOException inUse) {
                free = false;
            }
            for (AutoCloseable socket : taken) {
                try {
                    socket.close();
                } catch (Exception ignored) {
                    // Nothing to release.
                }
            }
            if (free) return port;
        }
        throw new IOException("no free ports");
    }
}
