package org.acaciafold.proof.fuzz;

import java.util.List;

import org.acaciafold.core.model.Resources;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.EndReason;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.core.port.TaskView;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.standin.JournalEntry;
import org.acaciafold.standin.WorkerAgent;

/** Simulates a worker: an agent that can be killed and restarted without its state. */
final class SimWorker {
    static final Resources CAPACITY = Resources.of(8_000, 16_384, 2);
    private static final int SLOTS = 8;
    private static final int CONNECTIONS = 64;

    private final WorkerId id;
    private final String domain;
    private final String rack;
    private long incarnation = 1;
    private WorkerAgent agent;
    private boolean alive = true;
    private boolean leaving;
    private long succeededBeforeRestarts;

    SimWorker(WorkerId id, String domain, String rack) {
        this.id = id;
        this.domain = domain;
        this.rack = rack;
        this.agent = newAgent();
    }

    void advance(long nowMs) {
        if (alive) {
            agent.advance(nowMs);
        }
    }

    WorkerAgent agent() {
        return agent;
    }

    boolean alive() {
        return alive;
    }

    WorkerReply command(WorkerCommand command, long nowMs) {
        return agent.command(command, nowMs);
    }

    String domain() {
        return domain;
    }

    HostEntry entry() {
        return new HostEntry(
                id.value(),
                HostRole.WORKER,
                org.acaciafold.core.model.DomainId.of(domain),
                rack,
                id.value(),
                id.value(),
                leaving);
    }

    void setFailsEverything(boolean value) {
        agent.setFailAllTasks(value);
    }

    WorkerId id() {
        return id;
    }

    void kill() {
        alive = false;
    }

    void setLeaving(boolean value) {
        leaving = value;
        agent.setLeaving(value);
    }

    Network.Location location() {
        return new Network.Location(domain, id.value());
    }

    /** Restarts the worker without the tasks, leases and fencing tokens that it had. */
    void restart() {
        succeededBeforeRestarts += successes();
        incarnation++;
        alive = true;
        leaving = false;
        agent = newAgent();
    }

    /** Returns the number of tasks that have succeeded on this worker, in all its incarnations. */
    long succeeded() {
        return succeededBeforeRestarts + successes();
    }

    /** Returns the tasks that run now, or none if the worker is not alive. */
    List<TaskView> tasks(long nowMs) {
        return alive ? agent.view(nowMs).tasks() : List.of();
    }

    private long successes() {
        return agent.journal().stream()
                .filter(entry -> entry.kind() == JournalEntry.Kind.TASK_ENDED)
                .filter(entry -> entry.detail().equals(EndReason.SUCCEEDED.name()))
                .count();
    }

    private WorkerAgent newAgent() {
        return WorkerAgent.of(id, CAPACITY, rack, SLOTS, CONNECTIONS, incarnation);
    }
}
