package org.acaciafold.coordination;

import java.util.Optional;

import org.acaciafold.core.model.Fence;

/** What a host that does not own a slice has seen of its row. */
final class SliceWatch {
    private SliceRow row;
    private long version;
    private long unchangedSinceMs;
    private long writtenAfterMs;
    private long lastReadSentMs;
    private boolean known;
    private boolean interrupted;
    private long ownerHeardMs;
    private Fence highest = Fence.none();
    private long pendingEpoch = -1;
    private long pendingSentMs;
    private boolean callInFlight;
    private long notBeforeMs;

    /** Records a read of the row. */
    void read(Optional<SliceRow> value, long rowVersion, long sentMs, long nowMs) {
        if (!known || rowVersion != version) {
            writtenAfterMs = known ? lastReadSentMs : Times.NEVER_MS;
            unchangedSinceMs = nowMs;
        }
        if (interrupted) {
            unchangedSinceMs = nowMs;
        }
        interrupted = false;
        known = true;
        row = value.orElse(null);
        version = rowVersion;
        lastReadSentMs = sentMs;
        value.ifPresent(seen -> raise(Fence.of(seen.epoch(), 0)));
    }

    boolean interrupted() {
        return interrupted;
    }

    /** Records that a read was not answered, so that the wait starts anew with the next answer. */
    void interrupt() {
        interrupted = true;
    }

    /** Returns when a peer last told that it owns the slice, in milliseconds. */
    long ownerHeardMs() {
        return ownerHeardMs;
    }

    void ownerHeardMs(long value) {
        ownerHeardMs = value;
    }

    /** Keeps the highest fencing token that was heard of. */
    void raise(Fence fence) {
        if (fence.compareTo(highest) > 0) {
            highest = fence;
        }
    }

    /** Forgets the row, so that nothing is taken over before it was read again. */
    void forget() {
        known = false;
        pendingEpoch = -1;
    }

    /** Keeps the row that this host knew as the owner. */
    void keep(SliceRow value, long rowVersion) {
        if (rowVersion > version) {
            row = value;
            version = rowVersion;
            known = true;
        }
    }

    /** Starts the wait anew, as after a slice was given up. */
    void restart(long nowMs) {
        unchangedSinceMs = nowMs;
        pendingEpoch = -1;
    }

    Fence highest() {
        return highest;
    }

    boolean known() {
        return known;
    }

    Optional<SliceRow> row() {
        return Optional.ofNullable(row);
    }

    long version() {
        return version;
    }

    /** Returns when the answer came that first showed the row as it is, in milliseconds. */
    long unchangedSinceMs() {
        return unchangedSinceMs;
    }

    /** Returns a time before which the row as it is was certainly not yet written, in milliseconds. */
    long writtenAfterMs() {
        return writtenAfterMs;
    }

    /** Records that a takeover was sent. */
    void sent(long epoch, long sentMs) {
        pendingEpoch = epoch;
        pendingSentMs = sentMs;
        callInFlight = true;
    }

    void answered() {
        callInFlight = false;
    }

    boolean callInFlight() {
        return callInFlight;
    }

    /** Returns the epoch of a takeover whose answer is not known, -1 for none. */
    long pendingEpoch() {
        return pendingEpoch;
    }

    long pendingSentMs() {
        return pendingSentMs;
    }

    long notBeforeMs() {
        return notBeforeMs;
    }

    void notBeforeMs(long value) {
        notBeforeMs = value;
    }
}
