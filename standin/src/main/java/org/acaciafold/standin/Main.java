package org.acaciafold.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.AcaciafoldException;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import reactor.netty.DisposableServer;

/**
 * Entry point of {@code bin/standin}: {@code platform} and {@code worker} serve until the process is terminated,
 * {@code ports COUNT} prints free ports, {@code demo} calls the entry hosts that {@code bin/demo} has started.
 *
 * <p>Exit codes: 0 success, 1 incorrect answer in the demo, 2 invalid usage or settings, 3 port in use.
 */
public final class Main {
    private static final int EXIT_DEMO_FAILED = 1;
    private static final int EXIT_USAGE = 2;
    private static final int EXIT_PORT_IN_USE = 3;
    private static final String USAGE = "usage: standin platform|worker|demo --settings FILE, or standin ports COUNT";

    private Main() {}

    /**
     * Runs the command.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        try {
            run(arguments);
        } catch (AcaciafoldException e) {
            System.err.println("standin: " + e.getMessage());
            System.exit("port-in-use".equals(e.failure().code()) ? EXIT_PORT_IN_USE : EXIT_USAGE);
        } catch (ParseException | IOException | NumberFormatException e) {
            System.err.println("standin: " + e.getMessage());
            System.err.println(USAGE);
            System.exit(EXIT_USAGE);
        }
    }

    private static void run(String[] arguments) throws AcaciafoldException, ParseException, IOException {
        Options options = new Options().addOption("s", "settings", true, "the settings file");
        CommandLine line = new DefaultParser().parse(options, arguments);
        List<String> positional = line.getArgList();
        String role = positional.isEmpty() ? "" : positional.getFirst();
        if ("ports".equals(role) && positional.size() == 2) {
            printFreePorts(Integer.parseInt(positional.get(1)));
            return;
        }
        if (!line.hasOption("settings")) {
            throw new ParseException("--settings is missing");
        }
        Path file = Path.of(line.getOptionValue("settings"));
        if ("demo".equals(role)) {
            runDemo(file);
            return;
        }
        List<DisposableServer> servers =
                switch (role) {
                    case "platform" ->
                        List.of(PlatformServer.start(
                                StandinSettings.read(file, "platform"), StandinSettings.read(file, "hosts")));
                    case "worker" -> WorkerServer.start(StandinSettings.read(file, "worker"));
                    default -> throw new ParseException("unknown role " + role);
                };
        System.out.println("ready " + role + " " + Listener.address(servers.getFirst()));
        servers.getFirst().onDispose().block();
    }

    private static void runDemo(Path file) throws AcaciafoldException, IOException {
        try {
            int incorrect = Demo.run(StandinSettings.read(file, "demo"));
            System.out.println(incorrect == 0 ? "all answers were correct" : incorrect + " answers were incorrect");
            System.exit(incorrect == 0 ? 0 : EXIT_DEMO_FAILED);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            System.exit(EXIT_DEMO_FAILED);
        }
    }

    private static void printFreePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int index = 0; index < count; index++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            sockets.forEach(socket -> System.out.println(socket.getLocalPort()));
        } finally {
            for (ServerSocket socket : sockets) {
                socket.close();
            }
        }
    }
}
