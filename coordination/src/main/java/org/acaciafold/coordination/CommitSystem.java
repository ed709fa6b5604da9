package org.acaciafold.coordination;

/** Sends the pending writes of the other systems, once per tick. */
final class CommitSystem implements HostSystem {
    private final GroupCommit commits;

    private CommitSystem(GroupCommit commits) {
        this.commits = commits;
    }

    static CommitSystem of(GroupCommit commits) {
        return new CommitSystem(commits);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        // handles no events; tick does all the work
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        commits.tick(nowMs, outbox);
    }
}
