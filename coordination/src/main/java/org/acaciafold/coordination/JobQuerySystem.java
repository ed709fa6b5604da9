package org.acaciafold.coordination;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.placement.JobProgress;
import org.acaciafold.core.port.HostEntry;

/** Answers queries for the state of a job: from its owner if that replies in time, otherwise from its row. */
final class JobQuerySystem implements HostSystem {
    private static final long OWNER_TIMEOUT_MS = 500;

    private final HostState state;
    private final Map<Long, PendingQuery> pendingQueries = new HashMap<>();

    private JobQuerySystem(HostState state) {
        this.state = state;
    }

    static JobQuerySystem of(HostState state) {
        return new JobQuerySystem(state);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        if (event instanceof Event.ClientCalled called && called.body() instanceof ClientCall.QueryJob query) {
            answer(query, outbox, reply -> outbox.answer(called.call(), reply));
        }
        if (event instanceof Event.PeerReceived received) {
            receive(received, outbox);
        }
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        List<Long> expired = pendingQueries.entrySet().stream()
                .filter(entry -> nowMs >= entry.getValue().deadlineMs())
                .map(Map.Entry::getKey)
                .sorted()
                .toList();
        expired.forEach(call -> {
            PendingQuery waiting = pendingQueries.remove(call);
            waiting.then().accept(waiting.fallback());
        });
    }

    private void receive(Event.PeerReceived received, Outbox outbox) {
        PeerMessage message = received.message();
        if (message instanceof PeerMessage.Ask ask && ask.body() instanceof ClientCall.QueryJob query) {
            HostEntry entry = state.entryHosts().get(received.from());
            Optional<ClientReply> own = ownReply(query);
            if (entry != null && own.isPresent()) {
                outbox.send(received.from(), entry.address(), new PeerMessage.Told(ask.call(), own.get()));
            }
        }
        if (message instanceof PeerMessage.Told told) {
            PendingQuery waiting = pendingQueries.remove(told.call());
            if (waiting != null) {
                waiting.then().accept(told.body());
            }
        }
    }

    private void answer(ClientCall.QueryJob query, Outbox outbox, Consumer<ClientReply> then) {
        Optional<ClientReply> own = ownReply(query);
        if (own.isPresent()) {
            then.accept(own.get());
            return;
        }
        JobLookup.of(state, outbox).find(query.job(), result -> {
            switch (result) {
                case JobLookup.Result.Found found -> foundRow(query, found, outbox, then);
                case JobLookup.Result.Absent ignored -> then.accept(JobErrors.notFound(query.job()));
                case JobLookup.Result.Unavailable ignored ->
                    queryOwner(query, JobIds.firstHome(query.job()), JobErrors.unavailable(), outbox, then);
            }
        });
    }

    private void foundRow(
            ClientCall.QueryJob query, JobLookup.Result.Found found, Outbox outbox, Consumer<ClientReply> then) {
        if (!found.row().spec().workspace().equals(query.workspace())) {
            then.accept(JobErrors.forbidden(query.job()));
            return;
        }
        ClientReply fromRow = new ClientReply.JobFound(status(found.row(), found.home(), Optional.empty()));
        if (found.ended()) {
            then.accept(fromRow);
        } else {
            queryOwner(query, found.home(), fromRow, outbox, then);
        }
    }

    /** Queries the owner of a slice; uses the fallback reply if the owner does not reply in time. */
    private void queryOwner(
            ClientCall.QueryJob query, SliceId home, ClientReply fallback, Outbox outbox, Consumer<ClientReply> then) {
        long nowMs = state.clock().nowMs();
        Optional<HostId> owner = state.ownerOf(home, nowMs);
        HostEntry entry = owner.map(state.entryHosts()::get).orElse(null);
        if (entry == null || owner.get().equals(state.config().host())) {
            then.accept(fallback);
            return;
        }
        long call = state.nextPeerCall();
        pendingQueries.put(call, new PendingQuery(nowMs + OWNER_TIMEOUT_MS, fallback, then));
        outbox.send(owner.get(), entry.address(), new PeerMessage.Ask(call, query));
    }

    private Optional<ClientReply> ownReply(ClientCall.QueryJob query) {
        for (OwnedSlice slice : state.owned().values()) {
            HomedJob job = slice.jobs().get(query.job());
            if (job != null) {
                return Optional.of(reply(query.workspace(), slice, job));
            }
        }
        return Optional.empty();
    }

    private static ClientReply reply(WorkspaceId workspace, OwnedSlice slice, HomedJob job) {
        if (!job.row().spec().workspace().equals(workspace)) {
            return JobErrors.forbidden(job.id());
        }
        return new ClientReply.JobFound(
                status(job.row(), slice.id(), slice.placement().progress(job.id())));
    }

    private static JobStatus status(JobRow row, SliceId home, Optional<JobProgress> progress) {
        int ended = row.succeededCount() + row.failedCount();
        boolean hasEnded = row.phase() != JobPhase.WAITING;
        int remaining = hasEnded ? 0 : row.spec().kind().tasks() - ended;
        int running = hasEnded ? 0 : progress.map(JobProgress::running).orElse(0);
        int waiting = hasEnded ? 0 : progress.map(JobProgress::waiting).orElse(remaining);
        JobPhase phase = !hasEnded && running > 0 ? JobPhase.RUNNING : row.phase();
        return new JobStatus(
                row.spec().id(),
                row.spec().workspace(),
                row.spec().name(),
                home,
                phase,
                waiting,
                running,
                row.succeededCount(),
                row.failedCount(),
                row.problem().or(() -> progress.flatMap(JobProgress::problem)),
                row.results().stream().map(TaskResult::result).toList());
    }

    private record PendingQuery(long deadlineMs, ClientReply fallback, Consumer<ClientReply> then) {}
}
