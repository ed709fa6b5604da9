package org.acaciafold.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;

/**
 * Reads the settings file of an entry host.
 *
 * <p>Example: {@code HostSettingsReader.read(Path.of("entry-1.ini"))}.
 */
public final class HostSettingsReader {
    private static final long MIN_HEARTBEAT_MS = 10;
    private static final long MAX_HEARTBEAT_MS = 10_000;
    private static final long MAX_LEASE_MS = 3_600_000;
    private static final long MAX_BODY_BYTES = 256L << 20;
    private static final int MIN_SECRET_LENGTH = 16;
    private static final int HEARTBEATS_PER_CONTROL_LEASE = 2;
    private static final int CONTROL_LEASES_PER_TASK_LEASE = 3;

    private HostSettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException if the file cannot be read or has errors
     */
    public static HostSettings read(Path file) throws SettingsException {
        try {
            return read(file.toString(), Files.readString(file));
        } catch (IOException e) {
            String message = "cannot be read: " + e;
            throw new SettingsException(file.toString(), List.of(new SettingsProblem(file.toString(), 0, message)));
        }
    }

    /**
     * Reads settings from a text.
     *
     * @param file the file name to report in errors
     * @param text the text in INI
     * @return the settings
     * @throws SettingsException if the text has errors
     */
    public static HostSettings read(String file, String text) throws SettingsException {
        List<SettingsProblem> problems = new ArrayList<>();
        IniText ini = IniText.parse(file, text, problems);
        SectionReader hostSection = ini.section("host");
        String host = hostSection.name("id");
        String domain = hostSection.name("failure-domain");
        HostAddresses addresses = addresses(ini);
        SectionReader cluster = ini.section("cluster");
        String secret = secret(cluster);
        KeyHash operatorKey = operatorKey(cluster);
        HostTimings timings = timings(ini.section("timing"));
        ObservabilitySettings observability = readObservability(ini);
        long maxBody = ini.section("limits").quantity("max-body", Quantity.SIZE, 1, MAX_BODY_BYTES, "8MiB");
        ini.finish();
        if (!problems.isEmpty()) {
            throw new SettingsException(file, problems);
        }
        return new HostSettings(
                HostId.of(host), DomainId.of(domain), addresses, secret, operatorKey, timings, observability, maxBody);
    }

    private static HostAddresses addresses(IniText ini) {
        SectionReader listen = ini.section("listen");
        HostAddresses addresses = new HostAddresses(
                listen.address("callers"),
                listen.address("operators"),
                listen.address("peers"),
                ini.section("platform").address("address"));
        TreeSet<String> used = new TreeSet<>();
        Map<String, String> listening =
                Map.of("callers", addresses.callers(), "operators", addresses.operators(), "peers", addresses.peers());
        for (String name : new TreeSet<>(listening.keySet())) {
            String address = listening.get(name);
            if (!address.isEmpty() && !used.add(address)) {
                listen.reportProblem(name, address + " is used twice; each listener needs a port of its own");
            }
        }
        return addresses;
    }

    private static ObservabilitySettings readObservability(IniText ini) {
        boolean json = ini.section("log").choice("format", Map.of("json", true, "text", false), "text");
        SectionReader trace = ini.section("trace");
        Map<String, TraceExport> exports =
                Map.of("none", TraceExport.NONE, "log", TraceExport.LOG, "otlp", TraceExport.OTLP);
        TraceExport export = trace.choice("export", exports, "none");
        boolean needsEndpoint =
                export == TraceExport.OTLP || !trace.text("otlp", "").isEmpty();
        return new ObservabilitySettings(json, export, needsEndpoint ? trace.address("otlp") : "");
    }

    private static KeyHash operatorKey(SectionReader cluster) {
        String text = cluster.text("operator-key");
        KeyHash none = new KeyHash("", "", "");
        if (text.isEmpty()) {
            return none;
        }
        return Keys.parseHash(text).orElseGet(() -> {
            cluster.reportProblem("operator-key", "not of the form ID:SALT:HASH; make one by: acaciafold key operator");
            return none;
        });
    }

    private static String secret(SectionReader cluster) {
        String secret = cluster.text("secret");
        if (!secret.isEmpty() && secret.length() < MIN_SECRET_LENGTH) {
            cluster.reportProblem("secret", "too short; use " + MIN_SECRET_LENGTH + " or more random characters");
        }
        return secret;
    }

    private static HostTimings timings(SectionReader timing) {
        long heartbeat = timing.quantity("heartbeat", Quantity.DURATION, MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS, "500ms");
        long controlLease = duration(timing, "control-lease", "3s");
        long taskLease = duration(timing, "task-lease", "30s");
        long callTimeout = duration(timing, "call-timeout", "1s");
        long clockMargin = duration(timing, "clock-margin", "250ms");
        requireLonger(timing, "control-lease", controlLease, HEARTBEATS_PER_CONTROL_LEASE * heartbeat, "2 heartbeats");
        requireLonger(
                timing, "task-lease", taskLease, CONTROL_LEASES_PER_TASK_LEASE * controlLease, "3 control leases");
        requireLonger(timing, "control-lease", controlLease, callTimeout, "one call-timeout");
        requireLonger(timing, "control-lease", controlLease, 2 * clockMargin, "2 clock margins");
        return new HostTimings(heartbeat, controlLease, taskLease, callTimeout, clockMargin);
    }

    private static long duration(SectionReader timing, String name, String fallback) {
        return timing.quantity(name, Quantity.DURATION, 1, MAX_LEASE_MS, fallback);
    }

    private static void requireLonger(SectionReader timing, String name, long actual, long bound, String boundName) {
        if (actual <= bound) {
            timing.reportProblem(
                    name,
                    Quantity.DURATION.format(actual) + " must be longer than " + boundName + ", so above "
                            + Quantity.DURATION.format(bound));
        }
    }
}
