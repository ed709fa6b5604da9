package org.acaciafold.fleet.fuzz;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.StepSpec;
import org.acaciafold.fleet.WorkerEntry;

/** The simulated workers, what is registered of them, and which of them may get tasks. */
final class Fleet {
    static final String MAIN_SERVICE = "catalogue";
    static final String OTHER_SERVICE = "archive";

    /** Entries of silent workers are removed after three intervals of their heartbeats. */
    private static final long ENTRY_EXPIRY_MS = 3_000;

    /** These workers never leave for good, so that what they can hold can be done. */
    private static final int PERMANENT = 4;

    /** Leaders read the registry this often. */
    static final long READ_PERIOD_MS = 500;

    private static final int MOST_PERMANENT = 16;
    private static final int[] SIZES = {8_000, 16_000, 32_000, 64_000};
    private static final long MEMORY_PER_CPU_MILLI = 4;
    private static final long ACCELERATORS = 4;

    final Map<String, FakeWorker> workers = new TreeMap<>();
    final Set<String> evacuatedDomains = new HashSet<>();
    private final Map<String, Long> drainingSinceMs = new HashMap<>();
    private final Map<String, Long> lostAtMs = new HashMap<>();
    private final Map<String, Long> hiddenUntilMs = new HashMap<>();
    private final Map<String, Long> garbledUntilMs = new HashMap<>();
    private final List<FakeWorker> permanent = new ArrayList<>();
    private final Timeline timeline;
    private final Advisor advisor;
    private long registryBackMs;
    private int created;

    Fleet(Timeline timeline, Advisor advisor) {
        this.timeline = timeline;
        this.advisor = advisor;
    }

    /** Adds the first workers, three of four to the larger service. */
    void addInitial(int count, Features features, Oracle oracle, Gangs gangs) {
        for (int i = 0; i < count; i++) {
            FakeWorker worker = add(i % 4 == 3 ? features.smallerService() : features.largerService(), oracle, gangs);
            if (i < (features.troubles() ? MOST_PERMANENT : PERMANENT)) {
                permanent.add(worker);
            }
        }
    }

    FakeWorker add(String service, Oracle oracle, Gangs gangs) {
        int number = created++;
        int rack = number % 4;
        Resources usual = resources(SIZES[timeline.between(number == 2 || number >= PERMANENT ? 0 : 1, 3)]);
        // every other worker has accelerators
        Resources capacity = Resources.of(usual.cpuMillis(), usual.memoryMib(), number % 2 * ACCELERATORS);
        FakeWorker.Shape shape = new FakeWorker.Shape(
                service, rack < 2 ? "domain-a" : "domain-b", "r" + rack, number % 3 == 1 ? "large" : "plain", capacity);
        FakeWorker worker =
                new FakeWorker("w" + number, shape, timeline.nowMs() - 1_000, oracle, gangs, advisor, timeline.random);
        workers.put(worker.id, worker);
        return worker;
    }

    long capacityMillis() {
        return capacityMillis(workers.values());
    }

    static long capacityMillis(Collection<FakeWorker> workers) {
        return workers.stream()
                .mapToLong(worker -> worker.shape.capacity().cpuMillis())
                .sum();
    }

    static Resources resources(long cpuMillis) {
        return Resources.of(cpuMillis, cpuMillis * MEMORY_PER_CPU_MILLI, 0);
    }

    FakeWorker drawn() {
        List<FakeWorker> all = new ArrayList<>(workers.values());
        return all.get(timeline.random.nextInt(all.size()));
    }

    /** Returns whether another worker answers where one was. */
    boolean anotherAnswers(String id, String address) {
        return workers.values().stream()
                .anyMatch(worker ->
                        !worker.id.equals(id) && worker.address.equals(address) && worker.up() && worker.reachable);
    }

    boolean permanent(FakeWorker worker) {
        return permanent.contains(worker);
    }

    List<FakeWorker> permanentOf(String service) {
        return permanent.stream()
                .filter(worker -> worker.shape.service().equals(service))
                .toList();
    }

    void lost(FakeWorker worker) {
        lostAtMs.put(worker.id, timeline.nowMs());
    }

    void hideUntil(FakeWorker worker, long untilMs) {
        hiddenUntilMs.put(worker.id, untilMs);
    }

    /** Makes the entry of a worker one that nobody can read until a time. */
    void garbleUntil(FakeWorker worker, long untilMs) {
        garbledUntilMs.put(worker.id, untilMs);
    }

    void drain(FakeWorker worker, boolean draining) {
        worker.draining = draining;
        if (draining) {
            long acceptedMs = timeline.nowMs() < registryBackMs ? registryBackMs + READ_PERIOD_MS : timeline.nowMs();
            drainingSinceMs.putIfAbsent(worker.id, acceptedMs);
        } else {
            drainingSinceMs.remove(worker.id);
        }
    }

    long drainingForMs(String worker) {
        return timeline.nowMs() - drainingSinceMs.getOrDefault(worker, timeline.nowMs());
    }

    void advance() {
        long nowMs = timeline.nowMs();
        for (FakeWorker worker : workers.values()) {
            worker.advance(nowMs);
        }
    }

    void heal() {
        workers.values().forEach(worker -> {
            worker.reachable = true;
            worker.unhealthy = false;
            drain(worker, false);
        });
        evacuatedDomains.clear();
        hiddenUntilMs.clear();
        garbledUntilMs.clear();
    }

    /** Delays what draining workers report until the registry can be written and read again. */
    void registryAwayUntil(long untilMs) {
        drainingSinceMs.replaceAll((id, since) -> Math.max(since, untilMs + READ_PERIOD_MS));
        registryBackMs = untilMs;
    }

    /** Returns the entries that a reader of the registry finds now. */
    List<WorkerEntry> registered() {
        return workers.values().stream()
                .filter(this::registered)
                .map(FakeWorker::entry)
                .toList();
    }

    /** Returns whether the registry has an entry of a worker now, which a reader may be unable to read. */
    boolean entered(FakeWorker worker) {
        long nowMs = timeline.nowMs();
        boolean expired = !worker.up() && nowMs - lostAtMs.getOrDefault(worker.id, nowMs) >= ENTRY_EXPIRY_MS;
        return !expired && nowMs >= hiddenUntilMs.getOrDefault(worker.id, 0L);
    }

    /** Returns whether a worker could be given tasks now. */
    boolean usable(FakeWorker worker) {
        return worker.up()
                && worker.reachable
                && !worker.draining
                && !worker.unhealthy
                && registered(worker)
                && !evacuatedDomains.contains(worker.shape.domain());
    }

    /** Returns whether a worker may run a step: its service, its label and the queue's policy allow it. */
    boolean allowed(FakeWorker worker, StepName name, StepSpec step, String service, boolean advised) {
        return worker.shape.service().equals(service)
                && (step.label().isEmpty() || worker.shape.label().equals(step.label()))
                && (!advised || advisor.allows(name, worker.id));
    }

    /** Returns how many more tasks of a step fit on a worker now. */
    static int vacancies(FakeWorker worker, StepName name, StepSpec step) {
        int fits = fits(worker.shape.capacity().minus(worker.used()), step.each());
        return step.maxPerWorker() == 0 ? fits : Math.min(fits, step.maxPerWorker() - worker.runsOf(name));
    }

    static int vacanciesWhenEmpty(FakeWorker worker, StepSpec step) {
        int fits = fits(worker.shape.capacity(), step.each());
        return step.maxPerWorker() == 0 ? fits : Math.min(fits, step.maxPerWorker());
    }

    /** Returns the share of a service's processors that is in use. */
    double usedShare(String service) {
        long used = 0;
        long total = 0;
        for (FakeWorker worker : workers.values()) {
            if (worker.up() && worker.shape.service().equals(service)) {
                used += worker.used().cpuMillis();
                total += worker.shape.capacity().cpuMillis();
            }
        }
        return total == 0 ? 1 : (double) used / total;
    }

    private static int fits(Resources free, Resources each) {
        long fits = Math.min(
                quotient(free.cpuMillis(), each.cpuMillis()),
                Math.min(
                        quotient(free.memoryMib(), each.memoryMib()),
                        quotient(free.accelerators(), each.accelerators())));
        return (int) Math.max(0, fits);
    }

    private static long quotient(long free, long each) {
        return each == 0 ? Integer.MAX_VALUE : free / each;
    }

    private boolean registered(FakeWorker worker) {
        return entered(worker) && timeline.nowMs() >= garbledUntilMs.getOrDefault(worker.id, 0L);
    }
}
