package org.acaciafold.coordination;

/**
 * A reported end whose durable record is still to be written.
 *
 * @param link the worker that reported it
 * @param reported the end
 */
record PendingEnd(WorkerLink link, ReportedEnd reported) {}
