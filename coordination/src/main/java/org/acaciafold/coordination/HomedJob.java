package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.JobId;

/** A job homed in an owned slice, with the changes that are not durable yet. */
final class HomedJob {
    private final JobId id;
    private final List<ReportedEnd> unrecordedEnds = new ArrayList<>();
    private JobRow row;
    private long version;
    private long seenInScan;
    private boolean placed;
    private boolean dirty;
    private boolean writing;
    private boolean moving;

    private HomedJob(JobRow row, long version) {
        this.id = row.spec().id();
        this.row = row;
        this.version = version;
    }

    static HomedJob of(JobRow row, long version) {
        return new HomedJob(row, version);
    }

    /** Changes the row, which is written with the next transaction. */
    void change(JobRow value) {
        row = value;
        dirty = true;
    }

    /** Replaces the row by the one in the table, merged with local changes that are not durable yet. */
    void reread(JobRow found, long foundVersion) {
        version = foundVersion;
        row = dirty || writing ? row.merge(found) : found;
    }

    boolean dirty() {
        return dirty;
    }

    JobId id() {
        return id;
    }

    /**
     * Returns whether the job needs no review: it is placed, its row is recorded, and it is neither exclusive, moving
     * nor stopping.
     */
    boolean isUpToDate() {
        boolean stops =
                row.cancelled() || row.problem().isPresent() || row.spec().exclusive();
        return placed && !dirty && !moving && !stops;
    }

    /** Returns whether the job is moving to another slice. */
    boolean moving() {
        return moving;
    }

    void moving(boolean value) {
        moving = value;
    }

    /** Returns whether the job is submitted to placement. */
    boolean placed() {
        return placed;
    }

    void placed(boolean value) {
        placed = value;
    }

    JobRow row() {
        return row;
    }

    long seenInScan() {
        return seenInScan;
    }

    void seenInScan(long scan) {
        seenInScan = scan;
    }

    /** Returns the reported ends that are not yet durable in the row. */
    List<ReportedEnd> unrecordedEnds() {
        return unrecordedEnds;
    }

    long version() {
        return version;
    }

    boolean writing() {
        return writing;
    }

    /** Records that a write of the current row was queued. */
    void beginWrite() {
        dirty = false;
        writing = true;
    }

    /** Records that the write took effect. */
    void endWrite(long newVersion) {
        version = newVersion;
        writing = false;
    }

    /** Records that the write did not take effect and must be repeated. */
    void failWrite() {
        dirty = true;
        writing = false;
    }
}
