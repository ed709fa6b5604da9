package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.Write;

/** Moves the home of a job to another slice, and replaces its old row by one that names the new home. */
final class JobMove implements TableWrite {
    private final JobRow row;
    private final SliceId from;
    private final SliceId to;
    private final List<Check> conditions;
    private final Listener listener;
    private long targetVersion;
    private boolean finished;

    private JobMove(JobRow row, SliceId from, SliceId to, List<Check> conditions, Listener listener) {
        this.row = row;
        this.from = from;
        this.to = to;
        this.conditions = List.copyOf(conditions);
        this.listener = listener;
    }

    /**
     * Creates a move.
     *
     * @param row the current row of the job
     * @param from the slice that the job leaves
     * @param to the new home of the job
     * @param conditions the checks of the transaction, including the version of the job's row
     * @param listener receives the outcome
     * @return the write
     */
    static JobMove of(JobRow row, SliceId from, SliceId to, List<Check> conditions, Listener listener) {
        return new JobMove(row, from, to, conditions, listener);
    }

    @Override
    public boolean abandoned() {
        return finished || listener.obsolete();
    }

    @Override
    public List<Check> checks() {
        List<Check> checks = new ArrayList<>(conditions);
        checks.add(new Check(targetKey(), targetVersion));
        return checks;
    }

    @Override
    public void committed(long version) {
        finished = true;
        listener.moved(job(), to);
    }

    @Override
    public void conflicted(Map<String, Row> current) {
        Row source = current.get(JobRow.key(from, job()));
        boolean moved =
                source != null && JobRow.read(source).flatMap(JobRow::movedTo).equals(Optional.of(to));
        Row target = current.get(targetKey());
        boolean conditionsHold =
                conditions.stream().allMatch(check -> version(current, check.key()) == check.version());
        if (moved) {
            committed(source.version());
        } else if (conditionsHold
                && target != null
                && JobRow.read(target).flatMap(JobRow::movedTo).isPresent()) {
            targetVersion = target.version();
            listener.retry(this);
        } else {
            finished = true;
            listener.failed(job());
        }
    }

    @Override
    public List<Write> writes() {
        return List.of(
                new Write(JobRow.key(from, job()), Optional.of(row.movedTo(to).encoded())),
                new Write(targetKey(), Optional.of(row.encoded())));
    }

    private JobId job() {
        return row.spec().id();
    }

    private String targetKey() {
        return JobRow.key(to, job());
    }

    private static long version(Map<String, Row> current, String key) {
        return current.containsKey(key) ? current.get(key).version() : 0;
    }

    /** Receives the outcome of a move. */
    interface Listener {
        /** Queues the move again, with the current version of the target row as its check. */
        void retry(JobMove move);

        /** Called when a condition no longer holds, so the job stays in its slice. */
        void failed(JobId job);

        /** Called when the new home is durable. */
        void moved(JobId job, SliceId to);

        /** Returns whether the move is obsolete. */
        boolean obsolete();
    }
}
