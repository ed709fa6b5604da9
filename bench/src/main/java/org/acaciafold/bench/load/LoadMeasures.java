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
    private static final long LONGEST_WAIT_MS = 600_000;
    private static final int DIGITS = 2;

    private final Map<Long, double[]> windows = new TreeMap<>();
    private final Map<String, double[]> classes = new TreeMap<>();
    private final Histogram firstStarts = new Histogram(LONGEST_WAIT_MS, DIGITS);
    private double usedCpuMs;
    private double wastedCpuMs;

    /** Notes a job that came. */
    void owed(String jobs, long cameAtMs, double worth) {
        window(cameAtMs)[1] += worth;
        ofClass(jobs)[1] += worth;
    }

    /** Notes a job that has completed. */
    void completed(String jobs, long cameAtMs, long tookMs, double objectiveMs, double worth) {
        double earned = tookMs <= objectiveMs ? worth : tookMs <= LATE_FACTOR * objectiveMs ? LATE_SHARE * worth : 0;
        window(cameAtMs)[0] += earned;
        ofClass(jobs)[0] += earned;
    }

    void firstStart(long waitedMs) {
        firstStarts.recordValue(Math.clamp(waitedMs, 0, LONGEST_WAIT_MS));
    }

    /** Notes processor time that a run has taken, in thousandths of a processor times milliseconds. */
    void ran(double cpuMs, boolean useful) {
        usedCpuMs += cpuMs;
        wastedCpuMs += useful ? 0 : cpuMs;
    }

    /** Returns the worth earned against the worth owed. */
    double worth() {
        double earned = classes.values().stream().mapToDouble(one -> one[0]).sum();
        double owed = classes.values().stream().mapToDouble(one -> one[1]).sum();
        return owed == 0 ? 0 : earned / owed;
    }

    double worth(String jobs) {
        double[] one = ofClass(jobs);
        return one[1] == 0 ? 0 : one[0] / one[1];
    }

    /** Returns the same of the two seconds in which it was least. */
    double worstWindow() {
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
    double wasted() {
        return usedCpuMs == 0 ? 0 : wastedCpuMs / usedCpuMs;
    }

    private double[] window(long atMs) {
        return windows.computeIfAbsent(atMs / WINDOW_MS, key -> new double[2]);
    }

    private double[] ofClass(String jobs) {
        return classes.computeIfAbsent(jobs, key -> new double[2]);
    }
}
