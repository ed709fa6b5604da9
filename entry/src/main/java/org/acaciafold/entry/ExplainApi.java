package org.acaciafold.entry;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;

/** Answers an operator who asks why a job waits: the leader tells what it believes, other hosts tell who leads. */
final class ExplainApi {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;
    private static final int NOT_LEADER = 421;
    private static final int UNAVAILABLE = 503;

    private final String host;
    private final LeaderView view;
    private final Supplier<Optional<LeaseRecord>> otherLeader;

    /**
     * Creates the interface of a host.
     *
     * @param host the host's name
     * @param view what the running term of this host believes
     * @param otherLeader returns the lease of another host that leads
     */
    ExplainApi(String host, LeaderView view, Supplier<Optional<LeaseRecord>> otherLeader) {
        this.host = host;
        this.view = view;
        this.otherLeader = otherLeader;
    }

    /** Describes a job, in lines of names and values as in the log. */
    ClientReply explain(String job) {
        if (view.leads()) {
            return view.explain(job)
                    .map(lines -> text(OK, lines))
                    .orElseGet(() -> text(NOT_FOUND, List.of("job unknown job=" + job + " leader=" + host)));
        }
        return otherLeader
                .get()
                .map(lease ->
                        "not the leader host=%s leader=%s address=%s".formatted(host, lease.host(), lease.address()))
                .map(line -> text(NOT_LEADER, List.of(line)))
                .orElseGet(() -> text(UNAVAILABLE, List.of("no leader is heard host=" + host)));
    }

    private static ClientReply text(int status, List<String> lines) {
        String body = String.join("\n", lines) + "\n";
        return new ClientReply(status, body.getBytes(StandardCharsets.UTF_8), 0);
    }
}
