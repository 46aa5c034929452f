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
import java.util.TreeMap;

/** HTTP/1.1 over blocking sockets, as far as the stand-ins need it. */
final class Http {
    private Http() {}

    /** A request or an answer that was read as a whole. */
    static final class Message {
        String firstLine;
        final Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        byte[] body = new byte[0];
        boolean isComplete;

        String method() {
            return firstLine.split(" ")[0];
        }

        String path() {
            return firstLine.split(" ")[1];
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    interface Handler {
        void handle(Message request, Exchange exchange) throws Exception;
    }

    /** One connection of a server. */
    static final class Exchange {
        final Socket socket;
        final OutputStream out;

        Exchange(Socket socket) throws IOException {
            this.socket = socket;
            this.out = socket.getOutputStream();
        }

        void answer(int status, String contentType, String body, String... headers) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            for (int i = 0; i < headers.length; i += 2) head.append(headers[i] + ": " + headers[i + 1] + "\r\n");
            head.append("Content-Type: " + contentType + "\r\nContent-Length: " + bytes.length + "\r\n\r\n");
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
            all.write(bytes);
            out.write(all.toByteArray());
            out.flush();
        }

        void json(int status, Object body, String... headers) throws IOException {
            answer(status, "application/json", Json.write(body), headers);
        }

        void beginChunks(int status, String contentType, String... headers) throws IOException {
            StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
            for (int i = 0; i < headers.length; i += 2) head.append(headers[i] + ": " + headers[i + 1] + "\r\n");
            head.append("Content-Type: " + contentType + "\r\nTransfer-Encoding: chunked\r\n\r\n");
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

    /** A server with one thread a connection. */
    static final class Server implements AutoCloseable {
        final InetSocketAddress address;
        private final ServerSocket listener;
        private final Handler handler;
        private final List<Socket> sockets = new ArrayList<>();

        Server(String host, Handler handler) throws IOException {
            this(host, 0, handler);
        }

        Server(String host, int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(InetAddress.getByName(host), port), 512);
            address = (InetSocketAddress) listener.getLocalSocketAddress();
            daemon("server", this::accept);
        }

        String hostAndPort() {
            return address.getAddress().getHostAddress() + ":" + address.getPort();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    daemon("connection", () -> serve(socket));
                }
            } catch (IOException closed) {
                // The listener was closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 65_536);
                Exchange exchange = new Exchange(socket);
                while (true) {
                    Message request = readRequest(in);
                    if (request == null) return;
                    handler.handle(request, exchange);
                }
            } catch (Exception failure) {
                // The connection ended.
            } finally {
                synchronized (sockets) {
                    sockets.remove(socket);
                }
            }
        }

        /** Resets all open connections, as the end of the process would. */
        void resetConnections() {
            List<Socket> open;
            synchronized (sockets) {
                open = new ArrayList<>(sockets);
            }
            for (Socket socket : open) {
                try {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } catch (IOException closed) {
                    // The other side was faster.
                }
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
            resetConnections();
        }
    }

    static Thread daemon(String name, Runnable action) {
        Thread thread = new Thread(null, action, name, 262_144);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Reads a request, or returns null at the end of the connection. */
    static Message readRequest(InputStream in) throws IOException {
        Message message = readHead(in);
        if (message == null) return null;
        readSizedBody(in, message);
        message.isComplete = true;
        return message;
    }

    static Message readHead(InputStream in) throws IOException {
        String line = readLine(in);
        while (line != null && line.isEmpty()) line = readLine(in);
        if (line == null) return null;
        Message message = new Message();
        message.firstLine = line;
        while (true) {
            String field = readLine(in);
            if (field == null) throw new EOFException("the head ends early");
            if (field.isEmpty()) return message;
            int colon = field.indexOf(':');
            message.headers.put(field.substring(0, colon).trim(), field.substring(colon + 1).trim());
        }
    }

    static void readSizedBody(InputStream in, Message message) throws IOException {
        String length = message.headers.get("Content-Length");
        if (length != null) {
            message.body = in.readNBytes(Integer.parseInt(length));
            if (message.body.length < Integer.parseInt(length)) throw new EOFException("the body ends early");
        } else if ("chunked".equalsIgnoreCase(message.headers.get("Transfer-Encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) throw new EOFException("a chunk is missing");
                int size = Integer.parseInt(line.split(";")[0].trim(), 16);
                byte[] bytes = in.readNBytes(size);
                if (bytes.length < size) throw new EOFException("a chunk ends early");
                body.write(bytes);
                if (readLine(in) == null) throw new EOFException("the end of a chunk is missing");
                if (size == 0) break;
            }
            message.body = body.toByteArray();
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int read = in.read();
            if (read < 0) return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            if (read == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(read);
        }
    }
}
