package org.acaciafold.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.StepSpec;

/**
 * A job with properties that the client does not submit: the actual run times and the value.
 *
 * @param job the job as submitted, with inexact estimates
 * @param jobClass the class of the job
 * @param submittedAtMs the time of submission on the simulated clock
 * @param workMs the actual run time of a task of each step, in milliseconds
 * @param value the value of the job when it completes within its objective
 */
record SimulatedJob(Job job, JobClass jobClass, long submittedAtMs, List<Long> workMs, double value) {
    /** The standard deviation of sizes, relative to their mean. */
    private static final double RELATIVE_DEVIATION = 0.5;

    private static final double MAX_SIZE_FACTOR = 3;
    private static final double ESTIMATE_ERROR = 0.4;
    private static final double FIXED_VALUE_SHARE = 0.3;
    private static final double MAX_VALUE_FACTOR = 4;

    /** Draws a random job of a class. */
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

    /** Returns the time within which the job has its full value, in milliseconds. */
    double objectiveMs() {
        // steps run in sequence, so the critical path has all of them; a call for advice precedes each
        double adviceMs = workMs.size() * jobClass.advice().callMs(30);
        return jobClass.stretch() * (workMs.stream().mapToLong(Long::longValue).sum() + adviceMs) + jobClass.targetMs();
    }

    private static double drawAround(double mean, Random random) {
        return mean * Math.clamp(1 + RELATIVE_DEVIATION * random.nextGaussian(), 0.1, MAX_SIZE_FACTOR);
    }
}
