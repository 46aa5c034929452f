import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client with one kept connection. */
final class Client implements AutoCloseable {
    /** What became of a request: its status, or 0 with the reason why there is no complete answer. */
    record Result(int status, String text, Http.Message answer) {}

    private final Socket socket = new Socket();
    private final InputStream in;
    private final OutputStream out;

    Client(EntryVm vm) throws IOException {
        this(vm, 0);
    }

    /** Connects with a receive buffer of the given size, or with the usual one for 0. */
    Client(EntryVm vm, int receiveBufferBytes) throws IOException {
        if (receiveBufferBytes > 0) socket.setReceiveBufferSize(receiveBufferBytes);
        socket.connect(new InetSocketAddress(InetAddress.getByName(vm.host), vm.frontPort), 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    /** Sends a whole request. */
    void send(String method, String host, String path, String id, byte[] body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        head.append("Request-Id: " + id + "\r\n");
        for (int i = 0; i < headers.length; i += 2) head.append(headers[i] + ": " + headers[i + 1] + "\r\n");
        if (body.length > 0 || method.equals("POST")) head.append("Content-Length: " + body.length + "\r\n");
        head.append("\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.write(body);
        out.write(all.toByteArray());
        out.flush();
    }

    /** Waits for the answer, for at most the given time. */
    Result receive(int timeoutMillis) {
        try {
            socket.setSoTimeout(timeoutMillis);
            Http.Message answer = Http.readHead(in);
            if (answer == null) return new Result(0, "the connection ended without an answer", null);
            Http.readSizedBody(in, answer);
            return new Result(answer.status(), answer.text(), answer);
        } catch (IOException failure) {
            return new Result(0, failure.toString(), null);
        }
    }

    InputStream input() {
        return in;
    }

    Socket socket() {
        return socket;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
