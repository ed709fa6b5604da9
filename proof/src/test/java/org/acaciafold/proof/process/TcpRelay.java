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

/** Passes connections on to another port, and cuts, delays or holds up what they carry. */
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

    /** Starts to listen on a free port of loopback. */
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

    /** Closes all connections and refuses new ones while cut. */
    public void cut(boolean value) throws IOException {
        cut = value;
        if (value) {
            for (Socket socket : open) {
                socket.close();
            }
        }
    }

    /** Holds back what callers send, what they are answered, or both; nothing of it is lost. */
    public void hold(boolean requests, boolean answers) {
        holdsRequests = requests;
        holdsAnswers = answers;
    }

    /** Passes everything on later, by so many milliseconds. */
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
            // one side has closed
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            open.remove(from);
            open.remove(to);
        }
    }
}
