package org.acaciafold.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Reads and checks the settings file of an entry host on the users' platform. */
public final class EntrySettingsReader {
    private static final int MIN_SECRET_LENGTH = 8;

    /** No time bound of the contract is longer than ten minutes. */
    private static final double MAX_BOUND_MS = 600_000;

    /** More processors than any machine has; a larger number is a typing error. */
    private static final double MAX_PROCESSORS = 4_096;

    private static final double MS_PER_S = 1_000;

    private EntrySettingsReader() {}

    /**
     * Reads a settings file.
     *
     * @param file the file
     * @return the settings
     * @throws SettingsException if the file cannot be read or is invalid
     */
    public static EntrySettings read(Path file) throws SettingsException {
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
     * @param text the settings in INI
     * @return the settings
     * @throws SettingsException if the text is invalid; it lists every error with its line
     */
    public static EntrySettings read(String file, String text) throws SettingsException {
        List<SettingsProblem> problems = new ArrayList<>();
        IniText ini = IniText.parse(file, text, problems);
        SectionReader host = ini.section("host");
        SectionReader listen = ini.section("listen");
        SectionReader platform = ini.section("platform");
        SectionReader cluster = ini.section("cluster");
        String secret = cluster.text("secret");
        if (!secret.isEmpty() && secret.length() < MIN_SECRET_LENGTH) {
            cluster.reportProblem("secret", "too short; use " + MIN_SECRET_LENGTH + " or more characters");
        }
        String peers = listen.address("peers");
        EntrySettings settings = new EntrySettings(
                host.name("id"),
                host.name("failure-domain"),
                host.number("processors", 0, MAX_PROCESSORS, "1"),
                listen.address("consumers"),
                listen.address("readiness"),
                listen.text("metrics", "").isEmpty() ? "" : listen.address("metrics"),
                peers,
                listen.text("advertised-peers", "").isEmpty() ? peers : listen.address("advertised-peers"),
                platform.address("store"),
                platform.text("advice", "").isEmpty() ? "" : platform.address("advice"),
                secret,
                bounds(ini.section("bounds")));
        ini.finish();
        if (!problems.isEmpty()) {
            throw new SettingsException(file, problems);
        }
        return settings;
    }

    private static EntryBounds bounds(SectionReader section) {
        return new EntryBounds(
                millis(section, "config-apply-ms", "2000"),
                millis(section, "lease-max-ms", "10000"),
                millis(section, "stop-ms", "400"),
                Math.round(MS_PER_S * section.number("grace-s", 0, MAX_BOUND_MS / MS_PER_S, "6")),
                section.share("limit-overage"));
    }

    private static long millis(SectionReader section, String name, String fallback) {
        return Math.round(section.number(name, 0, MAX_BOUND_MS, fallback));
    }
}
