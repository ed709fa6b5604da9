package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.SliceId;

/** Records cancellations in the rows of jobs and notifies the owners of the slices in which the jobs are homed. */
final class CancelSystem implements HostSystem {
    private static final int DEADLINE_TIMEOUTS = 3;

    private final HostState state;
    private final GroupCommit commits;
    private final SubmitSystem notices;
    private final List<Cancellation> open = new ArrayList<>();

    private CancelSystem(HostState state, GroupCommit commits, SubmitSystem notices) {
        this.state = state;
        this.commits = commits;
        this.notices = notices;
    }

    static CancelSystem of(HostState state, GroupCommit commits, SubmitSystem notices) {
        return new CancelSystem(state, commits, notices);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        if (event instanceof Event.ClientCalled called && called.body() instanceof ClientCall.Cancel cancel) {
            long deadlineMs =
                    state.clock().nowMs() + DEADLINE_TIMEOUTS * state.config().callTimeoutMs();
            Cancellation cancellation =
                    Cancellation.of(cancel, deadlineMs, reply -> outbox.answer(called.call(), reply));
            open.add(cancellation);
            find(cancellation, outbox);
        }
    }

    @Override
    public boolean idle() {
        return open.isEmpty();
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        open.forEach(cancellation -> cancellation.expire(nowMs));
        open.removeIf(Cancellation::abandoned);
    }

    /** Reads the row and queues the write; called again when the row has changed before the write. */
    private void find(Cancellation cancellation, Outbox outbox) {
        JobLookup.of(state, outbox).find(cancellation.job(), result -> {
            if (cancellation.abandoned()) {
                return;
            }
            switch (result) {
                case JobLookup.Result.Found found -> {
                    boolean done = found.ended() || found.row().cancelled();
                    if (cancellation.checkWorkspace(found.row(), done)) {
                        write(cancellation, found, outbox);
                    }
                }
                case JobLookup.Result.Absent ignored -> cancellation.answer(JobErrors.notFound(cancellation.job()));
                case JobLookup.Result.Unavailable ignored -> find(cancellation, outbox);
            }
        });
    }

    private void write(Cancellation cancellation, JobLookup.Result.Found found, Outbox outbox) {
        SliceId home = found.home();
        commits.add(new CancellationWrite(
                cancellation,
                found,
                () -> notices.notifyOwner(home, cancellation.job()),
                () -> find(cancellation, outbox)));
    }
}
