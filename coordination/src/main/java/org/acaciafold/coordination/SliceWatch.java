package org.acaciafold.coordination;

import java.util.Optional;

import org.acaciafold.core.model.Fence;

/** Tracks the row of a slice as a host that does not own the slice has read it. */
final class SliceWatch {
    private SliceRow row;
    private long version;
    private long unchangedSinceMs;
    private long writtenAfterMs;
    private long lastReadSentMs;
    private boolean rowKnown;
    private boolean interrupted;
    private long ownerAnnouncedMs;
    private Fence highest = Fence.none();
    private long pendingEpoch = -1;
    private long pendingSentMs;
    private boolean callInFlight;
    private long notBeforeMs;

    /** Records a read of the row. */
    void recordRead(Optional<SliceRow> value, long rowVersion, long sentMs, long nowMs) {
        if (!rowKnown || rowVersion != version) {
            writtenAfterMs = rowKnown ? lastReadSentMs : Times.NEVER_MS;
            unchangedSinceMs = nowMs;
        }
        if (interrupted) {
            unchangedSinceMs = nowMs;
        }
        interrupted = false;
        rowKnown = true;
        row = value.orElse(null);
        version = rowVersion;
        lastReadSentMs = sentMs;
        value.ifPresent(current -> raiseHighest(Fence.of(current.epoch(), 0)));
    }

    boolean interrupted() {
        return interrupted;
    }

    /** Records that a read was not answered; the wait restarts with the next answer. */
    void interrupt() {
        interrupted = true;
    }

    /** Returns the time at which a peer last announced itself as the owner, or the wait restarted, in milliseconds. */
    long ownerAnnouncedMs() {
        return ownerAnnouncedMs;
    }

    void ownerAnnouncedMs(long value) {
        ownerAnnouncedMs = value;
    }

    /** Raises the highest known fencing token to the given one, if that is higher. */
    void raiseHighest(Fence fence) {
        if (fence.compareTo(highest) > 0) {
            highest = fence;
        }
    }

    /** Discards the row, so that no takeover happens before the row is read again. */
    void discardRow() {
        rowKnown = false;
        pendingEpoch = -1;
    }

    /** Stores the row that this host last knew as the owner, if it is newer. */
    void retain(SliceRow value, long rowVersion) {
        if (rowVersion > version) {
            row = value;
            version = rowVersion;
            rowKnown = true;
        }
    }

    /** Restarts the wait, for example after the slice was given up. */
    void restart(long nowMs) {
        unchangedSinceMs = nowMs;
        pendingEpoch = -1;
    }

    Fence highest() {
        return highest;
    }

    boolean rowKnown() {
        return rowKnown;
    }

    Optional<SliceRow> row() {
        return Optional.ofNullable(row);
    }

    long version() {
        return version;
    }

    /** Returns the time since which all answered reads have shown the row unchanged, in milliseconds. */
    long unchangedSinceMs() {
        return unchangedSinceMs;
    }

    /** Returns a time before which the current version of the row was certainly not written, in milliseconds. */
    long writtenAfterMs() {
        return writtenAfterMs;
    }

    /** Records that the write of a takeover was sent to the table. */
    void takeoverSent(long epoch, long sentMs) {
        pendingEpoch = epoch;
        pendingSentMs = sentMs;
        callInFlight = true;
    }

    void takeoverAnswered() {
        callInFlight = false;
    }

    boolean callInFlight() {
        return callInFlight;
    }

    /** Returns the epoch of the last takeover that was sent and can still be completed, -1 if there is none. */
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
