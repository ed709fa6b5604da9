package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks again about denied workers, for steps that have nobody else to ask about, with calls that no other step needs.
 *
 * <p>No event has to come for this: each denial has an age at which it is due ({@link Denial}).
 */
final class DenialReview {
    private static final Logger LOG = LoggerFactory.getLogger(DenialReview.class);

    /** How soon a step is looked at again whose due denials are of workers without free capacity. */
    private static final long RETRY_MS = 200;

    private final Tables tables;
    private final AdviceSystem advice;
    private final List<Offer> offers = new ArrayList<>();

    DenialReview(Tables tables, AdviceSystem advice) {
        this.tables = tables;
        this.advice = advice;
    }

    /** Returns those denied workers that may be asked about again like workers that were never asked about. */
    List<FreeCapacity> doubtful(StepRow step, List<FreeCapacity> denied) {
        return denied.stream()
                .filter(capacity ->
                        step.denial(capacity.worker).filter(Denial::doubtful).isPresent())
                .filter(capacity -> capacity.worker.presence.settledAt(tables.nowMs))
                .toList();
    }

    /**
     * Considers a step in this tick that has no worker to ask about.
     *
     * @param step the step
     * @param denied the eligible workers that advice did not allow
     * @param mostIsUsed whether the step may wait for capacity that others use
     */
    void offer(StepRow step, List<FreeCapacity> denied, boolean mostIsUsed) {
        if (!denied.isEmpty() && tables.nowMs >= step.reviewAfterMs) {
            Offer offer = new Offer(step, denied, mostIsUsed && !step.spec.longRunning());
            if (step.spec.longRunning() && advice.canReview(step)) {
                // tasks that last are owed a place at any time, so their reviews do not wait for spare calls
                review(offer);
            } else {
                offers.add(offer);
            }
        }
    }

    /**
     * Requests reviews once all steps have requested what they need: those first whose denials were confirmed least, as
     * they are most likely wrong, then those that have waited longest.
     */
    void run() {
        offers.sort(
                Comparator.comparingInt(Offer::confirmations).thenComparingLong(offer -> offer.step.waitingSinceMs));
        for (Offer offer : offers) {
            if (advice.canReview(offer.step)) {
                review(offer);
            }
        }
        offers.clear();
    }

    private void review(Offer offer) {
        StepRow step = offer.step;
        List<FreeCapacity> due = new ArrayList<>();
        for (FreeCapacity capacity : offer.denied) {
            Denial denial = step.denial(capacity.worker).orElseThrow();
            long dueAtMs = offer.patient ? denial.answeredAtMs() + Denial.MAX_AGE_MS : denial.reviewAtMs();
            if (tables.nowMs >= dueAtMs && Placement.vacancies(step, capacity) > 0) {
                due.add(capacity);
            }
        }
        if (due.isEmpty()) {
            step.reviewAfterMs = tables.nowMs + RETRY_MS;
            return;
        }
        due.sort(Comparator.comparingLong(
                capacity -> step.denial(capacity.worker).orElseThrow().answeredAtMs()));
        long oldestMs = step.denial(due.getFirst().worker).orElseThrow().ageMs(tables.nowMs);
        List<String> workers = due.stream()
                .limit(AdviceQueryPlanner.MAX_WORKERS)
                .map(capacity -> capacity.worker.id)
                .toList();
        if (advice.requestReview(step, workers)) {
            LOG.info(
                    "denials reviewed step={} workers={} denied={} oldestMs={} waitedMs={}",
                    step.name(),
                    workers.size(),
                    offer.denied.size(),
                    oldestMs,
                    tables.nowMs - step.waitingSinceMs);
        }
    }

    /**
     * A step that has no worker to ask about.
     *
     * @param step the step
     * @param denied the eligible workers that advice did not allow
     * @param patient whether its denials are reviewed at their greatest age only
     */
    private record Offer(StepRow step, List<FreeCapacity> denied, boolean patient) {
        /** Returns how often that denial was confirmed that was confirmed least. */
        private int confirmations() {
            return denied.stream()
                    .mapToInt(capacity ->
                            step.denial(capacity.worker).orElseThrow().confirmations())
                    .min()
                    .orElse(0);
        }
    }
}
