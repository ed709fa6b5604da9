package org.acaciafold.coordination;

import java.util.Optional;

/** A claim or its outcome on the way to the table. */
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

    /** Marks the claim as one whose request is never sent. */
    void abandon() {
        abandoned = true;
    }

    boolean abandoned() {
        return abandoned;
    }

    /** Returns whether the last write told of the abandonment. */
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

    /** Records that the table holds the claim. */
    void claimed(long rowVersion) {
        claimed = true;
        version = rowVersion;
    }

    boolean claimed() {
        return claimed;
    }

    /** Returns when the caller is told that the request did not run. */
    long deadlineMs() {
        return deadlineMs;
    }

    String digest() {
        return digest;
    }

    /** Returns the key of the row. */
    String key() {
        return key;
    }

    /** Returns the row as it should become. */
    ClaimRow row() {
        ClaimRow row = ClaimRow.of(attempt, digest);
        if (abandoned) {
            return row.abandon();
        }
        return outcome.map(row::settle).orElse(row);
    }

    /** Records the outcome, to be answered to another call. */
    void settle(long settleCall, StoredOutcome value) {
        call = settleCall;
        outcome = Optional.of(value);
    }

    /** Returns the row to write now. */
    ClaimRow send() {
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
