package org.acaciafold.proof.fuzz;

/** Sets the initial workspace limits of a simulated cluster and waits until they are in force. */
final class Bootstrap {
    private static final long MAX_WAIT_MS = 60_000;
    private static final long POLL_INTERVAL_MS = 100;
    private static final long EDIT_INTERVAL_MS = 2_000;
    private static final int LIMIT_CORES = 40;

    private final World world;

    private Bootstrap(World world) {
        this.world = world;
    }

    static Bootstrap of(World world) {
        return new Bootstrap(world);
    }

    void run() {
        for (int workspace = 0; workspace < Clients.WORKSPACES; workspace++) {
            world.clients().setLimit(workspace, LIMIT_CORES, world.host(0));
            world.advance(EDIT_INTERVAL_MS);
        }
        Oracle oracle = world.oracle();
        for (long waitedMs = 0;
                waitedMs < MAX_WAIT_MS && !oracle.limitsAccepted(Clients.WORKSPACES);
                waitedMs += POLL_INTERVAL_MS) {
            world.advance(POLL_INTERVAL_MS);
        }
        if (!oracle.limitsAccepted(Clients.WORKSPACES)) {
            oracle.reportViolation(world.nowMs(), "the initial settings did not come into force");
        }
    }
}
