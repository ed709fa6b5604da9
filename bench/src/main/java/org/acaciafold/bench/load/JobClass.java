package org.acaciafold.bench.load;

import java.util.Optional;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Route;

/**
 * Jobs of one kind, as the users' sheets describe them.
 *
 * @param name its name, which is also its queue's
 * @param priority 0 comes first
 * @param jobsPerSecond how many jobs come
 * @param meanSteps the mean number of steps
 * @param meanWidth the mean number of tasks of a step
 * @param meanWorkMs the mean work of a task in milliseconds
 * @param meanCpuMillis what a task takes on average, in thousandths of a processor
 * @param meanMemoryMib what a task takes on average
 * @param gangShare the share of steps whose tasks work only together
 * @param stretch how often its work fits into the time in which a job is worth its full value
 * @param targetMs what is added to that time
 * @param failureRate the share of runs that fail
 * @param meanValue what a job of mean size is worth
 * @param advice the terms of placement advice
 * @param allowedShare the share of workers that advice allows
 */
record JobClass(
        String name,
        int priority,
        double jobsPerSecond,
        double meanSteps,
        double meanWidth,
        double meanWorkMs,
        double meanCpuMillis,
        double meanMemoryMib,
        double gangShare,
        double stretch,
        long targetMs,
        double failureRate,
        double meanValue,
        AdviceSettings advice,
        double allowedShare) {
    private static final int MAX_ATTEMPTS = 4;

    Route route() {
        return new Route(
                name,
                "jobs.example",
                "/" + name + "/",
                "service",
                priority,
                MAX_ATTEMPTS,
                stretch,
                targetMs,
                Optional.of(advice),
                false);
    }
}
