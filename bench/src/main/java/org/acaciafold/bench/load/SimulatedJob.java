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
 * @param jobClass its kind
 * @param submittedAtMs when it came, on the simulated clock
 * @param workMs how long a task of each step really takes
 * @param value what it is worth in time
 */
record SimulatedJob(Job job, JobClass jobClass, long submittedAtMs, List<Long> workMs, double value) {
    /** Sizes spread about their means by this much, as a part of them. */
    private static final double RELATIVE_DEVIATION = 0.5;

    private static final double MAX_SIZE_FACTOR = 3;
    private static final double ESTIMATE_ERROR = 0.4;
    private static final double FIXED_VALUE_SHARE = 0.3;
    private static final double MAX_VALUE_FACTOR = 4;

    /** Draws a job. */
    static SimulatedJob draw(JobClass jobClass, String id, String workspace, long nowMs, long wallMs, Random random) {
        int steps = Math.clamp(Math.round(drawAround(jobClass.meanSteps(), random)), 1, 3);
        List<StepSpec> specs = new ArrayList<>();
        List<Long> work = new ArrayList<>();
        double coreMs = 0;
        for (int step = 0; step < steps; step++) {
            long workMs = Math.max(50, Math.round(drawAround(jobClass.meanWorkMs(), random)));
            int width = (int) Math.max(1, Math.round(drawAround(jobClass.meanWidth(), random)));
            long cpu = Math.max(100, Math.round(drawAround(jobClass.meanCpuMillis(), random)));
            double estimateFactor = 1 + ESTIMATE_ERROR * (2 * random.nextDouble() - 1);
            specs.add(StepSpec.builder()
                    .count(width)
                    .each(Resources.of(cpu, Math.max(64, Math.round(drawAround(jobClass.meanMemoryMib(), random))), 0))
                    .estimateMs(Math.round(workMs * estimateFactor))
                    .after(step == 0 ? List.of() : List.of(step - 1))
                    .gang(random.nextDouble() < jobClass.gangShare())
                    .build());
            work.add(workMs);
            coreMs += (double) workMs * width * cpu;
        }
        Job job = new Job(id, jobClass.route(), workspace, "work", specs, 0, 0, 0, wallMs);
        double mean = jobClass.meanSteps() * jobClass.meanWidth() * jobClass.meanWorkMs() * jobClass.meanCpuMillis();
        double size = FIXED_VALUE_SHARE + (1 - FIXED_VALUE_SHARE) * coreMs / mean;
        return new SimulatedJob(
                job, jobClass, nowMs, List.copyOf(work), jobClass.meanValue() * Math.min(MAX_VALUE_FACTOR, size));
    }

    /** Returns the time within which it is worth all, in milliseconds. */
    double objectiveMs() {
        // steps follow each other, so the chain is all of them; a call for advice comes before each
        double adviceMs = workMs.size() * jobClass.advice().callMs(30);
        return jobClass.stretch() * (workMs.stream().mapToLong(Long::longValue).sum() + adviceMs) + jobClass.targetMs();
    }

    private static double drawAround(double mean, Random random) {
        return mean * Math.clamp(1 + RELATIVE_DEVIATION * random.nextGaussian(), 0.1, MAX_SIZE_FACTOR);
    }
}
