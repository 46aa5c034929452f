package review;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Forwards connections; while it is cut, bytes and new connections are held up, and go on when it has healed. A connection
 * that was opened during the cut and given up before its end was never established, so nothing of it arrives.
 */
final class Proxy implements AutoCloseable {
    private final ServerSocket listening;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    private volatile boolean closed;

    Proxy(InetSocketAddress address, InetSocketAddress to) throws IOException {
        listening = new ServerSocket();
        listening.setReuseAddress(true);
        listening.bind(address, 512);
        Http.thread("proxy", () -> {
            while (!closed) {
                Socket socket = listening.accept();
                sockets.add(socket);
                Http.thread("proxied", () -> {
                    byte[] early = new byte[0];
                    if (cut) {
                        awaitPath();
                        early = readOpen(socket);
                        if (early == null) {
                            socket.close();
                            return;
                        }
                    }
                    Socket target = new Socket();
                    sockets.add(target);
                    target.connect(to);
                    target.setTcpNoDelay(true);
                    socket.setTcpNoDelay(true);
                    Http.thread("back", () -> copy(target, socket));
                    target.getOutputStream().write(early);
                    copy(socket, target);
                });
            }
        });
    }

    void cut() {
        cut = true;
    }

    synchronized void heal() {
        cut = false;
        notifyAll();
    }

    private synchronized void awaitPath() throws InterruptedException {
        while (cut) wait();
    }

    /** Returns what has arrived on [socket], or null when its client has ended it. */
    private static byte[] readOpen(Socket socket) throws IOException {
        ByteArrayOutputStream arrived = new ByteArrayOutputStream();
        byte[] buffer = new byte[16_384];
        socket.setSoTimeout(1);
        try {
            while (true) {
                int count = socket.getInputStream().read(buffer);
                if (count < 0) return null;
                arrived.write(buffer, 0, count);
            }
        } catch (SocketTimeoutException open) {
            socket.setSoTimeout(0);
            return arrived.toByteArray();
        } catch (IOException reset) {
            return null;
        }
    }

    private void copy(Socket from, Socket to) throws Exception {
        byte[] buffer = new byte[16_384];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                awaitPath();
                out.write(buffer, 0, count);
                out.flush();
            }
            awaitPath();
        } finally {
            sockets.remove(from);
            sockets.remove(to);
        }
    }

    @Override
    public void close() throws IOException {
        closed = true;
        listening.close();
        for (Socket socket : sockets) socket.close();
    }
}
