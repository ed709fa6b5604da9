package org.acaciafold.coordination;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.Write;

/** Writes the row of a homed job, and moves the row to the ended jobs once the job has ended. */
final class JobWrite implements TableWrite {
    private final HostState state;
    private final OwnedSlice slice;
    private final HomedJob job;
    private final JobRow row;
    private final long version;
    private final List<ReportedEnd> ends;

    private JobWrite(HostState state, OwnedSlice slice, HomedJob job) {
        this.state = state;
        this.slice = slice;
        this.job = job;
        this.row = job.row();
        this.version = job.version();
        this.ends = List.copyOf(job.unrecordedEnds());
    }

    static JobWrite of(HostState state, OwnedSlice slice, HomedJob job) {
        JobWrite write = new JobWrite(state, slice, job);
        job.beginWrite();
        return write;
    }

    @Override
    public boolean abandoned() {
        return state.owned().get(slice.id()) != slice;
    }

    @Override
    public List<Check> checks() {
        Check present = new Check(key(), version);
        return isFinal() ? List.of(present, new Check(endedKey(), 0)) : List.of(present);
    }

    @Override
    public void committed(long newVersion) {
        job.endWrite(newVersion);
        ends.forEach(ReportedEnd::markDurable);
        job.unrecordedEnds().removeAll(ends);
        if (isFinal()) {
            remove();
        }
    }

    @Override
    public void conflicted(Map<String, Row> current) {
        if (current.containsKey(endedKey())) {
            committed(current.get(endedKey()).version());
            remove();
            return;
        }
        Row found = current.get(key());
        Optional<JobRow> content = found == null ? Optional.empty() : JobRow.read(found);
        boolean here = content.isPresent() && content.get().movedTo().isEmpty();
        if (here) {
            job.reread(content.get(), found.version());
            job.failWrite();
        } else {
            remove();
        }
    }

    @Override
    public List<Write> writes() {
        Optional<byte[]> content = Optional.of(row.encoded());
        return isFinal()
                ? List.of(new Write(key(), Optional.empty()), new Write(endedKey(), content))
                : List.of(new Write(key(), content));
    }

    /** Removes a job that has ended or moved away from the slice. */
    private void remove() {
        job.unrecordedEnds().forEach(ReportedEnd::markDurable);
        job.unrecordedEnds().clear();
        slice.jobs().remove(job.id(), job);
        slice.placement().removeJob(job.id());
    }

    private boolean isFinal() {
        return row.phase() != JobPhase.WAITING;
    }

    private String endedKey() {
        return JobRow.endedKey(job.id());
    }

    private String key() {
        SliceId home = slice.id();
        return JobRow.key(home, job.id());
    }
}
