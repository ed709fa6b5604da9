package org.acaciafold.fleet;

import java.util.Objects;
import java.util.Optional;

/**
 * A queue of jobs: the host name and path under which clients reach it, and the settings for its jobs.
 *
 * @param name the name of the queue
 * @param host the host name in clients' requests
 * @param pathPrefix the prefix of the request paths that belong to the queue
 * @param service the service whose workers run the tasks of the queue
 * @param priority the priority; 0 is the highest
 * @param maxAttempts the number of failed runs of a task at which its job fails
 * @param stretch the factor by which a job's critical path is multiplied to get the time within which the job has its
 *     full value
 * @param targetLatencyMs the latency added to that time, in milliseconds
 * @param advice the settings of placement advice; empty when the queue does not use it
 * @param open true when requests need no API key
 */
public record Route(
        String name,
        String host,
        String pathPrefix,
        String service,
        int priority,
        int maxAttempts,
        double stretch,
        long targetLatencyMs,
        Optional<AdviceSettings> advice,
        boolean open) {
    /** Rejects missing components. */
    public Route {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(pathPrefix, "pathPrefix");
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(advice, "advice");
    }
}
