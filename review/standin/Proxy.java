package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Relays the connections of peers to a host. While one host is isolated, its connections are reset and new ones are closed;
 * those between other hosts go on. A host tells its name in the first bytes that it sends.
 */
final class Proxy implements AutoCloseable {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final String host;
    /** The open connections, with what their senders said first. */
    private final Map<Socket, String> senders = new ConcurrentHashMap<>();
    private volatile String isolated = "";

    Proxy(String host, int targetPort) throws IOException {
        this.host = host;
        target = new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort);
        listener = new ServerSocket(0, 256, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Cuts one host off from all others; an empty name for none. */
    void isolate(String name) throws IOException {
        isolated = name;
        for (Map.Entry<Socket, String> sender : senders.entrySet()) {
            if (cut(sender.getValue())) {
                sender.getKey().close();
            }
        }
    }

    private boolean cut(String greeting) {
        return !isolated.isEmpty() && (host.equals(isolated) || greeting.contains(isolated));
    }

    private void accept() {
        try {
            while (true) {
                Socket near = listener.accept();
                Thread.ofVirtual().start(() -> relay(near));
            }
        } catch (IOException e) {
            // the listener is closed
        }
    }

    private void relay(Socket near) {
        try (near; Socket far = new Socket()) {
            near.setTcpNoDelay(true);
            far.setTcpNoDelay(true);
            byte[] first = new byte[16_384];
            int read = near.getInputStream().read(first);
            if (read < 0) {
                return;
            }
            String greeting = new String(first, 0, read, StandardCharsets.ISO_8859_1);
            senders.put(near, greeting);
            if (cut(greeting)) {
                return;
            }
            far.connect(target);
            far.getOutputStream().write(first, 0, read);
            Thread back = Thread.ofVirtual().start(() -> pump(far, near));
            pump(near, far);
            back.join();
        } catch (IOException | InterruptedException e) {
            // one of the ends has closed the connection
        } finally {
            senders.remove(near);
        }
    }

    private static void pump(Socket from, Socket to) {
        byte[] buffer = new byte[16_384];
        try (from; to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                out.write(buffer, 0, read);
            }
        } catch (IOException e) {
            // one of the ends has closed the connection
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket sender : senders.keySet()) {
            sender.close();
        }
    }
}
