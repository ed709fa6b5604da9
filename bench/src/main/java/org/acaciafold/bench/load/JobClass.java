package org.acaciafold.bench.load;

import java.util.Optional;

import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Route;

/**
 * A class of jobs with its arrival rate and mean sizes, as specified by the users.
 *
 * @param name the name of the class and of its queue
 * @param priority the priority; 0 is the highest
 * @param jobsPerSecond the number of jobs submitted per second
 * @param meanSteps the mean number of steps of a job
 * @param meanWidth the mean number of tasks of a step
 * @param meanWorkMs the mean run time of a task, in milliseconds
 * @param meanCpuMillis the mean processor demand of a task, in thousandths of a processor
 * @param meanMemoryMib the mean memory demand of a task, in MiB
 * @param gangShare the share of steps whose tasks form a gang
 * @param stretch the factor by which a job's work is multiplied to get the time within which the job has its full value
 * @param targetMs the time added to that, in milliseconds
 * @param failureRate the share of steps in which a run fails
 * @param meanValue the value of a job of mean size
 * @param advice the settings of placement advice
 * @param allowedShare the share of workers that placement advice allows
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
