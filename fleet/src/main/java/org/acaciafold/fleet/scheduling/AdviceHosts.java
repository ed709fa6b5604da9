package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The entry hosts that can make advice calls, and how their last calls ended. */
final class AdviceHosts {
    /** How long a host gets no further call after a call of it failed or was abandoned. */
    private static final long BACKOFF_MS = 1_000;

    /** How often that time is doubled at most after further failures, while other hosts can make calls. */
    private static final int MAX_DOUBLINGS = 2;

    private final List<String> names = new ArrayList<>();
    private final Map<String, Failures> failuresByHost = new HashMap<>();

    void set(List<String> hosts) {
        names.clear();
        names.addAll(hosts);
    }

    int count() {
        return names.size();
    }

    boolean contains(String host) {
        return names.contains(host);
    }

    void answered(String host) {
        failuresByHost.remove(host);
    }

    void failed(String host, long nowMs) {
        failuresByHost.compute(host, (name, before) -> new Failures(before == null ? 1 : before.count + 1, nowMs));
    }

    /** Returns the hosts that may make calls, those with the fewest failed calls in a row first. */
    Set<String> usable(long nowMs) {
        List<String> usable = new ArrayList<>(names);
        usable.removeIf(host -> nowMs < failures(host).repeatedBackoffEndsAtMs());
        if (usable.isEmpty()) {
            // calls of all hosts fail while the advice service is away, and its return must be noticed soon
            usable.addAll(names);
            usable.removeIf(host -> nowMs < failures(host).backoffEndsAtMs());
        }
        usable.sort(Comparator.comparingInt(host -> failures(host).count));
        return new LinkedHashSet<>(usable);
    }

    private Failures failures(String host) {
        return failuresByHost.getOrDefault(host, Failures.NONE);
    }

    /**
     * The failed or abandoned calls of a host since its last answer.
     *
     * @param count the number of the calls
     * @param lastAtMs when the last one ended
     */
    private record Failures(int count, long lastAtMs) {
        private static final Failures NONE = new Failures(0, Long.MIN_VALUE / 2);

        private long backoffEndsAtMs() {
            return lastAtMs + BACKOFF_MS;
        }

        private long repeatedBackoffEndsAtMs() {
            return lastAtMs + (BACKOFF_MS << Math.clamp(count - 1, 0, MAX_DOUBLINGS));
        }
    }
}
