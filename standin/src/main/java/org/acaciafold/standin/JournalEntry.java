package org.acaciafold.standin;

/**
 * One thing that happened on a worker.
 *
 * @param atMs when, on the worker's clock in milliseconds
 * @param kind what
 * @param subject the task, or the correlation id of a live request
 * @param attempt the attempt of the task, 0 for a live request
 * @param detail the reason of an end, or the idempotency key of a live request
 */
public record JournalEntry(long atMs, Kind kind, String subject, long attempt, String detail) {
    /** What can happen on a worker. */
    public enum Kind {
        /** A task started. */
        TASK_STARTED,
        /** A task ended. */
        TASK_ENDED,
        /** A live request began. */
        REQUEST_STARTED,
        /** A live request ended. */
        REQUEST_ENDED,
        /** A live request was refused. */
        REQUEST_REFUSED
    }
}
