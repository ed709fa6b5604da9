package org.acaciafold.entry;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.fleet.scheduling.Diagnosis;
import org.acaciafold.fleet.scheduling.Scheduler;

/** What the running term of this host believes, for operators; nothing while this host does not lead. */
final class LeaderView {
    private Optional<Diagnosis> diagnosis = Optional.empty();

    void begin(Scheduler scheduler) {
        diagnosis = Optional.of(Diagnosis.of(scheduler));
    }

    void end() {
        diagnosis = Optional.empty();
    }

    /** Returns whether a term runs on this host. */
    boolean leads() {
        return diagnosis.isPresent();
    }

    /** Returns the number of tasks that last and have been away for too long by the lease that holds them. */
    Map<String, Integer> away() {
        return diagnosis.map(Diagnosis::away).orElse(Map.of());
    }

    /** Describes a job; empty when this host does not lead or does not know the job. */
    Optional<List<String>> explain(String job) {
        return diagnosis.flatMap(known -> known.explain(job));
    }

    /** Returns the number of steps that stand beside free room by the reason why they wait. */
    Map<String, Integer> standing() {
        return diagnosis.map(Diagnosis::standing).orElse(Map.of());
    }
}
