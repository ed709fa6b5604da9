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

/** Passes connections on to another port, until they are cut. */
final class TcpRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 8_192;

    private final ServerSocket listener;
    private final InetSocketAddress target;
    private final Set<Socket> open = ConcurrentHashMap.newKeySet();
    private volatile boolean cut;

    private TcpRelay(ServerSocket listener, InetSocketAddress target) {
        this.listener = listener;
        this.target = target;
    }

    static TcpRelay start(String target) throws IOException {
        String[] parts = target.split(":");
        TcpRelay relay = new TcpRelay(
                new ServerSocket(0, 50, InetAddress.getLoopbackAddress()),
                new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
        Thread.ofVirtual().start(relay::accept);
        return relay;
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        listener.close();
        cut(true);
    }

    /** Closes all connections and refuses new ones while cut. */
    void cut(boolean value) throws IOException {
        cut = value;
        if (value) {
            for (Socket socket : open) {
                socket.close();
            }
        }
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

    private void connect(Socket caller) throws IOException {
        if (cut) {
            caller.close();
            return;
        }
        Socket called = new Socket();
        open.add(caller);
        open.add(called);
        try {
            called.connect(target);
        } catch (IOException e) {
            caller.close();
            throw e;
        }
        Thread.ofVirtual().start(() -> pass(caller, called));
        Thread.ofVirtual().start(() -> pass(called, caller));
    }

    private void pass(Socket from, Socket to) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
                out.write(buffer, 0, read);
            }
        } catch (IOException e) {
            // one side has closed
        } finally {
            open.remove(from);
            open.remove(to);
        }
    }
}
