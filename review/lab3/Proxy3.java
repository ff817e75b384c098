import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A relay on loopback between one process and one server, which can make connections silent. */
final class Proxy3 {

    /** A packet's payload on an ordinary network, in bytes. */
    private static final int PACKET_BYTES = 1_448;

    /** One connection through the relay. */
    final class Link {
        private volatile boolean silent;
        private volatile String lastRequest = "";

        String lastRequest() {
            return lastRequest;
        }
    }

    /** Decides whether a connection goes silent after the first packet of this answer. */
    interface Silencer {
        boolean silences(Link link, byte[] bytes, int length);
    }

    private final int target;
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private volatile Silencer silencer = (link, bytes, length) -> false;

    Proxy3(int target) {
        this.target = target;
    }

    int start() throws IOException {
        ServerSocket server = new ServerSocket();
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
        Http3.daemon(
                () -> {
                    while (true) {
                        Socket near = server.accept();
                        Http3.daemon(() -> open(near));
                    }
                });
        return server.getLocalPort();
    }

    void setSilencer(Silencer next) {
        silencer = next;
    }

    private void open(Socket near) throws IOException {
        Socket far = new Socket();
        try {
            far.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), target));
        } catch (IOException e) {
            near.close();
            throw e;
        }
        near.setTcpNoDelay(true);
        far.setTcpNoDelay(true);
        Link link = new Link();
        links.add(link);
        Http3.daemon(() -> relay(link, near, far, true));
        Http3.daemon(() -> relay(link, far, near, false));
    }

    private void relay(Link link, Socket from, Socket to, boolean isRequest) throws IOException {
        byte[] buffer = new byte[65_536];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (link.silent) {
                    continue;
                }
                if (isRequest) {
                    String head = new String(buffer, 0, Math.min(read, 300), "ISO-8859-1");
                    if (head.matches("(?s)[A-Z]+ /.*")) {
                        link.lastRequest = head.lines().findFirst().orElse("");
                    }
                } else if (silencer.silences(link, buffer, read)) {
                    link.silent = true;
                    out.write(buffer, 0, Math.min(read, PACKET_BYTES));
                    out.flush();
                    continue;
                }
                out.write(buffer, 0, read);
                out.flush();
            }
        }
    }
}
