package org.acaciafold.proof.fuzz;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.TaskView;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;

/** Checks the guarantees of the scheduler only against what workers and callers observe. */
final class Oracle {
    private final List<String> violations = new ArrayList<>();
    private final Map<WorkspaceId, Resources> limits = new TreeMap<>();
    private final Map<WorkspaceId, TreeMap<Long, Resources>> pendingLimits = new HashMap<>();
    private final Map<WorkspaceId, Long> lastAcceptedOrders = new HashMap<>();
    private final Map<String, Integer> executions = new TreeMap<>();
    private final Map<String, Long> lastReturnOrders = new HashMap<>();
    private final Set<String> domainsTakenOut = new HashSet<>();
    private final Set<JobId> cancelled = new HashSet<>();

    /** Checks that no exclusive task runs twice and no workspace exceeds its limit at the given time. */
    void checkRunningTasks(long nowMs, Collection<SimWorker> workers) {
        Map<TaskId, SimWorker> exclusive = new HashMap<>();
        Map<WorkspaceId, Resources> running = new HashMap<>();
        for (SimWorker worker : workers) {
            for (TaskView task : worker.tasks(nowMs)) {
                running.merge(task.spec().workspace(), task.spec().demand(), Resources::plus);
                SimWorker other = task.spec().exclusive() ? exclusive.put(task.task(), worker) : null;
                if (other != null) {
                    reportViolation(nowMs, "task " + task.task() + " runs on " + other.id() + " and on " + worker.id());
                }
            }
        }
        running.forEach((workspace, used) -> {
            if (!used.fitsIn(highestLimit(workspace))) {
                reportViolation(
                        nowMs,
                        "workspace " + workspace + " runs " + used + ", above its limit of " + highestLimit(workspace));
            }
        });
    }

    /** Checks that a start did not exceed the worker's capacity or run in a domain that is out of service. */
    void checkWorkerReply(long nowMs, SimWorker worker, WorkerCommand command, WorkerReply reply) {
        if (!(command instanceof WorkerCommand.Start start)) {
            return;
        }
        if (reply instanceof WorkerReply.Refused refused && refused.code().equals("no-capacity")) {
            reportViolation(nowMs, "worker " + worker.id() + " received a start beyond its capacity: " + start.task());
        }
        if (reply instanceof WorkerReply.Done && domainsTakenOut.contains(worker.domain())) {
            reportViolation(
                    nowMs,
                    "task " + start.task() + " started in domain " + worker.domain() + ", which is out of service");
        }
    }

    /** Records that a host reported a job's cancellation as durable. */
    void recordCancellation(JobId job) {
        cancelled.add(job);
    }

    boolean isCancelled(JobId job) {
        return cancelled.contains(job);
    }

    /** Records that an edit of a domain was reported as in force everywhere. */
    void recordDomainAccepted(String domain, boolean out, long order) {
        if (out && order > lastReturnOrders.getOrDefault(domain, 0L)) {
            domainsTakenOut.add(domain);
        }
    }

    /** Records that an edit was sent that may return a domain to service. */
    void recordDomainReturnSent(String domain, long order) {
        lastReturnOrders.merge(domain, order, Math::max);
        domainsTakenOut.remove(domain);
    }

    /** Records one execution of a request with an idempotency key and checks that it is the first. */
    void recordExecution(long nowMs, String key) {
        if (executions.merge(key, 1, Integer::sum) > 1) {
            reportViolation(nowMs, "request " + key + " was executed more than once");
        }
    }

    int executions(String key) {
        return executions.getOrDefault(key, 0);
    }

    /** Records that a limit was sent, which may come into force at any time from now on. */
    void recordLimitSent(WorkspaceId workspace, Resources limit, long order) {
        pendingLimits.computeIfAbsent(workspace, ignored -> new TreeMap<>()).put(order, limit);
    }

    /** Records that a limit was accepted; limits sent before it are no longer in force. */
    void recordLimitAccepted(WorkspaceId workspace, Resources limit, long order) {
        if (order > lastAcceptedOrders.getOrDefault(workspace, 0L)) {
            lastAcceptedOrders.put(workspace, order);
            limits.put(workspace, limit);
        }
        pendingLimits
                .getOrDefault(workspace, new TreeMap<>())
                .headMap(order, true)
                .clear();
    }

    /** Returns whether a limit is the last accepted one of a workspace. */
    boolean isLastAcceptedLimit(WorkspaceId workspace, Resources limit) {
        return limit.equals(limits.get(workspace));
    }

    boolean limitsAccepted(int workspaces) {
        return limits.size() >= workspaces;
    }

    void reportViolation(long nowMs, String violation) {
        violations.add("at " + nowMs + " ms: " + violation);
    }

    List<String> violations() {
        return violations;
    }

    private Resources highestLimit(WorkspaceId workspace) {
        Resources highest = limits.getOrDefault(workspace, Resources.empty());
        for (Resources pending :
                pendingLimits.getOrDefault(workspace, new TreeMap<>()).values()) {
            highest = highest.max(pending);
        }
        return highest;
    }
}
