package org.acaciafold.cli;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.http.server.HttpServer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MetricsStatusTest {
    private static final String METRICS = """
            # TYPE acaciafold_leader gauge
            acaciafold_leader 1.0
            acaciafold_term 3.0
            acaciafold_lease_age_ms 120.0
            acaciafold_configuration_version 7.0
            acaciafold_configuration_age_ms 340.0
            acaciafold_jobs_known 12.0
            acaciafold_jobs_active 5.0
            acaciafold_jobs_pending{queue="nightly"} 2.0
            acaciafold_jobs_pending{queue="holds"} 1.0
            acaciafold_workers 33.0
            acaciafold_workers_silent 1.0
            acaciafold_runs 40.0
            acaciafold_cpu_used_millis 120500.0
            acaciafold_cpu_free_millis 900000.0
            acaciafold_log_lines_dropped_total 0.0
            jvm_threads 9.0
            """;

    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private DisposableServer host;

    private ExitCode status(String metrics, String... options) {
        host = HttpServer.create()
                .host("127.0.0.1")
                .port(0)
                .route(routes -> routes.get("/metrics", (request, response) -> response.sendString(Mono.just(metrics))))
                .bindNow();
        PrintStream stream = new PrintStream(out, true, StandardCharsets.UTF_8);
        String[] arguments = new String[options.length + 3];
        arguments[0] = "status";
        arguments[1] = "--metrics";
        arguments[2] = "127.0.0.1:" + host.port();
        System.arraycopy(options, 0, arguments, 3, options.length);
        return Main.of(Map.of(), new ByteArrayInputStream(new byte[0]), stream, stream)
                .run(arguments);
    }

    private String printed() {
        return out.toString(StandardCharsets.UTF_8);
    }

    @AfterEach
    void stop() {
        host.disposeNow();
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "leads term 3, lease renewed 120 ms ago",
                "configuration version 7, confirmed 340 ms ago",
                "jobs: 12 known, 5 active, 3 waiting for their first task",
                "workers: 33, of which 1 do not answer; 40 runs on 120.5 processors, 900.0 free",
                "log lines dropped: 0"
            })
    void shouldPrintTheSummaryLines(String line) {
        assertEquals(ExitCode.DONE, status(METRICS));

        assertTrue(printed().lines().anyMatch(line::equals), printed());
    }

    @Test
    void shouldPrintAllSamplesAsJson() {
        assertEquals(ExitCode.DONE, status(METRICS, "--output", "json"));

        assertTrue(printed().contains("\"acaciafold_term\":3.0"), printed());
        assertTrue(!printed().contains("jvm_threads"), printed());
    }

    @Test
    void shouldFailWhenThereAreNoEntryHostMetrics() {
        assertEquals(ExitCode.FAILED, status("jvm_threads 9.0\n"));
    }
}
