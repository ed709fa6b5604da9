package org.acaciafold.standin;

import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.TaskId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.TaskPhase;
import org.acaciafold.core.port.TaskView;

/** A task that runs on a worker under a task lease. */
final class LeasedTask {
    private final TaskId id;
    private final long attempt;
    private final JobSpec spec;
    private final long startedMs;
    private final SimulatedWork work;
    private long leaseExpiresMs;
    private long endsMs;
    private TaskPhase phase = TaskPhase.RUNNING;
    private boolean draining;
    private int requests;

    LeasedTask(TaskId id, long attempt, JobSpec spec, long nowMs, long leaseMs) {
        this.id = id;
        this.attempt = attempt;
        this.spec = spec;
        this.startedMs = nowMs;
        this.work = SimulatedWork.of(spec);
        this.leaseExpiresMs = nowMs + leaseMs;
        long runMs = work.runMs(spec);
        this.endsMs = runMs == Long.MAX_VALUE ? Long.MAX_VALUE : nowMs + runMs;
    }

    boolean serves(WorkspaceId workspace, String service) {
        return phase == TaskPhase.RUNNING
                && !draining
                && spec.workspace().equals(workspace)
                && spec.name().equals(service);
    }

    long attempt() {
        return attempt;
    }

    void checkpoint(long untilMs) {
        phase = TaskPhase.CHECKPOINTING;
        endsMs = Math.min(endsMs, untilMs);
    }

    void drain() {
        draining = true;
    }

    boolean isDrained() {
        return draining && requests == 0;
    }

    long endsMs() {
        return endsMs;
    }

    TaskId id() {
        return id;
    }

    long leaseExpiresMs() {
        return leaseExpiresMs;
    }

    TaskPhase phase() {
        return phase;
    }

    long ranMs(long nowMs) {
        return nowMs - startedMs;
    }

    void renew(long untilMs) {
        leaseExpiresMs = untilMs;
    }

    void requestStarted() {
        requests++;
    }

    void requestEnded() {
        requests--;
    }

    int requests() {
        return requests;
    }

    JobSpec spec() {
        return spec;
    }

    TaskView view(long nowMs) {
        return new TaskView(id, attempt, spec, Math.max(0, leaseExpiresMs - nowMs), phase);
    }

    SimulatedWork work() {
        return work;
    }
}
