package org.acaciafold.coordination;

import java.util.Optional;

/** A claim or an outcome that is not yet recorded in the table. */
final class ClaimEntry {
    private final String key;
    private final String digest;
    private final String attempt;
    private final long deadlineMs;
    private long call;
    private long version;
    private boolean claimed;
    private Optional<StoredOutcome> outcome = Optional.empty();
    private boolean abandoned;
    private boolean abandonmentSent;

    private ClaimEntry(String key, String digest, String attempt, long call, long deadlineMs) {
        this.key = key;
        this.digest = digest;
        this.attempt = attempt;
        this.call = call;
        this.deadlineMs = deadlineMs;
    }

    static ClaimEntry of(String key, String digest, String attempt, long call, long deadlineMs) {
        return new ClaimEntry(key, digest, attempt, call, deadlineMs);
    }

    /** Marks the claim as abandoned: its request is never sent. */
    void abandon() {
        abandoned = true;
    }

    boolean abandoned() {
        return abandoned;
    }

    /** Returns whether the last write recorded the abandonment. */
    boolean abandonmentSent() {
        return abandonmentSent;
    }

    String attempt() {
        return attempt;
    }

    /** Returns the number of the call to answer next. */
    long call() {
        return call;
    }

    /** Records that the claim is durable in the table. */
    void claimed(long rowVersion) {
        claimed = true;
        version = rowVersion;
    }

    boolean claimed() {
        return claimed;
    }

    /** Returns the time after which the claim fails as not run, in milliseconds. */
    long deadlineMs() {
        return deadlineMs;
    }

    String digest() {
        return digest;
    }

    /** Returns the key of the table row. */
    String key() {
        return key;
    }

    /** Returns the intended content of the row. */
    ClaimRow row() {
        ClaimRow row = ClaimRow.of(attempt, digest);
        if (abandoned) {
            return row.abandon();
        }
        return outcome.map(row::settle).orElse(row);
    }

    /** Records the outcome and the call that is answered once the outcome is durable. */
    void settle(long settleCall, StoredOutcome value) {
        call = settleCall;
        outcome = Optional.of(value);
    }

    /** Returns the row to write, and notes whether it records the abandonment. */
    ClaimRow rowToWrite() {
        abandonmentSent = abandoned;
        return row();
    }

    /** Returns the version of the row that the next write replaces, 0 for an absent row. */
    long version() {
        return version;
    }

    void version(long value) {
        version = value;
    }
}
