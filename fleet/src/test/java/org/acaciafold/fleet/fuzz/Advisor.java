package org.acaciafold.fleet.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.StepName;

/** Fake placement advice: the workers allowed for a step never change, and tickets expire. */
final class Advisor {
    static final long VALID_MS = 2_500;

    /** Workers whose number is below this one may run every step, so that every step can complete. */
    private static final int ALWAYS_ALLOWED = 2;

    private final Map<Key, Long> expiresAtMs = new HashMap<>();

    List<Grant> grant(StepName step, List<String> workers, long nowMs) {
        List<Grant> grants = new ArrayList<>();
        for (String worker : workers) {
            boolean allowed =
                    Integer.parseInt(worker.substring(1)) < ALWAYS_ALLOWED || (step + worker).hashCode() % 2 == 0;
            if (allowed) {
                expiresAtMs.put(new Key(step, worker), nowMs + VALID_MS);
                grants.add(new Grant(worker, "ticket"));
            }
        }
        return grants;
    }

    boolean valid(StepName step, String worker, long nowMs) {
        return nowMs < expiresAtMs.getOrDefault(new Key(step, worker), 0L);
    }

    private record Key(StepName step, String worker) {}
}
