package org.acaciafold.proof.fuzz;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.LongUnaryOperator;

/** Measures recovery times, and the work and control traffic of a cluster, on a simulated clock. */
final class Recovery {
    private static final long STEP_MS = 20;
    private static final long WARM_UP_MS = 20_000;
    private static final long MAX_WAIT_MS = 120_000;
    private static final long MINUTE_MS = 60_000;
    private static final int SEEDS = 20;
    private static final int DOMAINS = 3;

    private final List<String> lines = new ArrayList<>();

    /** Runs all measurements and returns the report in Markdown. */
    List<String> run() {
        addTableHead("| time to recover, over " + SEEDS + " seeds | least ms | median ms | most ms |");
        measureTimes("owner killed, table up: to the next start on its workers", this::ownerKilled);
        measureTimes(
                "owner killed, table down: to the next control lease of its workers", this::ownerKilledWithoutTable);
        measureTimes("owner paused for 30 s, table up: to the next start on its workers", this::ownerPaused);
        measureTimes("settings edit: to in force everywhere", this::editInForce);
        measureTimes("settings edit, one domain cut for 30 s: to in force everywhere", this::editWithDomainCut);
        measureTimes("domain taken out: from accepted to the last start there (0 when none)", this::domainTakenOut);
        lines.add("");
        addTableHead("| work done in 10 minutes, a domain away from minute 2 to 6 | task ends | part of undisturbed |");
        measureWork();
        lines.add("");
        addTableHead("| table outage | running before: services, batch, exclusive | at its end | 2 min after"
                + " | exclusive stopped after |");
        for (int minutes : new int[] {1, 10, 60}) {
            measureTableOutage(minutes);
        }
        lines.add("");
        measureTraffic();
        return lines;
    }

    private void addTableHead(String head) {
        lines.add(head);
        lines.add("|" + " --- |".repeat((int) head.chars().filter(c -> c == '|').count() - 1));
    }

    private void measureTimes(String label, LongUnaryOperator measure) {
        long[] found = new long[SEEDS];
        for (int seed = 0; seed < SEEDS; seed++) {
            found[seed] = measure.applyAsLong(seed);
        }
        Arrays.sort(found);
        lines.add("| " + label + " | " + found[0] + " | " + found[SEEDS / 2] + " | " + found[SEEDS - 1] + " |");
    }

    private static World loadedWorld(long seed, int domains) {
        World world = new World(seed, domains);
        Bootstrap.of(world).run();
        for (int job = 0; job < 4 * domains; job++) {
            world.clients().submit(new Action.Submit(job, Action.Shape.BATCH, 400, 1 + job % 3, job), world.anyHost());
        }
        world.advance(WARM_UP_MS);
        return world;
    }

    private static SimHost owner(World world, String domain) {
        return world.hosts().stream()
                .filter(host -> host.domain().equals(domain) && host.ownedSlices() > 0)
                .findFirst()
                .orElseThrow();
    }

    /**
     * Advances the clock until a condition holds or the maximum wait is over.
     *
     * @return the elapsed time in milliseconds
     */
    private static long waitUntil(World world, BooleanSupplier condition) {
        long startMs = world.nowMs();
        while (!condition.getAsBoolean() && world.nowMs() - startMs < MAX_WAIT_MS) {
            world.advance(STEP_MS);
        }
        return world.nowMs() - startMs;
    }

    private static long waitForStart(World world, String domain, long afterMs) {
        return waitUntil(world, () -> world.lastStartMs(domain) > afterMs);
    }

    private long ownerKilled(long seed) {
        World world = loadedWorld(seed, DOMAINS);
        owner(world, "d0").kill();
        return waitForStart(world, "d0", world.nowMs() + STEP_MS);
    }

    private long ownerKilledWithoutTable(long seed) {
        World world = loadedWorld(seed, DOMAINS);
        world.breakTable(Action.TableFault.DOWN, MAX_WAIT_MS);
        world.advance(5_000);
        SimHost owner = owner(world, "d0");
        owner.kill();
        return waitUntil(
                world,
                () -> world.lastLeaseHolder("d0")
                        .filter(host -> !host.equals(owner.id()))
                        .isPresent());
    }

    private long ownerPaused(long seed) {
        World world = loadedWorld(seed, DOMAINS);
        owner(world, "d0").pause(world.nowMs(), world.nowMs() + 30_000);
        return waitForStart(world, "d0", world.nowMs() + STEP_MS);
    }

    private long editInForce(long seed) {
        World world = loadedWorld(seed, DOMAINS);
        return edit(world);
    }

    private long editWithDomainCut(long seed) {
        World world = loadedWorld(seed, DOMAINS);
        long untilMs = world.nowMs() + 30_000;
        world.network().cut("d2", Network.PLATFORM, untilMs);
        world.network().cut("d2", "d0", untilMs);
        world.network().cut("d2", "d1", untilMs);
        return edit(world);
    }

    private static long edit(World world) {
        long before = world.counts().count(FuzzCounts.Kind.EDITS_ACCEPTED);
        world.clients().setDomain("d1", false, owner(world, "d0"));
        return waitUntil(world, () -> world.counts().count(FuzzCounts.Kind.EDITS_ACCEPTED) > before);
    }

    private long domainTakenOut(long seed) {
        World world = loadedWorld(seed, DOMAINS);
        long before = world.counts().count(FuzzCounts.Kind.EDITS_ACCEPTED);
        world.clients().setDomain("d0", true, owner(world, "d1"));
        waitUntil(world, () -> world.counts().count(FuzzCounts.Kind.EDITS_ACCEPTED) > before);
        long acceptedMs = world.nowMs();
        world.advance(MINUTE_MS);
        return Math.max(0, world.lastStartMs("d0") - acceptedMs);
    }

    private void measureWork() {
        long undisturbed = workDone(world -> {}, world -> {});
        long planned = workDone(
                world -> world.clients().setDomain("d0", true, world.anyHost()),
                world -> world.clients().setDomain("d0", false, world.anyHost()));
        long sudden = workDone(Recovery::killDomain, Recovery::restartDomain);
        addWorkLine("undisturbed", undisturbed, undisturbed);
        addWorkLine("taken out and brought back", planned, undisturbed);
        addWorkLine("all its hosts and workers killed, then replaced", sudden, undisturbed);
    }

    private void addWorkLine(String label, long done, long undisturbed) {
        lines.add("| " + label + " | " + done + " | " + Math.round(100.0 * done / undisturbed) + "% |");
    }

    private static long workDone(Consumer<World> leave, Consumer<World> back) {
        World world = new World(7, DOMAINS);
        Bootstrap.of(world).run();
        for (int job = 0; job < 60; job++) {
            world.clients().submit(new Action.Submit(job, Action.Shape.BATCH, 400, 2, job), world.anyHost());
        }
        world.advance(WARM_UP_MS);
        long before = succeeded(world);
        world.advance(2 * MINUTE_MS);
        leave.accept(world);
        world.advance(4 * MINUTE_MS);
        back.accept(world);
        world.advance(4 * MINUTE_MS);
        return succeeded(world) - before;
    }

    private static void killDomain(World world) {
        List.copyOf(world.hosts()).stream()
                .filter(host -> host.domain().equals("d0"))
                .forEach(host -> {
                    host.kill();
                    world.replaceLater(host, 4 * MINUTE_MS);
                });
        world.workers().stream().filter(worker -> worker.domain().equals("d0")).forEach(SimWorker::kill);
    }

    private static void restartDomain(World world) {
        world.workers().stream().filter(worker -> !worker.alive()).forEach(SimWorker::restart);
    }

    private static long succeeded(World world) {
        return world.workers().stream().mapToLong(SimWorker::succeeded).sum();
    }

    private void measureTableOutage(int minutes) {
        World world = new World(11, DOMAINS);
        Bootstrap.of(world).run();
        long seconds = 4 * 3_600;
        world.clients().submit(new Action.Submit(0, Action.Shape.SERVICE, 6, 1, 0), world.host(0));
        world.clients().submit(new Action.Submit(1, Action.Shape.BATCH, 6, (int) seconds, 0), world.host(0));
        world.clients().submit(new Action.Submit(2, Action.Shape.EXCLUSIVE, 6, (int) seconds, 0), world.host(0));
        world.advance(WARM_UP_MS);
        String before = running(world);
        long startMs = world.nowMs();
        world.breakTable(Action.TableFault.DOWN, minutes * MINUTE_MS);
        long stoppedMs = -1;
        while (world.nowMs() < startMs + minutes * MINUTE_MS) {
            world.advance(1_000);
            if (stoppedMs < 0 && count(world, "t2") == 0) {
                stoppedMs = world.nowMs() - startMs;
            }
        }
        String atEnd = running(world);
        world.advance(2 * MINUTE_MS);
        String stopped = stoppedMs < 0 ? "not" : stoppedMs / 1_000 + " s";
        lines.add(
                "| " + minutes + " min | " + before + " | " + atEnd + " | " + running(world) + " | " + stopped + " |");
    }

    private static String running(World world) {
        return count(world, "t0") + ", " + count(world, "t1") + ", " + count(world, "t2");
    }

    private static long count(World world, String workspace) {
        return world.workers().stream()
                .flatMap(worker -> worker.tasks(world.nowMs()).stream())
                .filter(task -> task.spec().workspace().value().equals(workspace))
                .count();
    }

    private void measureTraffic() {
        StringBuilder head = new StringBuilder("| an entry host sends a second, 2 hosts and 3 workers a domain |");
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            String name = kind.name().toLowerCase(Locale.ROOT).replace('_', ' ');
            head.append(' ').append(name).append(" messages | ").append(name).append(" bytes |");
        }
        addTableHead(head.toString());
        for (int domains : new int[] {2, 4, 8}) {
            addTrafficLine(domains);
        }
    }

    private void addTrafficLine(int domains) {
        World world = loadedWorld(3, domains);
        world.traffic().start();
        world.advance(MINUTE_MS);
        StringBuilder line = new StringBuilder("| " + domains + " domains |");
        int hosts = world.hosts().size();
        for (Traffic.Kind kind : Traffic.Kind.values()) {
            double messages = world.traffic().messagesPerSecond(kind, hosts, MINUTE_MS);
            long bytes = Math.round(world.traffic().bytesPerSecond(kind, hosts, MINUTE_MS));
            line.append(String.format(Locale.ROOT, " %.1f | %d |", messages, bytes));
        }
        lines.add(line.toString());
    }
}
