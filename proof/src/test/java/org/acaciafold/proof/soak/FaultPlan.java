package org.acaciafold.proof.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;

/** The faults of a run, generated from its seed as overlapping series of the same fault. */
final class FaultPlan {
    private static final long FIRST_MS = 2_000;
    private static final long MEAN_GAP_MS = 1_800;
    private static final long MIN_LENGTH_MS = 200;

    /** Longer than the lease of a leader and shorter than the lease of a worker. */
    private static final long MAX_LENGTH_MS = 6_000;

    private static final long MAX_DELAY_MS = 400;
    private static final int MAX_SERIES = 3;

    private final Random random;
    private final int hosts;
    private final int workers;

    private FaultPlan(long seed, int hosts, int workers) {
        this.random = new Random(seed);
        this.hosts = hosts;
        this.workers = workers;
    }

    /** Returns the faults that begin within the given time, ordered by their start time. */
    static List<Entry> draw(long seed, int hosts, int workers, long lengthMs) {
        FaultPlan plan = new FaultPlan(seed, hosts, workers);
        List<Entry> entries = new ArrayList<>();
        for (long atMs = FIRST_MS; atMs < lengthMs; atMs += plan.between(0, 2 * MEAN_GAP_MS)) {
            Fault fault = plan.fault();
            long beginsAtMs = atMs;
            for (int series = 1 + plan.random.nextInt(MAX_SERIES); series > 0 && beginsAtMs < lengthMs; series--) {
                long endsAtMs = beginsAtMs + plan.between(MIN_LENGTH_MS, MAX_LENGTH_MS);
                entries.add(new Entry(beginsAtMs, endsAtMs, fault));
                beginsAtMs = endsAtMs + plan.between(0, MEAN_GAP_MS);
            }
        }
        entries.sort(Comparator.comparingLong(Entry::beginsAtMs));
        return entries;
    }

    private long between(long least, long most) {
        return least + random.nextLong(most - least);
    }

    private Fault fault() {
        int host = random.nextInt(hosts);
        return switch (random.nextInt(14)) {
            case 0, 1 -> new Fault.HostDown(host, Fault.Ending.KILL);
            case 2 -> new Fault.HostDown(host, Fault.Ending.TERM);
            case 3 -> new Fault.HostFrozen(host);
            case 4 -> new Fault.AllHostsDown();
            case 5 -> new Fault.HostReloads(host);
            case 6 -> new Fault.StoreSilent();
            case 7 -> new Fault.StoreSlow(between(1, MAX_DELAY_MS));
            case 8 -> new Fault.AnswersLost(1 + random.nextInt(5));
            case 9 -> new Fault.WorkerCrashed(random.nextInt(workers));
            default -> new Fault.LinkHarmed(host, pick(Fault.Link.values()), pick(Fault.Harm.values()));
        };
    }

    private <T> T pick(T[] values) {
        return values[random.nextInt(values.length)];
    }

    /**
     * A fault with its start and end time.
     *
     * @param beginsAtMs when it begins, in milliseconds after the start of the run
     * @param endsAtMs when it ends, in milliseconds after the start of the run
     * @param fault the fault
     */
    record Entry(long beginsAtMs, long endsAtMs, Fault fault) {}
}
