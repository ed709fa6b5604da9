package org.acaciafold.core.model;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonCreator;

/**
 * What a workspace asks for when it submits a job.
 *
 * @param id the job
 * @param workspace the workspace that submitted it
 * @param name the job's name, the same for each run of the same work; a service is called by it
 * @param kind the shape of the work
 * @param demand the declared resources of each task
 * @param priority the class in the order of placement
 * @param exclusive true when no task of the job may ever run in two places at once
 * @param runTimeMs the declared run time of a task in milliseconds
 * @param payload what the worker is told to run, opaque to the scheduler
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
     * Checks the job.
     *
     * @param id the job
     * @param workspace the workspace
     * @param name the job's name
     * @param kind the shape of the work
     * @param demand the declared resources of each task
     * @param priority the class
     * @param exclusive whether a task may never run in two places
     * @param runTimeMs the declared run time in milliseconds
     * @param payload what the worker is told to run
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
     * Starts a job description with the required parts.
     *
     * @param id the job
     * @param workspace the workspace
     * @param name the job's name
     * @param kind the shape of the work
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

    /** Builds a job description. */
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
         * Builds the description.
         *
         * @return the job
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
         * Sets whether a task may never run in two places at once.
         *
         * @param value true when it may not
         * @return this builder
         */
        public Builder exclusive(boolean value) {
            exclusive = value;
            return this;
        }

        /**
         * Sets what the worker is told to run.
         *
         * @param value opaque text
         * @return this builder
         */
        public Builder payload(String value) {
            payload = value;
            return this;
        }

        /**
         * Sets the class in the order of placement.
         *
         * @param value the class
         * @return this builder
         */
        public Builder priority(Priority value) {
            priority = value;
            return this;
        }

        /**
         * Sets the declared run time of a task.
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
