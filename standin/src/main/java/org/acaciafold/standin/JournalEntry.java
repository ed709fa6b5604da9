package org.acaciafold.standin;

/**
 * One event on a worker.
 *
 * @param atMs the time of the event on the worker's clock in milliseconds
 * @param kind the kind of event
 * @param subject the identifier of the task, or the correlation id of the live request
 * @param attempt the attempt of the task, 0 for a live request
 * @param detail the reason why a task ended, the idempotency key of a live request, or the code of its rejection;
 *     empty when a task starts
 */
public record JournalEntry(long atMs, Kind kind, String subject, long attempt, String detail) {
    /** The kinds of event. */
    public enum Kind {
        /** A task started. */
        TASK_STARTED,
        /** A task ended. */
        TASK_ENDED,
        /** A live request started. */
        REQUEST_STARTED,
        /** A live request ended. */
        REQUEST_ENDED,
        /** A live request was rejected. */
        REQUEST_REFUSED
    }
}
