package org.acaciafold.core.placement;

/** Works out the share of each team among the teams that hold or want something. */
final class ShareSystem {
    private final Tables tables;

    ShareSystem(Tables tables) {
        this.tables = tables;
    }

    void run() {
        double weights = 0;
        for (TeamRow team : tables.teams.values()) {
            weights += team.active() ? team.terms.weight() : 0;
        }
        for (TeamRow team : tables.teams.values()) {
            team.fairShare = team.active() ? team.terms.weight() / weights : 0;
            team.shareBefore = team.weightedShare(tables.capacity);
            team.wasAboveShare = team.shareBefore * team.terms.weight() >= team.fairShare;
        }
    }
}
