package org.acaciafold.fleet.scheduling;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.acaciafold.core.model.Resources;
import org.acaciafold.fleet.Workspace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs why steps wait, and why the workers that fit them are not used.
 *
 * <p>The vacancies are told with and without the reservations of other steps, so that a step without capacity can be told
 * from one that is held back. Steps for which the leader sees none are told of, too, since it may be wrong.
 */
final class WaitReporter {
    private static final Logger LOG = LoggerFactory.getLogger(WaitReporter.class);

    /** The name by which readers of the log know the lines about claims. */
    private static final Logger CLAIMS = LoggerFactory.getLogger(StartSystem.class);

    /** Steps that wait no longer than this are not reported. */
    private static final long MIN_WAIT_MS = 2_000;

    private static final long PERIOD_MS = 1_000;
    private static final int MAX_STEPS = 3;
    private static final int MAX_WORKSPACES = 5;

    private final Tables tables;
    private long nextAtMs = Long.MIN_VALUE;

    WaitReporter(Tables tables) {
        this.tables = tables;
    }

    /** Reports the start of some tasks of a step, with how long it has waited, and been ready. */
    void claimed(StepRow step, int tasks) {
        CLAIMS.info(
                "claim job={} step={}.{} tasks={} of={} priority={} waitedMs={} readyForMs={} config={}",
                step.job.job.id(),
                step.occurrence,
                step.index,
                tasks,
                step.spec.count(),
                step.job.job.route().priority(),
                Age.since(step.waitingSinceMs, tables.nowMs),
                Age.since(step.readyAtMs, tables.nowMs),
                tables.config.version());
    }

    /** Reports why steps wait, and for some steps why the workers that fit them are not used, at most once a second. */
    void report(List<QueueOrder.Entry> ready, Placement placement) {
        if (tables.nowMs < nextAtMs) {
            return;
        }
        nextAtMs = tables.nowMs + PERIOD_MS;
        reportReasons(ready);
        selected(ready).forEach(entry -> report(entry, placement));
    }

    /** Returns the steps to tell of: those that have waited longest beside free room, then the other ones. */
    private List<QueueOrder.Entry> selected(List<QueueOrder.Entry> ready) {
        List<QueueOrder.Entry> due = new ArrayList<>();
        for (QueueOrder.Entry entry : ready) {
            boolean waited = tables.nowMs - entry.step().waitingSinceMs >= MIN_WAIT_MS;
            if (waited && entry.step().hasWaitingTasks()) {
                due.add(entry);
            }
        }
        due.sort(Comparator.comparingLong(entry -> entry.step().waitingSinceMs));
        FleetRoom room = FleetRoom.of(tables);
        Set<QueueOrder.Entry> selected = new LinkedHashSet<>();
        due.stream()
                .filter(entry -> room.hasTwice(entry.step()))
                .limit(MAX_STEPS)
                .forEach(selected::add);
        due.stream().limit(MAX_STEPS).forEach(selected::add);
        return selected.stream().limit(MAX_STEPS).toList();
    }

    /** Reports how many steps wait for what, and the use of each workspace whose limit holds steps back. */
    private void reportReasons(List<QueueOrder.Entry> ready) {
        Map<WaitReason, Integer> counts = new EnumMap<>(WaitReason.class);
        Map<String, Integer> limited = new TreeMap<>();
        Set<String> usedServices = new TreeSet<>();
        for (QueueOrder.Entry entry : ready) {
            StepRow step = entry.step();
            counts.merge(step.waitReason, 1, Integer::sum);
            if (step.waitReason == WaitReason.WORKSPACE_LIMIT) {
                limited.merge(step.job.job.workspace(), 1, Integer::sum);
            } else if (step.waitReason == WaitReason.SERVICE_USED) {
                usedServices.add(step.job.service());
            }
        }
        if (!counts.isEmpty()) {
            LOG.info("waiting steps={} reasons={}", ready.size(), counts);
        }
        limited.entrySet().stream()
                .limit(MAX_WORKSPACES)
                .forEach(entry -> reportLimit(entry.getKey(), entry.getValue()));
        usedServices.forEach(this::reportService);
    }

    private void reportService(String service) {
        ServiceUse use = ServiceUse.of(service, tables);
        LOG.info(
                "service used service={} capacity={} used={} lasting={} unconfirmed={} silent={} silentCapacity={}",
                service,
                use.capacity(),
                use.used(),
                use.lasting(),
                use.unconfirmed(),
                use.silent(),
                use.silentCapacity());
    }

    private void reportLimit(String workspace, int steps) {
        WorkspaceUse use = WorkspaceUse.of(workspace, tables);
        LOG.info(
                "workspace limit workspace={} steps={} limit={} used={} running={} unconfirmed={} silent={} surplus={}"
                        + " config={}",
                workspace,
                steps,
                tables.config.workspace(workspace).map(Workspace::limit).orElse(Resources.empty()),
                tables.usedByWorkspace.getOrDefault(workspace, Resources.empty()),
                use.running(),
                use.unconfirmed(),
                use.silent(),
                use.surplus(),
                tables.config.version());
    }

    private void report(QueueOrder.Entry entry, Placement placement) {
        StepRow step = entry.step();
        long vacant = 0;
        long unreserved = 0;
        long ticketed = 0;
        for (FreeCapacity capacity : placement.usable(step)) {
            vacant += Placement.vacancies(step, capacity);
            unreserved += Placement.vacancies(step, FreeCapacity.of(capacity.worker));
            Ticket ticket = step.tickets.get(capacity.worker.id);
            ticketed += ticket != null && ticket.valid(tables.nowMs, capacity.worker.incarnation) ? 1 : 0;
        }
        LOG.info(
                "step waits job={} step={}.{} tasks={} gang={} rank={} waitedMs={} readyForMs={} reason={} workspace={}"
                        + " vacant={} unreserved={} allowed={} denied={} ticketed={} adviceInFlight={} {}",
                step.job.job.id(),
                step.occurrence,
                step.index,
                step.waitingTasks().size(),
                step.spec.gang(),
                entry.rank(),
                Age.since(step.waitingSinceMs, tables.nowMs),
                Age.since(step.readyAtMs, tables.nowMs),
                step.waitReason,
                step.job.job.workspace(),
                vacant,
                unreserved,
                step.allowed.size(),
                step.denied.size(),
                ticketed,
                step.adviceInFlight,
                FittingWorkers.of(step, tables).summary());
    }
}
