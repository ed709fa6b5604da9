package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * The specification of a job, as its workspace submits it.
 *
 * @param id the job
 * @param workspace the workspace that submitted it
 * @param name the job's name, the same whenever the same work is submitted; callers address a service by it
 * @param kind the kind of the job
 * @param demand the declared resources of each task
 * @param priority the priority class for placement
 * @param exclusive true if two attempts of a task may never run at the same time
 * @param runTimeMs the declared run time of a task in milliseconds
 * @param payload what the worker runs, opaque to the scheduler
 */
public record JobSpec(
        JobId id,
        WorkspaceId workspace,
        String name,
        JobKind kind,
        Resources demand,
        Priority priority,
        boolean exclusive,
        long runTimeMs,
        String payload) {
    /**
     * Validates the specification.
     *
     * @param id the job
     * @param workspace the workspace
     * @param name the job's name
     * @param kind the kind of the job
     * @param demand the declared resources of each task
     * @param priority the priority class
     * @param exclusive whether two attempts of a task may never run at the same time
     * @param runTimeMs the declared run time in milliseconds
     * @param payload what the worker runs
     */
    @JsonCreator
    public JobSpec {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(workspace, "workspace");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(kind, "kind");
        Objects.requireNonNull(demand, "demand");
        Objects.requireNonNull(priority, "priority");
        Objects.requireNonNull(payload, "payload");
    }

    /**
     * Returns a builder of a specification with the required components set.
     *
     * @param id the job
     * @param workspace the workspace
     * @param name the job's name
     * @param kind the kind of the job
     * @return a builder
     */
    public static Builder builder(JobId id, WorkspaceId workspace, String name, JobKind kind) {
        return new Builder(id, workspace, name, kind);
    }

    /**
     * Returns the identifier of one task.
     *
     * @param index the position of the task, from 0
     * @return the task's identifier
     */
    public TaskId task(int index) {
        return TaskId.of(id, index);
    }

    /** Builds a job specification. */
    public static final class Builder {
        private static final long DEFAULT_RUN_TIME_MS = 60_000;

        private final JobId id;
        private final WorkspaceId workspace;
        private final String name;
        private final JobKind kind;
        private Resources demand = Resources.of(1_000, 256, 0);
        private Priority priority = Priority.NORMAL;
        private boolean exclusive;
        private long runTimeMs = DEFAULT_RUN_TIME_MS;
        private String payload = "";

        private Builder(JobId id, WorkspaceId workspace, String name, JobKind kind) {
            this.id = id;
            this.workspace = workspace;
            this.name = name;
            this.kind = kind;
        }

        /**
         * Builds the specification.
         *
         * @return the specification
         */
        public JobSpec build() {
            return new JobSpec(id, workspace, name, kind, demand, priority, exclusive, runTimeMs, payload);
        }

        /**
         * Sets the declared resources of each task.
         *
         * @param value the resources
         * @return this builder
         */
        public Builder demand(Resources value) {
            demand = value;
            return this;
        }

        /**
         * Sets whether two attempts of a task may never run at the same time.
         *
         * @param value true if they may not
         * @return this builder
         */
        public Builder exclusive(boolean value) {
            exclusive = value;
            return this;
        }

        /**
         * Sets what the worker runs.
         *
         * @param value text that is opaque to the scheduler
         * @return this builder
         */
        public Builder payload(String value) {
            payload = value;
            return this;
        }

        /**
         * Sets the priority class for placement.
         *
         * @param value the priority class
         * @return this builder
         */
        public Builder priority(Priority value) {
            priority = value;
            return this;
        }

        /**
         * Sets the declared run time of each task.
         *
         * @param value milliseconds
         * @return this builder
         */
        public Builder runTimeMs(long value) {
            runTimeMs = value;
            return this;
        }
    }
}
