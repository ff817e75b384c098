package lab;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;

/**
 * A TCP proxy in front of a worker that can be cut: then it carries nothing in either direction.
 * Connections that were open or opened during a cut carry nothing after it either; they are reset
 * as soon as their peer sends on them, as those of a worker that has restarted are.
 */
public final class Proxy {

    private final ServerSocket listener;
    private final int targetPort;
    private final List<Link> links = new CopyOnWriteArrayList<>();
    private volatile boolean cut;
    private volatile Consumer<String> onHeld = text -> {};

    private static final class Link {
        private final Socket near;
        private Socket far;
        private volatile boolean stale;

        private Link(Socket near) {
            this.near = near;
        }
    }

    public Proxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        Store.daemon(this::accept).start();
    }

    public int port() {
        return listener.getLocalPort();
    }

    /** Is told the text of what arrives during a cut, and isn't carried. */
    public void onHeld(Consumer<String> newOnHeld) {
        onHeld = newOnHeld;
    }

    /** Carries nothing from now on. */
    public void cut() {
        cut = true;
        links.forEach(link -> link.stale = true);
    }

    /** Carries what is sent on new connections. */
    public void heal() {
        links.forEach(link -> link.stale = true);
        cut = false;
    }

    private void accept() {
        while (true) {
            try {
                Socket near = listener.accept();
                near.setTcpNoDelay(true);
                Link link = new Link(near);
                link.stale = cut;
                links.add(link);
                if (!link.stale) {
                    link.far = new Socket(InetAddress.getLoopbackAddress(), targetPort);
                    link.far.setTcpNoDelay(true);
                    Store.daemon(() -> pump(link, link.far, link.near, false)).start();
                }
                Store.daemon(() -> pump(link, link.near, link.far, true)).start();
            } catch (IOException e) {
                // The worker isn't there; the connection that was accepted is closed.
                links.stream().filter(link -> link.far == null && !link.stale).forEach(this::close);
            }
        }
    }

    private void pump(Link link, Socket from, Socket to, boolean towardsWorker) {
        byte[] buffer = new byte[65536];
        try {
            InputStream in = from.getInputStream();
            while (true) {
                int count = in.read(buffer);
                if (count < 0) {
                    break;
                }
                if (link.stale) {
                    if (towardsWorker) {
                        onHeld.accept(new String(buffer, 0, count, StandardCharsets.UTF_8));
                        if (!cut) {
                            break;
                        }
                    }
                    continue;
                }
                OutputStream out = to.getOutputStream();
                out.write(buffer, 0, count);
                out.flush();
            }
        } catch (IOException e) {
            // The other side has closed the connection.
        }
        if (!link.stale || towardsWorker) {
            close(link);
        }
    }

    private void close(Link link) {
        links.remove(link);
        for (Socket socket : new Socket[] {link.near, link.far}) {
            try {
                if (socket != null) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                }
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }
}
