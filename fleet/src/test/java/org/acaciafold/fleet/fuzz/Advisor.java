package org.acaciafold.fleet.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.acaciafold.fleet.Grant;
import org.acaciafold.fleet.StepName;

/** Fake placement advice: tickets expire, and the workers allowed for a step change only with another policy. */
final class Advisor {
    /** The policy that holds when no fault changes it. */
    static final long LASTING_POLICY = 0;

    private static final int PERCENT = 100;

    private final int allowedPercent;
    private final Map<Key, Ticket> tickets = new HashMap<>();
    private final Map<String, Long> busyUntilMs = new HashMap<>();
    /** Any policy but the lasting one denies half of the workers that this one allows. */
    long policy = LASTING_POLICY;

    Advisor(int allowedPercent) {
        this.allowedPercent = allowedPercent;
    }

    /** Returns whether the queue's policy lets a worker run a step. */
    boolean allows(StepName step, String worker) {
        boolean deniedNow = policy != LASTING_POLICY && (policy + worker + step).hashCode() % 2 == 0;
        return Math.floorMod((step + worker).hashCode() * 31 >> 4, PERCENT) < allowedPercent && !deniedNow;
    }

    /** Returns when a call is answered: the service handles the calls of one host in turn. */
    long answersAtMs(String host, long callMs, long nowMs) {
        long answerMs = Math.max(nowMs, busyUntilMs.getOrDefault(host, 0L)) + callMs;
        busyUntilMs.put(host, answerMs);
        return answerMs;
    }

    List<Grant> grant(StepName step, List<FakeWorker> workers, long expiresAtMs) {
        List<Grant> grants = new ArrayList<>();
        for (FakeWorker worker : workers) {
            if (allows(step, worker.id)) {
                tickets.put(new Key(step, worker.id), new Ticket(expiresAtMs, worker.startedAtMs));
                grants.add(new Grant(worker.id, "ticket"));
            }
        }
        return grants;
    }

    boolean valid(StepName step, FakeWorker worker, long nowMs) {
        Ticket ticket = tickets.get(new Key(step, worker.id));
        return ticket != null && nowMs < ticket.expiresAtMs && ticket.incarnation == worker.startedAtMs;
    }

    private record Key(StepName step, String worker) {}

    private record Ticket(long expiresAtMs, long incarnation) {}
}
