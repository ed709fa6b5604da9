package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Compares new denials with what the registry showed of the denied workers around the call. */
final class DenialVerification {
    private static final Logger LOG = LoggerFactory.getLogger(DenialVerification.class);

    private final Tables tables;
    private final List<Answer> unverified = new ArrayList<>();
    private long lastReadAtMs = Long.MIN_VALUE;

    DenialVerification(Tables tables) {
        this.tables = tables;
    }

    /**
     * Adds the denials of an answer.
     *
     * @param step the step that the call was about
     * @param workers the workers that the answer lacks
     * @param askedAtMs when the call began
     */
    void answered(StepRow step, Set<String> workers, long askedAtMs) {
        if (!workers.isEmpty()) {
            unverified.add(new Answer(step, Set.copyOf(workers), askedAtMs, tables.nowMs));
        }
    }

    /** Verifies the denials of the answers that came before this read of the registry was requested. */
    void registryRead() {
        unverified.removeIf(answer -> {
            boolean due = answer.answeredAtMs <= lastReadAtMs;
            if (due) {
                verify(answer);
            }
            return due;
        });
        lastReadAtMs = tables.nowMs;
    }

    private void verify(Answer answer) {
        Map<String, Denial> denied = answer.step.denied;
        int doubtful = 0;
        for (String id : answer.workers) {
            Denial denial = denied.get(id);
            if (denial != null && denial.answeredAtMs() == answer.answeredAtMs) {
                WorkerRow worker = tables.workers.get(id);
                boolean listed = worker != null && worker.presence.settledAt(answer.askedAtMs);
                denied.put(id, denial.verified(listed));
                doubtful += listed ? 0 : 1;
            }
        }
        if (doubtful > 0) {
            answer.step.reviewAfterMs = tables.nowMs;
            LOG.info(
                    "denials doubtful step={} denied={} doubtful={} askedAgoMs={}",
                    answer.step.name(),
                    answer.workers.size(),
                    doubtful,
                    tables.nowMs - answer.askedAtMs);
        }
    }

    private record Answer(StepRow step, Set<String> workers, long askedAtMs, long answeredAtMs) {}
}
