package org.acaciafold.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.StepSpec;

/**
 * A job with what its consumer does not say.
 *
 * @param job as it is submitted, with estimates that are off
 * @param jobs its kind
 * @param cameAtMs when it came, on the simulated clock
 * @param workMs how long a task of each step really takes
 * @param worth what it is worth in time
 */
record SimulatedJob(Job job, JobClass jobs, long cameAtMs, List<Long> workMs, double worth) {
    /** Sizes spread about their means by this much, as a part of them. */
    private static final double SPREAD = 0.5;

    private static final double MAX_FACTOR = 3;
    private static final double ESTIMATE_OFF = 0.4;
    private static final double FIXED_WORTH = 0.3;
    private static final double MAX_WORTH = 4;

    /** Draws a job. */
    static SimulatedJob draw(JobClass jobs, String id, String workspace, long nowMs, long wallMs, Random random) {
        int steps = Math.clamp(Math.round(around(jobs.meanSteps(), random)), 1, 3);
        List<StepSpec> specs = new ArrayList<>();
        List<Long> work = new ArrayList<>();
        double coreMs = 0;
        for (int step = 0; step < steps; step++) {
            long workMs = Math.max(50, Math.round(around(jobs.meanWorkMs(), random)));
            int width = (int) Math.max(1, Math.round(around(jobs.meanWidth(), random)));
            long cpu = Math.max(100, Math.round(around(jobs.meanCpuMillis(), random)));
            double off = 1 + ESTIMATE_OFF * (2 * random.nextDouble() - 1);
            specs.add(StepSpec.builder()
                    .count(width)
                    .each(Resources.of(cpu, Math.max(64, Math.round(around(jobs.meanMemoryMib(), random))), 0))
                    .estimateMs(Math.round(workMs * off))
                    .after(step == 0 ? List.of() : List.of(step - 1))
                    .gang(random.nextDouble() < jobs.gang())
                    .build());
            work.add(workMs);
            coreMs += (double) workMs * width * cpu;
        }
        Job job = new Job(id, jobs.route(), workspace, "work", specs, 0, 0, 0, wallMs);
        double mean = jobs.meanSteps() * jobs.meanWidth() * jobs.meanWorkMs() * jobs.meanCpuMillis();
        double size = FIXED_WORTH + (1 - FIXED_WORTH) * coreMs / mean;
        return new SimulatedJob(job, jobs, nowMs, List.copyOf(work), jobs.worth() * Math.min(MAX_WORTH, size));
    }

    /** Returns the time within which it is worth all, in milliseconds. */
    double objectiveMs() {
        // steps follow each other, so the chain is all of them; a call for advice comes before each
        double adviceMs = workMs.size() * jobs.advice().callMs(30);
        return jobs.stretch() * (workMs.stream().mapToLong(Long::longValue).sum() + adviceMs) + jobs.targetMs();
    }

    private static double around(double mean, Random random) {
        return mean * Math.clamp(1 + SPREAD * random.nextGaussian(), 0.1, MAX_FACTOR);
    }
}
