package org.acaciafold.fleet.scheduling;

/**
 * A ticket from placement advice that permits a step to start on a worker.
 *
 * @param ticket the ticket that an order to start must include
 * @param expiresAtMs when the worker stops accepting the ticket, on the monotonic clock of this host
 * @param incarnation the incarnation of the worker for which the ticket was issued
 */
record Ticket(String ticket, long expiresAtMs, long incarnation) {
    boolean expired(long nowMs) {
        return nowMs >= expiresAtMs;
    }

    boolean valid(long nowMs, long workerIncarnation) {
        return !expired(nowMs) && incarnation == workerIncarnation;
    }
}
