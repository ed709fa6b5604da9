package org.acaciafold.fleet;

import java.util.List;
import java.util.Objects;

import org.acaciafold.core.model.Resources;

/**
 * A step of a job: a number of identical tasks that become due together.
 *
 * @param count the number of tasks
 * @param each the resources that one task needs; a step that fills gaps reserves no processors
 * @param estimateMs the client's rough estimate of the duration of one task, in milliseconds
 * @param after the indices of the steps whose tasks must all be done before this step starts
 * @param gang true when the tasks can run only together
 * @param sameRack true when the gang is slower if its tasks run on more than one rack
 * @param label the label that a worker must have; empty for any worker
 * @param rack the rack where the input data is stored, or empty
 * @param maxPerWorker the maximum number of tasks on one worker; 0 for no limit
 * @param checkpoints true when tasks write checkpoints of their progress
 * @param longRunning true when tasks run until the job is cancelled
 * @param fillsGaps true when the processors of its tasks do not count against a worker's capacity
 * @param servesUsers true when the tasks serve users and have a latency target of their own
 * @param mayMiss how many tasks the scheduler may make unavailable at the same time; 0 for no limit
 */
public record StepSpec(
        int count,
        Resources each,
        long estimateMs,
        List<Integer> after,
        boolean gang,
        boolean sameRack,
        String label,
        String rack,
        int maxPerWorker,
        boolean checkpoints,
        boolean longRunning,
        boolean fillsGaps,
        boolean servesUsers,
        int mayMiss) {
    /** Rejects missing components and copies the list. */
    public StepSpec {
        Objects.requireNonNull(each, "each");
        after = List.copyOf(after);
        Objects.requireNonNull(label, "label");
        Objects.requireNonNull(rack, "rack");
    }

    /**
     * Returns a builder, initially for a step of one task.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** A builder of steps. */
    public static final class Builder {
        private int count = 1;
        private Resources each = Resources.empty();
        private long estimateMs;
        private List<Integer> after = List.of();
        private boolean gang;
        private boolean sameRack;
        private String label = "";
        private String rack = "";
        private int maxPerWorker;
        private boolean checkpoints;
        private boolean longRunning;
        private boolean fillsGaps;
        private boolean servesUsers;
        private int mayMiss;

        private Builder() {}

        /**
         * Sets the number of tasks.
         *
         * @param value the number
         * @return this builder
         */
        public Builder count(int value) {
            count = value;
            return this;
        }

        /**
         * Sets the resources that one task needs.
         *
         * @param value the resources
         * @return this builder
         */
        public Builder each(Resources value) {
            each = value;
            return this;
        }

        /**
         * Sets the estimated duration of one task.
         *
         * @param value the duration in milliseconds
         * @return this builder
         */
        public Builder estimateMs(long value) {
            estimateMs = value;
            return this;
        }

        /**
         * Sets the steps that must be done before this step starts.
         *
         * @param value the indices of the steps
         * @return this builder
         */
        public Builder after(List<Integer> value) {
            after = value;
            return this;
        }

        /**
         * Sets whether the tasks can run only together.
         *
         * @param value true for a gang
         * @return this builder
         */
        public Builder gang(boolean value) {
            gang = value;
            return this;
        }

        /**
         * Sets whether the gang is slower if its tasks run on more than one rack.
         *
         * @param value true when it is slower
         * @return this builder
         */
        public Builder sameRack(boolean value) {
            sameRack = value;
            return this;
        }

        /**
         * Sets the label that a worker must have.
         *
         * @param value the label; empty for any worker
         * @return this builder
         */
        public Builder label(String value) {
            label = value;
            return this;
        }

        /**
         * Sets the rack where the input data is stored.
         *
         * @param value the rack, or empty
         * @return this builder
         */
        public Builder rack(String value) {
            rack = value;
            return this;
        }

        /**
         * Sets the maximum number of tasks on one worker.
         *
         * @param value the number; 0 for no limit
         * @return this builder
         */
        public Builder maxPerWorker(int value) {
            maxPerWorker = value;
            return this;
        }

        /**
         * Sets whether tasks write checkpoints of their progress.
         *
         * @param value true when they do
         * @return this builder
         */
        public Builder checkpoints(boolean value) {
            checkpoints = value;
            return this;
        }

        /**
         * Sets whether tasks run until the job is cancelled.
         *
         * @param value true when they do
         * @return this builder
         */
        public Builder longRunning(boolean value) {
            longRunning = value;
            return this;
        }

        /**
         * Sets whether the tasks use only processors that other tasks leave unused.
         *
         * @param value true when they do
         * @return this builder
         */
        public Builder fillsGaps(boolean value) {
            fillsGaps = value;
            return this;
        }

        /**
         * Sets whether the tasks serve users and have a latency target of their own.
         *
         * @param value true when they do
         * @return this builder
         */
        public Builder servesUsers(boolean value) {
            servesUsers = value;
            return this;
        }

        /**
         * Sets how many tasks the scheduler may make unavailable at the same time.
         *
         * @param value the number; 0 for no limit
         * @return this builder
         */
        public Builder mayMiss(int value) {
            mayMiss = value;
            return this;
        }

        /**
         * Builds the step.
         *
         * @return the step
         */
        public StepSpec build() {
            return new StepSpec(
                    count,
                    each,
                    estimateMs,
                    after,
                    gang,
                    sameRack,
                    label,
                    rack,
                    maxPerWorker,
                    checkpoints,
                    longRunning,
                    fillsGaps,
                    servesUsers,
                    mayMiss);
        }
    }
}
