package org.acaciafold.coordination;

/** Sends what the other systems want written, once in each tick. */
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
        // everything happens in ticks
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        commits.tick(nowMs, outbox);
    }
}
