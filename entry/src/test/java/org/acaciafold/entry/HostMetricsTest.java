package org.acaciafold.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.FleetSummary;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.JobState;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.StepSpec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HostMetricsTest {
    private static final long ACCEPTED_AT_MS = 1_700_000_000_000L;

    private final HostMetrics metrics = new HostMetrics();

    private static Job job() {
        Route route = new Route("holds", "h", "/", "catalogue", 0, 3, 2, 1_000, Optional.empty(), false);
        StepSpec step = StepSpec.builder().each(Resources.of(500, 1_000, 0)).build();
        return new Job("j1", route, "north", "spec", List.of(step), 0, 0, 0, ACCEPTED_AT_MS);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "acaciafold_requests_total{method=\"POST\",status=\"200\"} 2.0",
                "acaciafold_requests_total{method=\"POST\",status=\"503\"} 1.0",
                "acaciafold_request_seconds_count{method=\"POST\"} 3",
                "acaciafold_request_seconds_bucket{method=\"POST\",le=\"0.01\"} 2",
                "acaciafold_store_calls_total{call=\"read\",outcome=\"failed\"} 1.0",
                "acaciafold_orders_total{order=\"start\",outcome=\"NO_ROOM\"} 1.0",
                "acaciafold_advice_calls_total{outcome=\"answered\"} 1.0",
                "acaciafold_jobs_pending{queue=\"holds\"} 4.0",
                "acaciafold_steps_standing{reason=\"NO_CAPACITY\"} 2.0",
                "acaciafold_tasks_away{lease=\"STRAY\"} 3.0",
                "acaciafold_workers 33.0",
                "acaciafold_job_first_start_seconds_sum{queue=\"holds\"} 0.25",
                "acaciafold_jobs_ended_total{queue=\"holds\",state=\"COMPLETED\"} 1.0",
                "acaciafold_job_end_seconds_sum{queue=\"holds\"} 1.5"
            })
    void shouldReportWhatWasCounted(String line) {
        metrics.request("POST", 200, 4);
        metrics.request("POST", 200, 7);
        metrics.request("POST", 503, 40);
        metrics.storeCall("read", "failed", 1_000);
        metrics.order("start", "NO_ROOM", 3);
        metrics.advice(true, 600);
        metrics.pending(Map.of("holds", 4));
        metrics.standing(Map.of("NO_CAPACITY", 2));
        metrics.away(Map.of("STRAY", 3));
        metrics.fleet(new FleetSummary(33, 0, 10, 5, 1_000, 2_000));
        JobLatencyRecorder latencies = new JobLatencyRecorder(metrics);
        latencies.accepted(job());
        latencies.recordStates(Map.of("j1", JobState.RUNNING), ACCEPTED_AT_MS + 250);
        latencies.recordStates(Map.of("j1", JobState.COMPLETED), ACCEPTED_AT_MS + 1_500);

        assertTrue(metrics.scrape().lines().anyMatch(line::equals), metrics.scrape());
    }

    @Test
    void shouldRemoveTheQueuesOfAnEarlierTerm() {
        metrics.pending(Map.of("holds", 4));

        metrics.pending(Map.of());

        assertFalse(metrics.scrape().contains("queue=\"holds\""));
    }

    @Test
    void shouldRemoveTheReasonsForWhichNoStepStandsAnyMore() {
        metrics.standing(Map.of("NO_CAPACITY", 2));
        metrics.away(Map.of("STRAY", 3));

        metrics.standing(Map.of());

        assertFalse(metrics.scrape().contains("reason="));
    }
}
