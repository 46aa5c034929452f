import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One connection of a client. */
final class Caller implements AutoCloseable {
    final Socket socket = new Socket();
    private final BufferedInputStream in;
    private final OutputStream out;

    Caller(InetSocketAddress address, int timeoutMillis) throws IOException {
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(timeoutMillis);
        socket.connect(address, 1_000);
        in = new BufferedInputStream(socket.getInputStream());
        out = socket.getOutputStream();
    }

    void send(String method, String path, String host, byte[] body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        if (body.length > 0 || method.equals("POST")) head.append("Content-Length: ").append(body.length).append("\r\n");
        out.write(head.append("\r\n").toString().getBytes(StandardCharsets.US_ASCII));
        out.write(body);
        out.flush();
    }

    /** Reads one answer; null when the connection ends without one. */
    Message read() throws IOException {
        Message answer = Message.readHead(in);
        if (answer != null) answer.readBody(in, true);
        return answer;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
