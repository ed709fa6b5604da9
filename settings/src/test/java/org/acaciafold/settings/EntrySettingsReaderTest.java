package org.acaciafold.settings;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EntrySettingsReaderTest {
    private static final String VALID = """
            [host]
            id = edge-1
            failure-domain = north
            [listen]
            consumers = 10.0.0.1:8183
            readiness = 10.0.0.1:8184
            peers = 10.0.0.1:7420
            [platform]
            store = 10.0.0.9:8182
            advice =
            [cluster]
            secret = deployment-at-10.0.0.9
            [bounds]
            config-apply-ms = 3000
            stop-ms = 200.5
            limit-overage = 0.1
            """;

    @Test
    void shouldReadAllSettings() throws SettingsException {
        EntrySettings settings = EntrySettingsReader.read("file", VALID);

        assertEquals("edge-1", settings.host());
        assertEquals("", settings.advice());
        assertEquals(new EntryBounds(3_000, 10_000, 201, 6_000, 0.1), settings.bounds());
    }

    /** Guards against a host that does not start because its deployment allows no overage, or tells none. */
    @ParameterizedTest
    @ValueSource(strings = {"", "limit-overage = 0"})
    void shouldReadThatNoWorkspaceMayExceedItsLimit(String line) throws SettingsException {
        EntrySettings settings = EntrySettingsReader.read("file", VALID.replace("limit-overage = 0.1", line));

        assertEquals(0, settings.bounds().limitOverage());
    }

    @ParameterizedTest
    @CsvSource({
        "id = edge-1, id = edge 1, id",
        "store = 10.0.0.9:8182, store = somewhere, store",
        "advice =, advice = somewhere, advice",
        "secret = deployment-at-10.0.0.9, secret = short, secret",
        "stop-ms = 200.5, stop-ms = soon, stop-ms",
        "limit-overage = 0.1, limit-overage = 1.5, limit-overage",
        "limit-overage = 0.1, limit-overage = -0.1, limit-overage",
        "limit-overage = 0.1, limit-overage = much, limit-overage",
        "stop-ms = 200.5, stopms = 200, stopms"
    })
    void shouldNameTheProblemWhenASettingIsInvalid(String valid, String invalid, String named) {
        SettingsException error = assertThrows(
                SettingsException.class, () -> EntrySettingsReader.read("file", VALID.replace(valid, invalid)));

        List<String> problems =
                error.problems().stream().map(SettingsProblem::toString).toList();
        assertTrue(problems.stream().anyMatch(problem -> problem.contains(named)), problems.toString());
    }
}
