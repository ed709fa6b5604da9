package org.acaciafold.settings;

import java.nio.file.Path;
import java.util.stream.Stream;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

class HostSettingsReaderTest {
    private static final String HASH = "0123456789abcdef".repeat(4);
    private static final String VALID = """
            # an entry host
            [host]
            id = entry-1
            failure-domain = north

            [listen]
            callers = 127.0.0.1:8080
            operators = [::1]:8081
            peers = 127.0.0.1:8082

            [platform]
            address = 10.0.0.9:9000

            [cluster]
            secret = "a secret ; of some length"
            operator-key = root:00112233:%s

            [timing]
            heartbeat = 200ms
            control-lease = 2s

            [log]
            format = json

            [limits]
            max-body = 64KiB
            """.formatted(HASH);

    // -- read

    @Test
    void shouldReturnEveryValueWhenTheTextIsValid() throws Exception {
        HostSettings settings = HostSettingsReader.read("entry.ini", VALID);

        HostAddresses addresses = new HostAddresses("127.0.0.1:8080", "[::1]:8081", "127.0.0.1:8082", "10.0.0.9:9000");
        HostSettings expected = new HostSettings(
                HostId.of("entry-1"),
                DomainId.of("north"),
                addresses,
                "a secret ; of some length",
                new KeyHash("root", "00112233", HASH),
                new HostTimings(200, 2_000, 30_000, 1_000, 250),
                new ObservabilitySettings(true, TraceExport.NONE, ""),
                65_536);
        assertEquals(expected, settings);
    }

    static Stream<Arguments> invalidValues() {
        return Stream.of(
                arguments("id = entry-1", "id = entry 1", 3, "entry 1 is not a name"),
                arguments("id = entry-1", "name = entry-1", 3, "unknown name name in [host]"),
                arguments("id = entry-1", "", 2, "id: missing in [host]"),
                arguments("[host]", "[hots]", 2, "unknown section [hots]; did you mean host?"),
                arguments("[platform]", "[platform", 11, "not a line of the form [SECTION]"),
                arguments("callers = 127.0.0.1:8080", "callers = localhost:8080", 7, "not an IP number and a port"),
                arguments("callers = 127.0.0.1:8080", "callers = 127.1:8080", 7, "not an IP number and a port"),
                arguments("callers = 127.0.0.1:8080", "callers = 127.0.0.1:0", 7, "not an IP number and a port"),
                arguments("callers = 127.0.0.1:8080", "callers = 127.0.0.1:65536", 7, "not an IP number and a port"),
                arguments("callers = 127.0.0.1:8080", "callers = 127.0.0.1:8082", 9, "is used twice"),
                arguments("heartbeat = 200ms", "heartbeat = 200", 19, "like 500ms, 3s, 10min or 2h"),
                arguments("heartbeat = 200ms", "hartbeat = 200ms", 19, "did you mean heartbeat?"),
                arguments("heartbeat = 200ms", "heartbeat = 1ms", 19, "right is 10ms to 10s"),
                arguments("heartbeat = 200ms", "heartbeat = 1s", 20, "must be longer than 2 heartbeats, so above 2s"),
                arguments("control-lease = 2s", "control-lease = 12s", 18, "longer than 3 control leases"),
                arguments("control-lease = 2s", "call-timeout = 3s", 18, "longer than one call-timeout, so above 3s"),
                arguments("control-lease = 2s", "heartbeat = 2s", 20, "heartbeat stands twice in [timing]"),
                arguments("control-lease = 2s", "control-lease", 20, "not a line of the form NAME = VALUE"),
                arguments("format = json", "format = xml", 23, "xml is not one of json, text"),
                arguments("format = json", "format = json\n[trace]\nexport = otlp", 24, "otlp: missing in [trace]"),
                arguments("max-body = 64KiB", "max-body = 64", 26, "64KiB or 8MiB"),
                arguments("max-body = 64KiB", "max-body = 99999999999999999MiB", 26, "64KiB or 8MiB"),
                arguments("\"a secret ; of some length\"", "short", 15, "too short"),
                arguments("root:0011", "root:zz11", 16, "not of the form ID:SALT:HASH"));
    }

    @ParameterizedTest
    @MethodSource("invalidValues")
    void shouldReportFileLineAndValidFormWhenAValueIsInvalid(String valid, String invalid, int line, String message) {
        assertTrue(VALID.contains(valid));
        String text = VALID.replace(valid, invalid);

        SettingsException thrown =
                assertThrows(SettingsException.class, () -> HostSettingsReader.read("entry.ini", text));

        assertTrue(
                thrown.problems().stream()
                        .anyMatch(problem -> problem.file().equals("entry.ini")
                                && problem.line() == line
                                && problem.message().contains(message)),
                thrown::getMessage);
    }

    @Test
    void shouldReportEveryErrorAtOnceWhenThereAreSeveral() {
        String text = VALID.replace("200ms", "200").replace("64KiB", "64").replace("json", "xml");

        SettingsException thrown =
                assertThrows(SettingsException.class, () -> HostSettingsReader.read("entry.ini", text));

        assertEquals(3, thrown.problems().size());
    }

    @Test
    void shouldNotResolveVariablesWhenAValueHoldsThem() throws Exception {
        HostSettings settings =
                HostSettingsReader.read("entry.ini", VALID.replace("a secret ;", "${sys:java.version} ;"));

        assertEquals("${sys:java.version} ; of some length", settings.clusterSecret());
    }

    @Test
    void shouldNameTheFileWhenItDoesNotExist() {
        Path file = Path.of("no", "such", "file.ini");

        SettingsException thrown = assertThrows(SettingsException.class, () -> HostSettingsReader.read(file));

        assertEquals(file.toString(), thrown.problems().getFirst().file());
    }
}
