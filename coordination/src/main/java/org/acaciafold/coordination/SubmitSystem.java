package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.model.WorkspaceId;
import org.acaciafold.core.port.HostEntry;

/** Records submitted jobs in the table and notifies the owners of their home slices. */
final class SubmitSystem implements HostSystem {
    /** The deadline of a submission, as a multiple of the timeout of a call. */
    private static final int DEADLINE_TIMEOUTS = 3;

    private static final long NOTICE_INTERVAL_MS = 500;
    private static final int NOTICE_ATTEMPTS = 60;
    private static final long NO_HOME_RETRY_MS = 1_000;

    private final HostState state;
    private final GroupCommit commits;
    private final JobSystem jobs;
    private final HomeSelector homeSelector;
    private final List<JobCreation> openCreations = new ArrayList<>();
    private final Map<JobId, Notice> notices = new TreeMap<>();
    private long lastNumber;

    private SubmitSystem(HostState state, GroupCommit commits, JobSystem jobs) {
        this.state = state;
        this.commits = commits;
        this.jobs = jobs;
        this.homeSelector = HomeSelector.of(state);
    }

    static SubmitSystem of(HostState state, GroupCommit commits, JobSystem jobs) {
        return new SubmitSystem(state, commits, jobs);
    }

    @Override
    public void apply(Event event, Outbox outbox) {
        if (event instanceof Event.ClientCalled called && called.body() instanceof ClientCall.Submit submit) {
            submit(called.call(), submit, outbox);
        }
        if (event instanceof Event.PeerReceived received && received.message() instanceof PeerMessage.JobKnown known) {
            notices.remove(known.job());
        }
    }

    @Override
    public boolean idle() {
        return openCreations.isEmpty();
    }

    @Override
    public void tick(long nowMs, Outbox outbox) {
        openCreations.forEach(creation -> creation.expire(nowMs));
        openCreations.removeIf(JobCreation::answered);
        notices.values().removeIf(notice -> notice.attempts >= NOTICE_ATTEMPTS);
        for (Notice notice : List.copyOf(notices.values())) {
            if (nowMs >= notice.nextMs) {
                send(notice, nowMs, outbox);
            }
        }
    }

    /** Notifies the owner of a slice of a new or changed job; repeats the notice until the owner has read the job. */
    void notifyOwner(SliceId slice, JobId job) {
        notices.put(job, new Notice(slice, job));
    }

    private void submit(long call, ClientCall.Submit submit, Outbox outbox) {
        long nowMs = state.clock().nowMs();
        JobRequest request = submit.request();
        Optional<SliceId> home =
                homeSelector.choose(request.demand(), request.kind().tasks(), nowMs);
        if (home.isEmpty()) {
            Failure failure = Failure.notRun(
                    Step.ROUTING, state.config().host().value(), "no-owner", "no owner of a slice is known");
            outbox.answer(call, new ClientReply.Failed(failure.withRetryAfterMs(NO_HOME_RETRY_MS)));
            return;
        }
        JobSpec spec = spec(JobIds.of(home.get(), state.config(), ++lastNumber), submit.workspace(), request);
        Optional<String> key = submit.submissionKey().isEmpty()
                ? Optional.empty()
                : Optional.of(SubmissionRow.key(submit.workspace(), submit.submissionKey()));
        long deadlineMs = nowMs + DEADLINE_TIMEOUTS * state.config().callTimeoutMs();
        long digest = StableHash.of(request.toString());
        JobCreation creation = JobCreation.of(spec, home.get(), key, digest, deadlineMs, reply -> {
            outbox.answer(call, reply);
            if (reply instanceof ClientReply.Submitted submitted) {
                notifyOwner(submitted.home(), submitted.job());
            }
        });
        openCreations.add(creation);
        commits.add(creation);
    }

    private void send(Notice notice, long nowMs, Outbox outbox) {
        notice.attempts++;
        notice.nextMs = nowMs + NOTICE_INTERVAL_MS;
        HostId self = state.config().host();
        Optional<HostId> owner = state.ownerOf(notice.slice, nowMs);
        if (owner.isPresent() && owner.get().equals(self)) {
            jobs.readHomedJob(notice.slice, notice.job, self, outbox);
            notices.remove(notice.job);
            return;
        }
        HostEntry entry = owner.map(state.entryHosts()::get).orElse(null);
        if (entry != null) {
            outbox.send(owner.get(), entry.address(), new PeerMessage.JobHomed(notice.slice, notice.job));
        }
    }

    private static JobSpec spec(JobId id, WorkspaceId workspace, JobRequest request) {
        return JobSpec.builder(id, workspace, request.name(), request.kind())
                .demand(request.demand())
                .priority(request.priority())
                .exclusive(request.exclusive())
                .runTimeMs(request.runTimeMs())
                .payload(request.payload())
                .build();
    }

    private static final class Notice {
        private final SliceId slice;
        private final JobId job;
        private int attempts;
        private long nextMs = Times.NEVER_MS;

        private Notice(SliceId slice, JobId job) {
            this.slice = slice;
            this.job = job;
        }
    }
}
