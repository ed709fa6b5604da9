import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/** Forwards TCP connections on loopback, and breaks them: open ones fall silent, or all are reset while nobody listens. */
final class Proxy implements AutoCloseable {
    private final InetSocketAddress target;
    private final List<Link> links = new ArrayList<>();
    private final int port;
    private ServerSocket listener;
    private volatile boolean closed;

    Proxy(String target) throws IOException {
        int colon = target.lastIndexOf(':');
        this.target =
                new InetSocketAddress(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        this.port = listener.getLocalPort();
        accept(listener);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Open connections pass nothing any more and stay open; new ones work. Returns how many were open. */
    synchronized int silence() {
        links.removeIf(link -> link.ended);
        links.forEach(link -> link.silent = true);
        return links.size();
    }

    /** Closes the listening socket and all connections, as the end of the process behind it does. */
    synchronized void down() throws IOException {
        listener.close();
        links.forEach(Link::end);
        links.clear();
    }

    /** Listens again, at the same address. */
    synchronized void up() throws IOException {
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress("127.0.0.1", port), 256);
        accept(listener);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        down();
    }

    private void accept(ServerSocket socket) {
        Thread.ofVirtual().start(() -> {
            while (!closed) {
                try {
                    Socket from = socket.accept();
                    Socket to = new Socket();
                    to.connect(target, 1_000);
                    from.setTcpNoDelay(true);
                    to.setTcpNoDelay(true);
                    Link link = new Link(from, to);
                    synchronized (this) {
                        links.add(link);
                    }
                    Thread.ofVirtual().start(() -> link.copy(from, to));
                    Thread.ofVirtual().start(() -> link.copy(to, from));
                } catch (IOException e) {
                    return;
                }
            }
        });
    }

    private static final class Link {
        private final Socket from;
        private final Socket to;
        private volatile boolean silent;
        private volatile boolean ended;

        private Link(Socket from, Socket to) {
            this.from = from;
            this.to = to;
        }

        private void copy(Socket source, Socket sink) {
            byte[] buffer = new byte[16_384];
            try {
                InputStream in = source.getInputStream();
                OutputStream out = sink.getOutputStream();
                for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                    if (!silent) {
                        out.write(buffer, 0, read);
                    }
                }
            } catch (IOException e) {
                ended = true;
            }
            end();
        }

        private void end() {
            ended = true;
            for (Socket socket : List.of(from, to)) {
                try {
                    socket.close();
                } catch (IOException e) {
                    // the socket is closed already
                }
            }
        }
    }
}
