package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.JobId;

/** A job homed in an owned slice, with what of it is not durable yet. */
final class HomedJob {
    private final JobId id;
    private final List<ReportedEnd> unrecorded = new ArrayList<>();
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

    /** Changes the row; it is written with the next transaction. */
    void change(JobRow value) {
        row = value;
        dirty = true;
    }

    /** Takes what the table has, and what was changed here since. */
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

    /** Returns whether nothing has to be decided about the job: it is placed and its row is as recorded. */
    boolean isQuiet() {
        boolean stops =
                row.cancelled() || row.problem().isPresent() || row.spec().exclusive();
        return placed && !dirty && !moving && !stops;
    }

    /** Returns whether the job is on its way to another slice. */
    boolean moving() {
        return moving;
    }

    void moving(boolean value) {
        moving = value;
    }

    /** Returns whether placement has the job. */
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

    /** Returns the ends whose record is not durable. */
    List<ReportedEnd> unrecorded() {
        return unrecorded;
    }

    long version() {
        return version;
    }

    boolean writing() {
        return writing;
    }

    /** Records that the row as it is was handed to the writer. */
    void beginWrite() {
        dirty = false;
        writing = true;
    }

    /** Records that the write took effect. */
    void endWrite(long newVersion) {
        version = newVersion;
        writing = false;
    }

    /** Records that the write did not take effect and must be made again. */
    void failWrite() {
        dirty = true;
        writing = false;
    }
}
