import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Map;

/** One HTTP/1.1 message as it was read from a connection. Names of headers are in lower case. */
final class Message {
    String firstLine = "";
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];

    /** True when the message has ended as its headers state. */
    boolean isWhole;

    String method() {
        return firstLine.split(" ")[0];
    }

    String path() {
        return firstLine.split(" ")[1];
    }

    int status() {
        return Integer.parseInt(firstLine.split(" ")[1]);
    }

    String header(String name) {
        return headers.get(name.toLowerCase());
    }

    /** Reads the head; null when the connection ends before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        Message message = new Message();
        String line = readLine(in);
        if (line == null) return null;
        message.firstLine = line;
        while (!(line = required(readLine(in))).isEmpty()) {
            int colon = line.indexOf(':');
            message.headers.put(line.substring(0, colon).trim().toLowerCase(), line.substring(colon + 1).trim());
        }
        return message;
    }

    /** Reads the body; an answer without a length ends with its connection. */
    void readBody(InputStream in, boolean isAnswer) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            if ("chunked".equalsIgnoreCase(header("transfer-encoding"))) {
                int size;
                while ((size = Integer.parseInt(required(readLine(in)).trim(), 16)) > 0) {
                    copy(in, out, size);
                    readLine(in);
                }
                readLine(in);
            } else if (header("content-length") != null) {
                copy(in, out, Integer.parseInt(header("content-length")));
            } else if (isAnswer) {
                in.transferTo(out);
            }
            isWhole = true;
        } finally {
            body = out.toByteArray();
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) >= 0) {
            if (next == '\n') return line.toString(java.nio.charset.StandardCharsets.ISO_8859_1).replace("\r", "");
            line.write(next);
        }
        if (line.size() > 0) throw new EOFException("the connection ended within a line");
        return null;
    }

    private static void copy(InputStream in, ByteArrayOutputStream out, int size) throws IOException {
        byte[] buffer = new byte[16_384];
        int left = size;
        while (left > 0) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) throw new EOFException("the connection ended within a body");
            out.write(buffer, 0, count);
            left -= count;
        }
    }

    private static String required(String line) throws EOFException {
        if (line == null) throw new EOFException("the connection ended within a message");
        return line;
    }
}
