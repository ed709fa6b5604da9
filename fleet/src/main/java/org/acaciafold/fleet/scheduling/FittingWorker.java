package org.acaciafold.fleet.scheduling;

import java.util.Optional;

/** A registered worker that fits a task of a step when it is empty, and why it takes none now. */
final class FittingWorker {
    private final WorkerRow worker;
    private final UnusedReason reason;
    private final Optional<Ineligibility> ineligibility;
    private final Age denial;
    private final int vacancies;

    private FittingWorker(
            WorkerRow worker, UnusedReason reason, Optional<Ineligibility> ineligibility, Age denial, int vacancies) {
        this.worker = worker;
        this.reason = reason;
        this.ineligibility = ineligibility;
        this.denial = denial;
        this.vacancies = vacancies;
    }

    static FittingWorker of(StepRow step, WorkerRow worker, Tables tables) {
        FreeCapacity capacity = FreeCapacity.of(worker);
        Optional<Ineligibility> ineligibility = Eligibility.ineligibility(worker, tables);
        return new FittingWorker(
                worker,
                ineligibility.isPresent() ? UnusedReason.NOT_ELIGIBLE : reason(step, capacity, tables.nowMs),
                ineligibility,
                step.denial(worker)
                        .map(denial -> Age.since(denial.answeredAtMs(), tables.nowMs))
                        .orElse(Age.unknown()),
                Math.max(0, Placement.vacancies(step, capacity)));
    }

    /** Returns how long ago advice denied the worker; unknown when it did not. */
    Age denial() {
        return denial;
    }

    /** Returns the first condition of {@link Eligibility} that the worker does not meet. */
    Optional<Ineligibility> ineligibility() {
        return ineligibility;
    }

    UnusedReason reason() {
        return reason;
    }

    /** Returns how many tasks of the step have room there by the account of the worker, whatever keeps it out. */
    int vacancies() {
        return vacancies;
    }

    WorkerRow worker() {
        return worker;
    }

    private static UnusedReason reason(StepRow step, FreeCapacity capacity, long nowMs) {
        WorkerRow worker = capacity.worker;
        boolean advised = step.job.advice().isPresent();
        if (advised && step.denies(worker)) {
            return UnusedReason.DENIED;
        }
        if (!capacity.fits(step.spec.each())) {
            return UnusedReason.NO_ROOM;
        }
        if (Placement.vacancies(step, capacity) <= 0) {
            return UnusedReason.MAX_PER_WORKER;
        }
        if (!advised) {
            return UnusedReason.NONE;
        }
        Ticket ticket = step.tickets.get(worker.id);
        if (ticket != null && ticket.valid(nowMs, worker.incarnation)) {
            return UnusedReason.NONE;
        }
        return step.allows(worker) ? UnusedReason.NO_TICKET : UnusedReason.NOT_ASKED;
    }
}
