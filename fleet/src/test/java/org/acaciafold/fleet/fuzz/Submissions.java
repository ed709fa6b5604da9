package org.acaciafold.fleet.fuzz;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.AdviceSettings;
import org.acaciafold.fleet.Job;
import org.acaciafold.fleet.Route;
import org.acaciafold.fleet.StepName;
import org.acaciafold.fleet.StepSpec;

/** Draws the jobs that clients submit. */
final class Submissions {
    static final String FLOODING_WORKSPACE = "south";

    private static final int MAX_DRAWS = 20;
    private static final int MAX_LASTING = 3;
    private static final int MANY_LASTING = 12;
    private static final int FILLED_PERCENT = 90;
    private static final long FILLING_TASK_MILLIS = 4_000;

    /** Lasting tasks leave this much of a service to other tasks. */
    private static final int LASTING_CAPACITY_DIVISOR = 8;

    /** Every so many jobs there is one whose tasks checkpoint. */
    private static final int CHECKPOINTING_JOBS = 12;

    /** With large steps, one in so many jobs has one. */
    private static final int LARGE_JOBS = 8;

    private static final AdviceSettings LONG_CALLS = new AdviceSettings(370, 5.3, 2_500);
    private static final AdviceSettings SHORT_CALLS = new AdviceSettings(100, 5, 2_500);

    private final Timeline timeline;
    private final Random random;
    private final Fleet fleet;
    private final Advisor advisor;
    private final Limits limits;
    private final List<AdviceSettings> advice;
    private final Set<String> hopeless = new HashSet<>();
    private final Features features;
    private int lasting;
    private int count;

    Submissions(Timeline timeline, Fleet fleet, Advisor advisor, Limits limits, Features features) {
        this.timeline = timeline;
        this.random = timeline.random;
        this.fleet = fleet;
        this.advisor = advisor;
        this.limits = limits;
        this.features = features;
        this.advice = features.troubles()
                ? List.of(LONG_CALLS, SHORT_CALLS)
                : List.of(
                        new AdviceSettings(100, 10, 2_500),
                        new AdviceSettings(
                                timeline.between(20, 200), timeline.between(1, 15), timeline.between(1_500, 4_000)));
    }

    /** Returns whether a job has a step that its allowed workers can never hold. */
    boolean hopeless(String job) {
        return hopeless.contains(job);
    }

    /** Draws a job of any workspace. */
    Job next(long wallMs) {
        String workspace =
                limits.workspaces().get(random.nextInt(limits.workspaces().size()));
        if (features.largeSteps() && random.nextInt(LARGE_JOBS) == 0) {
            return firstMatching(() -> secondStepLarge(workspace, wallMs), this::holdable)
                    .orElseGet(() -> single(workspace, wallMs));
        }
        if (features.troubles()) {
            return ofManySteps(workspace, wallMs);
        }
        int kind = random.nextInt(40);
        Optional<Job> job = Optional.empty();
        if (kind == 0 && features.hopelessGangs()) {
            job = firstMatching(() -> gangTooWide(workspace, wallMs), this::tooWide);
            job.ifPresent(tooWide -> hopeless.add(tooWide.id()));
        } else if (kind <= 3 && !features.plain() && lasting < MAX_LASTING) {
            job = firstMatching(() -> lasting(workspace, wallMs), this::holdable);
            lasting += job.isPresent() ? 1 : 0;
        } else if (kind < 10 && !features.plain()) {
            job = firstMatching(() -> large(workspace, wallMs), this::holdable);
        }
        return job.or(() -> firstMatching(() -> small(workspace, service(), wallMs), this::holdable))
                .orElseGet(() -> single(workspace, wallMs));
    }

    /** Draws a job that lasts, or one of several steps of tasks that take some seconds. */
    private Job ofManySteps(String workspace, long wallMs) {
        Optional<Job> job = Optional.empty();
        if (lasting < MANY_LASTING && random.nextInt(6) == 0) {
            job = firstMatching(() -> lasting(workspace, wallMs), this::holdable);
            lasting += job.isPresent() ? 1 : 0;
        }
        return job.or(() -> firstMatching(() -> chain(workspace, wallMs), this::holdable))
                .orElseGet(() -> single(workspace, wallMs));
    }

    private Job chain(String workspace, long wallMs) {
        String service = service();
        List<StepSpec> steps = new ArrayList<>();
        int stepCount = timeline.between(1, 3);
        for (int i = 0; i < stepCount; i++) {
            steps.add(StepSpec.builder()
                    .count(timeline.between(1, 12))
                    .each(Resources.of(timeline.between(500, 4_000), 1_000, 0))
                    .estimateMs(timeline.between(500, 3_000))
                    .after(i == 0 ? List.of() : List.of(i - 1))
                    .gang(timeline.oneIn(6))
                    .checkpoints(timeline.oneIn(4))
                    .build());
        }
        Optional<AdviceSettings> settings =
                timeline.oneIn(4) ? Optional.empty() : Optional.of(timeline.oneIn(4) ? SHORT_CALLS : LONG_CALLS);
        return job(workspace, service, settings, steps, wallMs);
    }

    /** Draws a job of the workspace that sends more than its part. */
    Job flood(long wallMs) {
        return firstMatching(() -> small(FLOODING_WORKSPACE, features.largerService(), wallMs), this::holdable)
                .orElseGet(() -> single(FLOODING_WORKSPACE, wallMs));
    }

    /** Returns a job whose tasks last and fill most of the workers of a service that stay. */
    Job filling(String service, long wallMs) {
        long millis = Fleet.capacityMillis(fleet.permanentOf(service)) * FILLED_PERCENT / 100;
        StepSpec step = StepSpec.builder()
                .count((int) (millis / FILLING_TASK_MILLIS))
                .each(Fleet.resources(FILLING_TASK_MILLIS))
                .longRunning(true)
                .servesUsers(true)
                .build();
        return job(Limits.UNLIMITED_WORKSPACE, service, Optional.empty(), List.of(step), wallMs);
    }

    private Optional<Job> firstMatching(Supplier<Job> draw, Predicate<Job> condition) {
        for (int i = 0; i < MAX_DRAWS; i++) {
            Job job = draw.get();
            if (condition.test(job)) {
                return Optional.of(job);
            }
        }
        return Optional.empty();
    }

    private Job single(String workspace, long wallMs) {
        StepSpec step = StepSpec.builder()
                .each(Resources.of(500, 1_000, 0))
                .estimateMs(700)
                .build();
        return job(workspace, Fleet.MAIN_SERVICE, Optional.empty(), List.of(step), wallMs);
    }

    private Job small(String workspace, String service, long wallMs) {
        List<StepSpec> steps = new ArrayList<>();
        int stepCount = 1 + random.nextInt(2);
        for (int i = 0; i < stepCount; i++) {
            steps.add(StepSpec.builder()
                    .count(1 + random.nextInt(4))
                    .each(Resources.of(500 + random.nextInt(2_500), 1_000, 0))
                    .estimateMs(700)
                    .after(i == 0 ? List.of() : List.of(i - 1))
                    .maxPerWorker(random.nextInt(3))
                    .gang(random.nextInt(4) == 0)
                    // long enough to be preempted by urgent jobs
                    .checkpoints(count % CHECKPOINTING_JOBS == 0)
                    .build());
        }
        return job(workspace, service, advice(), steps, wallMs);
    }

    /** Draws a job with steps of many tasks or of tasks that need a large part of a worker. */
    private Job large(String workspace, long wallMs) {
        String service = service();
        List<StepSpec> steps = new ArrayList<>();
        int stepCount = 1 + random.nextInt(3);
        for (int i = 0; i < stepCount; i++) {
            boolean many = random.nextBoolean();
            steps.add(StepSpec.builder()
                    .count(many ? timeline.between(9, 24) : timeline.between(1, 3))
                    .each(many ? part(service, 5, 50) : part(service, 70, 100))
                    .estimateMs(700)
                    .after(i == 0 ? List.of() : List.of(i - 1))
                    .label(random.nextInt(5) == 0 ? "large" : "")
                    .gang(random.nextInt(3) == 0)
                    .sameRack(random.nextInt(4) == 0)
                    .rack("r" + random.nextInt(4))
                    .build());
        }
        return job(workspace, service, advice(), steps, wallMs);
    }

    /** Draws a job whose last step has tasks that fit about a quarter of the workers that stay. */
    private Job secondStepLarge(String workspace, long wallMs) {
        String service = service();
        List<Resources> largest = fleet.permanentOf(service).stream()
                .map(worker -> worker.shape.capacity())
                .sorted(Comparator.comparingLong(Resources::cpuMillis).reversed())
                .toList();
        long fitting = largest.get(largest.size() / 4).cpuMillis();
        List<StepSpec> steps = new ArrayList<>();
        if (random.nextInt(4) > 0) {
            steps.add(StepSpec.builder()
                    .count(timeline.between(1, 3))
                    .each(Resources.of(1_000, 1_000, 0))
                    .estimateMs(timeline.between(500, 3_000))
                    .build());
        }
        steps.add(StepSpec.builder()
                .count(timeline.between(1, 4))
                .each(Resources.of(fitting * timeline.between(55, 100) / 100, 1_000, 0))
                .estimateMs(timeline.between(500, 3_000))
                .after(steps.isEmpty() ? List.of() : List.of(0))
                .build());
        return job(workspace, service, Optional.of(advice.get(random.nextInt(advice.size()))), steps, wallMs);
    }

    private Job lasting(String workspace, long wallMs) {
        String service = service();
        Resources each = part(service, 2, 20);
        boolean fills = random.nextInt(4) == 0;
        StepSpec step = StepSpec.builder()
                .count(timeline.between(1, 4))
                // a step that fills gaps reserves no processors
                .each(fills ? Resources.of(0, each.memoryMib(), 0) : each)
                .estimateMs(0)
                .maxPerWorker(random.nextInt(3))
                .longRunning(true)
                .fillsGaps(fills)
                .servesUsers(!fills)
                .build();
        return job(workspace, service, advice(), List.of(step), wallMs);
    }

    private Job gangTooWide(String workspace, long wallMs) {
        StepSpec step = StepSpec.builder()
                .count(timeline.between(4, 16))
                .each(part(Fleet.MAIN_SERVICE, 10, 100))
                .estimateMs(700)
                .label(random.nextBoolean() ? "large" : "")
                .gang(true)
                .build();
        return job(workspace, Fleet.MAIN_SERVICE, advice(), List.of(step), wallMs);
    }

    /** Draws a part of a worker that stays, from one percentage to another; some tasks need memory or accelerators. */
    private Resources part(String service, int leastPercent, int mostPercent) {
        List<FakeWorker> workers = fleet.permanentOf(service);
        Resources capacity = workers.get(random.nextInt(workers.size())).shape.capacity();
        int percent = timeline.between(leastPercent, mostPercent);
        int cpuPercent = random.nextInt(5) == 0 ? Math.max(1, percent / 4) : percent;
        long accelerators = random.nextInt(6) == 0 ? 1 : 0;
        return Resources.of(
                capacity.cpuMillis() * cpuPercent / 100, capacity.memoryMib() * percent / 100, accelerators);
    }

    private String service() {
        return random.nextInt(5) == 0 ? features.smallerService() : features.largerService();
    }

    private Optional<AdviceSettings> advice() {
        return random.nextInt(3) == 0 ? Optional.of(advice.get(random.nextInt(advice.size()))) : Optional.empty();
    }

    private Job job(
            String workspace, String service, Optional<AdviceSettings> settings, List<StepSpec> steps, long wallMs) {
        String queue = "q" + settings.map(advice::indexOf).orElse(-1) + service;
        Route route = new Route(queue, "h", "/", service, random.nextInt(3), 3, 2, 1_000, settings, false);
        return new Job("job-" + count++, route, workspace, "spec", steps, 0, 0, 0, wallMs);
    }

    /** Returns whether the workers that stay can hold each step, and all tasks are not too much work. */
    private boolean holdable(Job job) {
        long all = job.steps().stream()
                .mapToLong(step -> step.each().cpuMillis() * step.count())
                .sum();
        long capacity = Fleet.capacityMillis(fleet.permanentOf(job.route().service()));
        if (all > Math.min(capacity, limits.usualMillis(job.workspace()))) {
            return false;
        }
        for (int i = 0; i < job.steps().size(); i++) {
            StepSpec step = job.steps().get(i);
            int together = step.gang() || step.longRunning() ? step.count() : 1;
            long millis = step.each().cpuMillis() * together;
            boolean fits = vacancies(job, i, fleet.permanentOf(job.route().service())) >= together;
            boolean modest =
                    !step.longRunning() || millis <= limits.usualMillis(job.workspace()) / LASTING_CAPACITY_DIVISOR;
            if (!fits || !modest) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether all workers together cannot hold the first step, although its workspace's limit can. */
    private boolean tooWide(Job job) {
        StepSpec step = job.steps().getFirst();
        boolean withinLimit = step.each().cpuMillis() * step.count() <= limits.usualMillis(job.workspace());
        return withinLimit && vacancies(job, 0, List.copyOf(fleet.workers.values())) * 2 < step.count();
    }

    private int vacancies(Job job, int index, List<FakeWorker> workers) {
        StepSpec step = job.steps().get(index);
        StepName name = new StepName(job.id(), 0, index);
        String service = job.route().service();
        boolean advised = job.route().advice().isPresent();
        return workers.stream()
                .filter(worker -> fleet.allowed(worker, name, step, service, advised))
                .mapToInt(worker -> Fleet.vacanciesWhenEmpty(worker, step))
                .sum();
    }
}
