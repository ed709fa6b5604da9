package org.acaciafold.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.acaciafold.core.model.Resources;

/** Reserves workers for the longest-waiting job of a set, so that smaller jobs do not starve it. */
final class ReservationSystem {
    private static final double RUN_TIME_QUANTILE = 0.9;
    private static final int CANDIDATES_PER_TASK = 4;
    private static final int MIN_CANDIDATES = 64;
    private static final long RETRY_MS = 1_000;
    private static final long MIN_RESERVATION_MS = 30_000;

    private static final long LARGE_TASK_WAIT_MS = 20_000;

    private final Tables tables;
    private final boolean enabled;
    private final Set<JobRow> waitingJobs;
    private JobRow active;

    /**
     * Creates a system that reserves capacity for one job of a set at a time.
     *
     * @param tables the tables
     * @param enabled whether the system reserves anything
     * @param waitingJobs the jobs that did not fit, the one that has waited longest first
     */
    ReservationSystem(Tables tables, boolean enabled, Set<JobRow> waitingJobs) {
        this.tables = tables;
        this.enabled = enabled;
        this.waitingJobs = waitingJobs;
    }

    /** A place for one task that becomes free at a time, and the free capacity of its worker at that time. */
    private record Place(WorkerRow worker, long fromMs, Resources free) {}

    void run(Tick tick) {
        if (!enabled || !tables.open) {
            return;
        }
        if (active != null
                && (active.reservedWorkers.isEmpty() || active.gang() && active.running > 0 || !active.schedulable())) {
            tables.releaseReservations(active);
            active = null;
        }
        Iterator<JobRow> waiting = waitingJobs.iterator();
        while (active == null && waiting.hasNext()) {
            JobRow job = waiting.next();
            if (!job.schedulable() || job.blockedSinceMs == 0 || job.gang() && job.running > 0) {
                waiting.remove();
            } else if (due(job, tick.nowMs)) {
                waiting.remove();
                reserve(job, tick.nowMs);
                return;
            }
        }
    }

    private static boolean due(JobRow job, long nowMs) {
        if (!job.gang()) {
            return nowMs >= Math.max(job.blockedSinceMs + LARGE_TASK_WAIT_MS, job.reserveAtMs);
        }
        return switch (job.workspace.quota.gang()) {
            case GangPolicy.Reserve reserve ->
                nowMs >= Math.max(job.blockedSinceMs + reserve.afterMs(), job.reserveAtMs);
            case GangPolicy.WhenFree free -> false;
        };
    }

    private void reserve(JobRow job, long nowMs) {
        int tasks = job.gang() ? job.waiting : 1;
        if (!job.workspace.allows(job.spec.demand().times(tasks))) {
            return;
        }
        List<Place> places = places(job, nowMs);
        if (places.size() < tasks) {
            job.reserveAtMs = nowMs + RETRY_MS;
            waitingJobs.add(job);
            return;
        }
        places.sort(Comparator.comparingLong(Place::fromMs));
        List<Place> chosen = places.subList(0, tasks);
        long startMs = chosen.getLast().fromMs();
        Map<WorkerRow, Resources> free = new HashMap<>();
        Map<WorkerRow, Resources> spare = new LinkedHashMap<>();
        for (Place place : chosen) {
            Resources before = spare.getOrDefault(place.worker(), Resources.empty());
            Resources taken = before.minus(job.spec.demand());
            spare.put(place.worker(), taken);
            free.put(place.worker(), place.free());
        }
        spare.forEach((worker, taken) ->
                tables.reserveWorker(worker, job, startMs, free.get(worker).plus(taken)));
        active = job;
        job.reservedUntilMs = nowMs + Math.max(MIN_RESERVATION_MS, 2 * (startMs - nowMs));
        tables.timers.add(job.reservedUntilMs, new TimedAction.ReleaseReservation(job, job.reservedUntilMs));
    }

    private List<Place> places(JobRow job, long nowMs) {
        int slots = tables.slots.size();
        int examined = Math.min(slots, Math.max(MIN_CANDIDATES, CANDIDATES_PER_TASK * job.waiting));
        int first = tables.random.nextInt(Math.max(1, slots));
        List<Place> places = new ArrayList<>();
        for (int i = 0; i < examined; i++) {
            WorkerRow worker = tables.slots.get((first + i) % slots);
            if (worker != null
                    && worker.usable()
                    && worker.trust == WorkerRow.Trust.TRUSTED
                    && worker.reservedFor == null) {
                addPlaces(places, worker, job, nowMs);
            }
        }
        return places;
    }

    /** Adds the places that become free on a worker as its tasks are expected to end. */
    private void addPlaces(List<Place> places, WorkerRow worker, JobRow job, long nowMs) {
        Resources demand = job.spec.demand();
        Resources free = worker.free;
        int count = TaskFit.count(free, demand);
        add(places, worker, count, nowMs, free);
        Map<AttemptRow, Long> ends = new HashMap<>();
        for (AttemptRow attempt : worker.attempts) {
            if (!attempt.task.job.service()) {
                ends.put(attempt, endMs(attempt, nowMs));
            }
        }
        List<AttemptRow> attempts = new ArrayList<>(ends.keySet());
        attempts.sort(Comparator.<AttemptRow>comparingLong(ends::get).thenComparing(attempt -> attempt.task.id()));
        for (AttemptRow attempt : attempts) {
            free = free.plus(attempt.demand);
            int more = TaskFit.count(free, demand);
            add(places, worker, more - count, ends.get(attempt), free);
            count = more;
        }
    }

    private static void add(List<Place> places, WorkerRow worker, int count, long fromMs, Resources free) {
        for (int i = 0; i < count; i++) {
            places.add(new Place(worker, fromMs, free));
        }
    }

    private long endMs(AttemptRow attempt, long nowMs) {
        long expected = tables.runTimes.expectedMs(attempt.task.job.spec, RUN_TIME_QUANTILE);
        long ran = nowMs - attempt.startedMs;
        return ran < expected ? attempt.startedMs + expected : nowMs + Math.max(1, ran / 2);
    }
}
