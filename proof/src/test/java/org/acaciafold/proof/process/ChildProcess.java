package org.acaciafold.proof.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** A child process of a test that runs a Java program from the class path of the test. */
public final class ChildProcess implements AutoCloseable {
    private static final long STOP_LIMIT_S = 40;

    private final Process process;
    private final Path log;

    private ChildProcess(Process process, Path log) {
        this.process = process;
        this.log = log;
    }

    static ChildProcess start(String name, Path directory, List<String> jvmOptions, String... command)
            throws IOException {
        return start(name, directory, Map.of(), jvmOptions, command);
    }

    /** Starts a Java program with additional environment variables. */
    public static ChildProcess start(
            String name, Path directory, Map<String, String> environment, List<String> jvmOptions, String... command)
            throws IOException {
        Path log = directory.resolve(name + ".log");
        List<String> line = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "--enable-native-access=ALL-UNNAMED",
                "--sun-misc-unsafe-memory-access=allow"));
        line.addAll(jvmOptions);
        line.addAll(List.of("-cp", System.getProperty("java.class.path")));
        line.addAll(List.of(command));
        ProcessBuilder builder =
                new ProcessBuilder(line).redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment().putAll(environment);
        Process process = builder.start();
        // ends the child process when its parent exits
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return new ChildProcess(process, log);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    public String log() throws IOException {
        return Files.readString(log);
    }

    /** Sends a signal, for example STOP. */
    public void signal(String name) throws IOException, InterruptedException {
        Process kill = new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start();
        if (kill.waitFor() != 0) {
            throw new IOException("cannot send SIG" + name);
        }
    }

    /** Waits for the process to end and returns its exit code. */
    public int exitCode() throws IOException, InterruptedException {
        if (!process.waitFor(STOP_LIMIT_S, TimeUnit.SECONDS)) {
            throw new IOException("process did not end within " + STOP_LIMIT_S + " s:\n" + log());
        }
        return process.exitValue();
    }
}
