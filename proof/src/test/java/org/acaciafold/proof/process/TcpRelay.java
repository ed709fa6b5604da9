package org.acaciafold.proof.process;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BooleanSupplier;

/** Forwards TCP connections to another port, and can close them or delay or hold back their data. */
public final class TcpRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;
    private static final long HOLD_POLL_MS = 5;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;
    private volatile boolean holdsRequests;
    private volatile boolean holdsAnswers;
    private volatile long delayMs;

    private TcpRelay(ServerSocket listener, InetSocketAddress target) {
        this.listener = listener;
        this.target = target;
    }

    /** Starts a relay that listens on a free loopback port and forwards to the target. */
    public static TcpRelay start(String target) throws IOException {
        String[] parts = target.split(":");
        TcpRelay relay = new TcpRelay(
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
                new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
        Thread.ofVirtual().start(relay::accept);
        return relay;
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        cut(true);
    }

    /** Closes all connections and rejects new ones until it is called with {@code false}. */
    public void cut(boolean value) throws IOException {
        cut = value;
        if (value) {
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    /** Holds back the data of requests, of answers, or of both, without losing any of it. */
    public void hold(boolean requests, boolean answers) {
        holdsRequests = requests;
        holdsAnswers = answers;
    }

    /** Forwards all data with a delay in milliseconds. */
    public void delay(long value) {
        delayMs = value;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                connect(listener.accept());
            } catch (IOException e) {
                // the listener was closed, or the target does not listen
            }
        }
    }

    private void connect(Socket client) throws IOException {
        if (cut) {
            client.close();
            return;
        }
        Socket server = new Socket();
        open.add(client);
        open.add(server);
        try {
            server.connect(target);
        } catch (IOException e) {
            client.close();
            throw e;
        }
        Thread.ofVirtual().start(() -> pass(client, server, () -> holdsRequests));
        Thread.ofVirtual().start(() -> pass(server, client, () -> holdsAnswers));
    }

    private void pass(Socket from, Socket to, BooleanSupplier held) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                if (delayMs > 0) {
                    Thread.sleep(delayMs);
                }
                while (held.getAsBoolean() && !to.isClosed()) {
                    Thread.sleep(HOLD_POLL_MS);
                }
                out.write(buffer, 0, read);
            }
        } catch (IOException e) {
            // one side has closed the connection
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(from);
            open.remove(to);
        }
    }
}
