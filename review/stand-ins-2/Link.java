import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A link to one address. It is cut at first, and connections through it are refused; [heal] ends that. */
final class Link {
    final InetSocketAddress address;
    private final InetSocketAddress target;

    Link(InetSocketAddress target) throws IOException {
        this.target = target;
        address = new InetSocketAddress("127.0.0.1", Vm.freePort("127.0.0.1"));
    }

    void heal() throws IOException {
        ServerSocket listening = new ServerSocket(address.getPort(), 100, InetAddress.getByName("127.0.0.1"));
        Replica.daemon("link", () -> {
            while (true) {
                try {
                    Socket near = listening.accept();
                    Socket far = new Socket();
                    far.connect(target, 500);
                    Replica.daemon("link out", () -> copy(near, far));
                    Replica.daemon("link in", () -> copy(far, near));
                } catch (IOException failure) {
                    return;
                }
            }
        });
    }

    private static void copy(Socket from, Socket to) {
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[16_384];
            int count;
            while ((count = in.read(buffer)) >= 0) {
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException end) {
            // One of the two sides has ended the connection.
        }
    }
}
