package org.acaciafold.bench.load;

import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/**
 * What consumers got, by the rules with which the users count.
 *
 * <p>A job that completes within its stretch of work and its target is worth all, within three times that a fifth, later
 * nothing.
 */
final class LoadMeasures {
    /** The windows of which the worst counts, as the users have them. */
    private static final long WINDOW_MS = 2_000;

    private static final double LATE_SHARE = 0.2;
    private static final int LATE_FACTOR = 3;
    private static final long MAX_WAIT_MS = 600_000;
    private static final int SIGNIFICANT_DIGITS = 2;

    private final Map<Long, double[]> windows = new TreeMap<>();
    private final Map<String, double[]> classes = new TreeMap<>();
    private final Histogram firstStarts = new Histogram(MAX_WAIT_MS, SIGNIFICANT_DIGITS);
    private double usedCpuMs;
    private double wastedCpuMs;

    /** Notes a job that came. */
    void submitted(String jobClass, long submittedAtMs, double value) {
        window(submittedAtMs)[1] += value;
        ofClass(jobClass)[1] += value;
    }

    /** Notes a job that has completed. */
    void completed(String jobClass, long submittedAtMs, long elapsedMs, double objectiveMs, double value) {
        double earned =
                elapsedMs <= objectiveMs ? value : elapsedMs <= LATE_FACTOR * objectiveMs ? LATE_SHARE * value : 0;
        window(submittedAtMs)[0] += earned;
        ofClass(jobClass)[0] += earned;
    }

    void recordFirstStart(long waitedMs) {
        firstStarts.recordValue(Math.clamp(waitedMs, 0, MAX_WAIT_MS));
    }

    /** Notes processor time that a run has taken, in thousandths of a processor times milliseconds. */
    void recordRun(double cpuMs, boolean useful) {
        usedCpuMs += cpuMs;
        wastedCpuMs += useful ? 0 : cpuMs;
    }

    /** Returns the worth earned against the worth owed. */
    double valueShare() {
        double earned =
                classes.values().stream().mapToDouble(totals -> totals[0]).sum();
        double submitted =
                classes.values().stream().mapToDouble(totals -> totals[1]).sum();
        return submitted == 0 ? 0 : earned / submitted;
    }

    double valueShare(String jobClass) {
        double[] totals = ofClass(jobClass);
        return totals[1] == 0 ? 0 : totals[0] / totals[1];
    }

    /** Returns the same of the two seconds in which it was least. */
    double worstWindowValueShare() {
        return windows.values().stream()
                .filter(window -> window[1] > 0)
                .mapToDouble(window -> window[0] / window[1])
                .min()
                .orElse(0);
    }

    /** Returns the wait for the first start, in milliseconds, that a share of jobs stayed below. */
    double firstStartMs(double percentile) {
        return firstStarts.getValueAtPercentile(percentile);
    }

    /** Returns the share of processor time that went into runs without a result. */
    double wastedShare() {
        return usedCpuMs == 0 ? 0 : wastedCpuMs / usedCpuMs;
    }

    private double[] window(long atMs) {
        return windows.computeIfAbsent(atMs / WINDOW_MS, key -> new double[2]);
    }

    private double[] ofClass(String jobClass) {
        return classes.computeIfAbsent(jobClass, key -> new double[2]);
    }
}
