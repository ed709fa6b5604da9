package org.acaciafold.fleet;

import java.util.List;
import java.util.Objects;

import org.acaciafold.core.model.Resources;

/**
 * A step of a job: equal tasks that become due together.
 *
 * @param count the number of tasks
 * @param each what one task needs; a step that fills gaps needs no processors of its own
 * @param estimateMs the consumer's rough estimate of one task's duration
 * @param after the indices of steps whose tasks must all be done first
 * @param gang true when the tasks work only together
 * @param sameRack true when the tasks of a gang are slower on more than one rack
 * @param label the label that a worker must have, or empty
 * @param rack the rack where the data lies, or empty
 * @param maxPerWorker at most this many tasks on one worker, 0 for no bound
 * @param checkpoints true when tasks checkpoint their progress
 * @param longRunning true when tasks run until the job is cancelled
 * @param fillsGaps true when its processors do not count against a worker's capacity
 * @param servesUsers true when tasks have a latency target of their own
 * @param mayMiss tasks that may be unavailable at once by our own actions, 0 when not bounded
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
    /** Checks and copies the parts. */
    public StepSpec {
        Objects.requireNonNull(each, "each");
        after = List.copyOf(after);
        Objects.requireNonNull(label, "label");
        Objects.requireNonNull(rack, "rack");
    }

    /**
     * Starts a step of one task.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    /** Builds steps. */
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
         * Sets what one task needs.
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
         * @param value milliseconds
         * @return this builder
         */
        public Builder estimateMs(long value) {
            estimateMs = value;
            return this;
        }

        /**
         * Sets the steps that come first.
         *
         * @param value their indices
         * @return this builder
         */
        public Builder after(List<Integer> value) {
            after = value;
            return this;
        }

        /**
         * Sets whether the tasks work only together.
         *
         * @param value true for a gang
         * @return this builder
         */
        public Builder gang(boolean value) {
            gang = value;
            return this;
        }

        /**
         * Sets whether a gang is slower on more than one rack.
         *
         * @param value true when it is
         * @return this builder
         */
        public Builder sameRack(boolean value) {
            sameRack = value;
            return this;
        }

        /**
         * Sets the label that a worker must have.
         *
         * @param value the label, or empty
         * @return this builder
         */
        public Builder label(String value) {
            label = value;
            return this;
        }

        /**
         * Sets the rack where the data lies.
         *
         * @param value the rack, or empty
         * @return this builder
         */
        public Builder rack(String value) {
            rack = value;
            return this;
        }

        /**
         * Sets how many tasks may run on one worker.
         *
         * @param value the bound, 0 for none
         * @return this builder
         */
        public Builder maxPerWorker(int value) {
            maxPerWorker = value;
            return this;
        }

        /**
         * Sets whether tasks checkpoint their progress.
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
         * Sets whether the tasks use only processors that others leave unused.
         *
         * @param value true when they do
         * @return this builder
         */
        public Builder fillsGaps(boolean value) {
            fillsGaps = value;
            return this;
        }

        /**
         * Sets whether tasks have a latency target of their own.
         *
         * @param value true when they do
         * @return this builder
         */
        public Builder servesUsers(boolean value) {
            servesUsers = value;
            return this;
        }

        /**
         * Sets how many tasks may be unavailable at once by our own actions.
         *
         * @param value the number, 0 when not bounded
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
