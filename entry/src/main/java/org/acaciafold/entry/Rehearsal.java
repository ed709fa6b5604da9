package org.acaciafold.entry;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.settings.EntrySettings;
import org.acaciafold.settings.EntrySettingsReader;
import org.acaciafold.settings.SettingsException;

/** Starts and stops a host on loopback without a platform, so that the classes of a start are known. */
final class Rehearsal {
    private static final String SETTINGS = """
            [host]
            id = rehearsal
            failure-domain = rehearsal
            [listen]
            consumers = 127.0.0.1:%d
            readiness = 127.0.0.1:%d
            peers = 127.0.0.1:%d
            [platform]
            store = 127.0.0.1:%d
            advice = 127.0.0.1:%d
            [cluster]
            secret = rehearsal-of-a-start
            """;

    private static final int PORTS = 5;
    private static final long RUN_MS = 1_000;

    private Rehearsal() {}

    static void run() throws SettingsException, AcaciafoldException, InterruptedException, IOException {
        EntrySettings settings = EntrySettingsReader.read("rehearsal", SETTINGS.formatted(freePorts()));
        EntryHost host = EntryHost.start(settings);
        Thread.sleep(RUN_MS);
        host.stop();
    }

    /** Returns ports that nobody listens on, so that several builds may run on one machine. */
    private static Object[] freePorts() throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            Object[] ports = new Object[PORTS];
            for (int i = 0; i < PORTS; i++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                sockets.add(socket);
                ports[i] = socket.getLocalPort();
            }
            return ports;
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
