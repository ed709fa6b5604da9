package org.acaciafold.fleet.scheduling;

/**
 * A worker on which a step may run, with the ticket that proves it.
 *
 * @param ticket what a start has to carry
 * @param expiresAtMs until when the worker accepts it, on our clock
 * @param incarnation the life of the worker that it was given for
 */
record Ticket(String ticket, long expiresAtMs, long incarnation) {
    boolean expired(long nowMs) {
        return nowMs >= expiresAtMs;
    }

    boolean valid(long nowMs, long workerIncarnation) {
        return !expired(nowMs) && incarnation == workerIncarnation;
    }
}
