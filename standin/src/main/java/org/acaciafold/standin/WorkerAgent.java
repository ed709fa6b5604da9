package org.acaciafold.standin;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.Supplier;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.TaskEnd;
import org.acaciafold.core.port.TaskPhase;
import org.acaciafold.core.port.TaskView;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.core.port.WorkerView;

/**
 * State machine of a worker's agent: control leases, tasks, request slots and a journal. The caller passes the time.
 *
 * <p>Example: {@code agent.command(command, clock.nowMs())}, and {@code agent.advance(clock.nowMs())} as time passes.
 */
public final class WorkerAgent {
    // time from a checkpoint command to the end of the task
    private static final long CHECKPOINT_MS = 50;
    private static final long SEQUENCES_PER_INCARNATION = 1_000_000;

    private final WorkerId worker;
    private final Resources capacity;
    private final String rack;
    private final int slots;
    private final int connections;
    private final ControlLeases leases;
    private final Map<TaskId, LeasedTask> tasks = new TreeMap<>();
    private final Map<TaskId, Long> endedAttempts = new HashMap<>();
    private final Map<Long, TaskEnd> unacknowledgedEnds = new TreeMap<>();
    private final Map<Long, LiveRequest> requests = new HashMap<>();
    private final List<JournalEntry> journal = new ArrayList<>();
    private PeakUsage peak = PeakUsage.empty();
    private boolean leaving;
    private boolean failAllTasks;
    private long version;
    private long lastEndId;
    private long lastRequestNumber;

    private WorkerAgent(
            WorkerId worker, Resources capacity, String rack, int slots, int connections, long firstSequence) {
        this.worker = worker;
        this.capacity = capacity;
        this.rack = rack;
        this.slots = slots;
        this.connections = connections;
        this.leases = new ControlLeases(firstSequence);
        this.version = firstSequence + 1;
        this.lastEndId = firstSequence;
    }

    /**
     * Creates an agent without a fencing token, control leases or tasks.
     *
     * @param worker the identifier of the worker
     * @param capacity the total resources of the worker
     * @param rack the rack of the worker
     * @param slots the maximum number of concurrent live requests
     * @param connections the maximum number of concurrent connections
     * @param incarnation a number that increases with each start of the worker, so that sequences are never reused
     * @return the new agent
     */
    public static WorkerAgent of(
            WorkerId worker, Resources capacity, String rack, int slots, int connections, long incarnation) {
        long firstSequence = incarnation * SEQUENCES_PER_INCARNATION;
        return new WorkerAgent(worker, capacity, rack, slots, connections, firstSequence);
    }

    /**
     * Ends every task whose lease has expired or whose work has completed.
     *
     * @param nowMs the time in milliseconds
     */
    public void advance(long nowMs) {
        for (LeasedTask task : List.copyOf(tasks.values())) {
            endReason(task, nowMs).ifPresent(reason -> endTask(task, reason, nowMs));
        }
    }

    /**
     * Admits or rejects a live request.
     *
     * @param call the headers of the request
     * @param nowMs the time in milliseconds
     * @return the number and payload of an admitted request, or the failure of a rejected one
     */
    public Admission begin(LiveCall call, long nowMs) {
        advance(nowMs);
        Optional<Failure> rejection = rejection(call, nowMs);
        Optional<LeasedTask> replica = replicaOf(call);
        if (rejection.isPresent() || replica.isEmpty()) {
            Failure failure = rejection.orElseGet(() -> notRun("no-replica", "no replica of " + call.service()));
            record(nowMs, JournalEntry.Kind.REQUEST_REFUSED, call.requestId(), 0, failure.code());
            return new Admission.Rejected(failure);
        }
        LeasedTask task = replica.get();
        task.requestStarted();
        long number = ++lastRequestNumber;
        requests.put(number, new LiveRequest(call, task));
        version++;
        peak = peak.withSlots(requests.size());
        record(nowMs, JournalEntry.Kind.REQUEST_STARTED, call.requestId(), 0, call.idempotencyKey());
        return new Admission.Admitted(number, task.spec().payload());
    }

    /**
     * Executes a command.
     *
     * @param command the command
     * @param nowMs the time at which the command was received in milliseconds
     * @return the reply
     */
    public WorkerReply command(WorkerCommand command, long nowMs) {
        advance(nowMs);
        return switch (command) {
            case WorkerCommand.Claim claim -> claim(claim, nowMs);
            case WorkerCommand.Start start ->
                withValidLease(start.fence(), start.leaseSequence(), nowMs, () -> start(start, nowMs));
            case WorkerCommand.Stop stop ->
                withValidLease(stop.fence(), stop.leaseSequence(), nowMs, () -> stop(stop, nowMs));
            case WorkerCommand.Throttle throttle ->
                withValidLease(throttle.fence(), throttle.leaseSequence(), nowMs, () -> throttle(throttle));
            case WorkerCommand.Release release -> release(release, nowMs);
        };
    }

    /**
     * Records the number of open connections for live requests in the peak usage.
     *
     * @param open the number of open connections
     */
    public void recordOpenConnections(int open) {
        peak = peak.withConnections(open);
    }

    /**
     * Ends a live request.
     *
     * @param number the number from {@link Admission.Admitted}
     * @param nowMs the time in milliseconds
     */
    public void end(long number, long nowMs) {
        LiveRequest request = requests.remove(number);
        if (request == null) {
            return;
        }
        request.task().requestEnded();
        version++;
        LiveCall call = request.call();
        record(nowMs, JournalEntry.Kind.REQUEST_ENDED, call.requestId(), 0, call.idempotencyKey());
        advance(nowMs);
    }

    /**
     * Sets whether every task fails immediately after it starts.
     *
     * @param value true when every task fails
     */
    public void setFailAllTasks(boolean value) {
        failAllTasks = value;
    }

    /**
     * Returns the journal entries since the agent was created.
     *
     * @return the entries in chronological order
     */
    public List<JournalEntry> journal() {
        return List.copyOf(journal);
    }

    /**
     * Sets whether the worker is about to leave the cluster.
     *
     * @param value true when the worker is leaving
     */
    public void setLeaving(boolean value) {
        leaving = value;
        version++;
    }

    /**
     * Returns the highest concurrent usage since the agent was created.
     *
     * @return the peak usage
     */
    public PeakUsage peak() {
        return peak;
    }

    /**
     * Returns the capacity, usage and tasks of the worker.
     *
     * @param nowMs the time in milliseconds
     * @return a snapshot of the worker
     */
    public WorkerView view(long nowMs) {
        List<TaskView> views =
                tasks.values().stream().map(task -> task.view(nowMs)).toList();
        return new WorkerView(capacity, rack, slots, connections, requests.size(), leaving, views);
    }

    private WorkerReply claim(WorkerCommand.Claim claim, long nowMs) {
        if (!leases.canGrant(claim.fence(), claim.holder(), nowMs)) {
            return fenced(nowMs);
        }
        boolean leaseIsValid = claim.fence().equals(leases.fence()) && leases.valid(claim.leaseSequence(), nowMs);
        long sequence = leases.grant(claim.fence(), claim.holder(), nowMs, claim.validityMs());
        if (leaseIsValid) {
            renewTasks(claim, nowMs);
        }
        claim.acknowledgedEnds().forEach(unacknowledgedEnds::remove);
        Optional<WorkerView> view = claim.seenVersion() == version ? Optional.empty() : Optional.of(view(nowMs));
        return new WorkerReply.Claimed(sequence, version, view, List.copyOf(unacknowledgedEnds.values()));
    }

    private void endTask(LeasedTask task, EndReason reason, long nowMs) {
        tasks.remove(task.id());
        endedAttempts.merge(task.id(), task.attempt(), Math::max);
        String result = reason == EndReason.SUCCEEDED ? task.work().result(task.spec()) : "";
        long id = ++lastEndId;
        unacknowledgedEnds.put(id, new TaskEnd(id, task.id(), task.attempt(), reason, result, task.ranMs(nowMs)));
        version++;
        record(nowMs, JournalEntry.Kind.TASK_ENDED, task.id().toString(), task.attempt(), reason.name());
    }

    private WorkerReply fenced(long nowMs) {
        return new WorkerReply.Fenced(leases.fence(), leases.holder(), leases.remainingMs(nowMs));
    }

    private WorkerReply withValidLease(Fence fence, long sequence, long nowMs, Supplier<WorkerReply> action) {
        int order = fence.compareTo(leases.fence());
        if (order < 0) {
            return fenced(nowMs);
        }
        if (order > 0 || !leases.valid(sequence, nowMs)) {
            return new WorkerReply.Refused("lease-lapsed", "no valid control lease " + sequence);
        }
        return action.get();
    }

    private Optional<EndReason> endReason(LeasedTask task, long nowMs) {
        if (task.leaseExpiresMs() <= nowMs) {
            return Optional.of(EndReason.EXPIRED);
        }
        if (task.isDrained()) {
            return Optional.of(EndReason.STOPPED);
        }
        if (task.endsMs() > nowMs && !failAllTasks) {
            return Optional.empty();
        }
        if (task.phase() == TaskPhase.CHECKPOINTING) {
            return Optional.of(EndReason.CHECKPOINTED);
        }
        boolean fails = failAllTasks || task.work().fails(task.attempt());
        return Optional.of(fails ? EndReason.FAILED : EndReason.SUCCEEDED);
    }

    private void record(long nowMs, JournalEntry.Kind kind, String subject, long attempt, String detail) {
        journal.add(new JournalEntry(nowMs, kind, subject, attempt, detail));
    }

    private Optional<Failure> rejection(LiveCall call, long nowMs) {
        int order = call.fence().compareTo(leases.fence());
        if (order < 0) {
            return Optional.of(notRun("fenced", "a higher fence was seen"));
        }
        if (order > 0 || !leases.valid(call.leaseSequence(), nowMs)) {
            return Optional.of(notRun("lease-lapsed", "no valid control lease " + call.leaseSequence()));
        }
        if (requests.size() >= slots) {
            return Optional.of(notRun("no-slot", "all " + slots + " slots are in use"));
        }
        return Optional.empty();
    }

    private Failure notRun(String code, String message) {
        return Failure.notRun(Step.WORKER, worker.value(), code, message);
    }

    private WorkerReply release(WorkerCommand.Release release, long nowMs) {
        int order = release.fence().compareTo(leases.fence());
        if (order < 0) {
            return fenced(nowMs);
        }
        if (order > 0) {
            return new WorkerReply.Refused("not-held", "this fence was never claimed here");
        }
        leases.release();
        return new WorkerReply.Done();
    }

    private void renewTasks(WorkerCommand.Claim claim, long nowMs) {
        for (LeasedTask task : tasks.values()) {
            long renewMs = task.spec().exclusive() ? claim.renewExclusiveMs() : claim.renewMs();
            if (renewMs > 0) {
                task.renew(nowMs + renewMs);
            }
        }
    }

    private Optional<LeasedTask> replicaOf(LiveCall call) {
        Predicate<LeasedTask> servesCall = task -> task.serves(call.workspace(), call.service());
        return tasks.values().stream().filter(servesCall).min((a, b) -> Integer.compare(a.requests(), b.requests()));
    }

    private WorkerReply start(WorkerCommand.Start start, long nowMs) {
        if (tasks.containsKey(start.task())) {
            return new WorkerReply.Refused("already-running", "the task runs here");
        }
        if (endedAttempts.getOrDefault(start.task(), Long.MIN_VALUE) >= start.attempt()) {
            return new WorkerReply.Refused("already-ended", "this attempt or a later one has ended here");
        }
        if (leaving) {
            return new WorkerReply.Refused("leaving", "the worker is about to leave");
        }
        Resources after = used().plus(start.spec().demand());
        if (!after.fitsIn(capacity)) {
            return new WorkerReply.Refused("no-capacity", "not enough free resources");
        }
        tasks.put(
                start.task(), new LeasedTask(start.task(), start.attempt(), start.spec(), nowMs, start.taskLeaseMs()));
        version++;
        peak = peak.withResources(after);
        record(nowMs, JournalEntry.Kind.TASK_STARTED, start.task().toString(), start.attempt(), "");
        return new WorkerReply.Done();
    }

    private WorkerReply stop(WorkerCommand.Stop stop, long nowMs) {
        LeasedTask task = tasks.get(stop.task());
        if (task == null || task.attempt() != stop.attempt()) {
            return new WorkerReply.Refused("unknown-task", "this attempt does not run here");
        }
        switch (stop.mode()) {
            case CHECKPOINT -> task.checkpoint(nowMs + CHECKPOINT_MS);
            case DRAIN -> task.drain();
            case KILL -> endTask(task, EndReason.STOPPED, nowMs);
            default -> throw new IllegalStateException("unknown mode " + stop.mode());
        }
        version++;
        advance(nowMs);
        return new WorkerReply.Done();
    }

    private WorkerReply throttle(WorkerCommand.Throttle throttle) {
        return tasks.containsKey(throttle.task())
                ? new WorkerReply.Done()
                : new WorkerReply.Refused("unknown-task", "the task does not run here");
    }

    private Resources used() {
        return tasks.values().stream().map(task -> task.spec().demand()).reduce(Resources.empty(), Resources::plus);
    }

    private record LiveRequest(LiveCall call, LeasedTask task) {}
}
