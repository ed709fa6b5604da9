package org.acaciafold.coordination;

/**
 * A reported end that waits for its record.
 *
 * @param link the worker that reported it
 * @param reported the end
 */
record PendingEnd(WorkerLink link, ReportedEnd reported) {}
