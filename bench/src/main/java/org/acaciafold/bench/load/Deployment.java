package org.acaciafold.bench.load;

import java.util.List;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.AdviceSettings;

/**
 * A simulated deployment and the jobs that its workspaces submit.
 *
 * @param name the name
 * @param hosts the number of entry hosts that make calls for placement advice
 * @param workers the number of workers
 * @param workersPerRack the number of workers that share a rack
 * @param capacity the capacity of each worker
 * @param workspaces the number of workspaces that submit jobs
 * @param classes the classes of jobs
 */
record Deployment(
        String name,
        int hosts,
        int workers,
        int workersPerRack,
        Resources capacity,
        int workspaces,
        List<JobClass> classes) {
    /** The number of failure domains in every deployment. */
    static final int DOMAINS = 3;

    private static final Resources CAPACITY = Resources.of(32_000, 131_072, 0);
    private static final long TICKET_MS = 2_500;

    /** Returns a deployment of the size in use today. */
    static Deployment small() {
        return new Deployment(
                "small",
                8,
                33,
                8,
                CAPACITY,
                6,
                List.of(
                        nightly(1.15, 5, new AdviceSettings(640, 6.5, TICKET_MS)),
                        pricing(3.05, 10, 1_800, new AdviceSettings(260, 3, TICKET_MS)),
                        holds(21.6, 2.2, 2_600, new AdviceSettings(15, 0.3, TICKET_MS))));
    }

    /** Returns a deployment with about seven times the workers of {@link #small()}. */
    static Deployment grown() {
        return new Deployment(
                "grown",
                29,
                245,
                8,
                CAPACITY,
                20,
                List.of(
                        nightly(3.4, 13, new AdviceSettings(380, 5.5, TICKET_MS)),
                        pricing(5.02, 25, 3_200, new AdviceSettings(120, 1.8, TICKET_MS)),
                        holds(56.2, 3.2, 4_500, new AdviceSettings(11, 0.16, TICKET_MS))));
    }

    private static JobClass nightly(double perSecond, double width, AdviceSettings advice) {
        return new JobClass(
                "nightly", 1, perSecond, 1.2, width, 6_200, 9_000, 33_000, 1, 2.2, 1_000, 0.05, 8, advice, 0.35);
    }

    private static JobClass pricing(double perSecond, double width, double cpu, AdviceSettings advice) {
        return new JobClass(
                "pricing", 2, perSecond, 1.5, width, 3_400, cpu, 12_000, 0, 4, 3_000, 0.005, 2.5, advice, 0.45);
    }

    private static JobClass holds(double perSecond, double width, double cpu, AdviceSettings advice) {
        return new JobClass(
                "holds", 0, perSecond, 1, width, 1_000, cpu, 13_000, 0.3, 1.5, 250, 0.02, 0.42, advice, 0.7);
    }
}
