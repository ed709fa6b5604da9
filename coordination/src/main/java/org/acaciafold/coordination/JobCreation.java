package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.JobId;
import org.acaciafold.core.model.JobSpec;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.Write;

/** Writes a new job, and the key under which a repeated submission finds it. */
final class JobCreation implements TableWrite {
    private static final String TABLE = "table";

    private final JobRow row;
    private final SliceId home;
    private final Optional<String> submissionKey;
    private final SubmissionRow submission;
    private final long deadlineMs;
    private final Consumer<ClientReply> answer;
    private boolean answered;
    private boolean sent;

    private JobCreation(
            JobSpec spec,
            SliceId home,
            Optional<String> submissionKey,
            long digest,
            long deadlineMs,
            Consumer<ClientReply> answer) {
        this.row = JobRow.of(spec);
        this.home = home;
        this.submissionKey = submissionKey;
        this.submission = new SubmissionRow(spec.id(), home, digest);
        this.deadlineMs = deadlineMs;
        this.answer = answer;
    }

    /**
     * Creates the write.
     *
     * @param spec the job
     * @param home the slice in which the job is first homed
     * @param submissionKey the key of the row that repeated submissions read, empty for none
     * @param digest a digest of the submission
     * @param deadlineMs the time in milliseconds at which the call fails because the table is unresponsive
     * @param answer receives the reply, exactly once
     * @return the write
     */
    static JobCreation of(
            JobSpec spec,
            SliceId home,
            Optional<String> submissionKey,
            long digest,
            long deadlineMs,
            Consumer<ClientReply> answer) {
        return new JobCreation(spec, home, submissionKey, digest, deadlineMs, answer);
    }

    @Override
    public boolean abandoned() {
        return answered;
    }

    @Override
    public List<Check> checks() {
        List<Check> checks = new ArrayList<>();
        checks.add(new Check(JobRow.key(home, job()), 0));
        checks.add(new Check(JobRow.endedKey(job()), 0));
        submissionKey.ifPresent(key -> checks.add(new Check(key, 0)));
        return checks;
    }

    @Override
    public void committed(long version) {
        finish(new ClientReply.Submitted(job(), home));
    }

    @Override
    public void conflicted(Map<String, Row> current) {
        boolean own = current.containsKey(JobRow.key(home, job())) || current.containsKey(JobRow.endedKey(job()));
        if (own) {
            finish(new ClientReply.Submitted(job(), home));
            return;
        }
        Optional<SubmissionRow> first =
                submissionKey.map(current::get).flatMap(found -> RowCodec.decode(found, SubmissionRow.class));
        if (first.isPresent() && first.get().digest() == submission.digest()) {
            finish(new ClientReply.Submitted(first.get().job(), first.get().home()));
        } else {
            String message = "the key was used for another submission";
            finish(new ClientReply.Failed(Failure.notRun(Step.ADMISSION, TABLE, "key-reused", message)));
        }
    }

    /** Fails the call if the table has not replied before the deadline. */
    void expire(long nowMs) {
        if (answered || nowMs < deadlineMs) {
            return;
        }
        String message = sent
                ? "the table did not answer; the job may be recorded"
                : "the table does not answer; the job was not recorded";
        Failure failure = sent
                ? Failure.unknown(Step.TABLE, TABLE, "table-unavailable", message)
                : Failure.notRun(Step.TABLE, TABLE, "table-unavailable", message);
        finish(new ClientReply.Failed(failure.withRetryAfterMs(1_000)));
    }

    /** Returns whether the reply was sent to the caller. */
    boolean answered() {
        return answered;
    }

    @Override
    public void sending() {
        sent = true;
    }

    @Override
    public List<Write> writes() {
        List<Write> writes = new ArrayList<>();
        writes.add(new Write(JobRow.key(home, job()), Optional.of(row.encoded())));
        submissionKey.ifPresent(key ->
                writes.add(new Write(key, Optional.of(RowCodec.encode(submission, SubmissionRow.class)))));
        return writes;
    }

    private void finish(ClientReply reply) {
        if (!answered) {
            answered = true;
            answer.accept(reply);
        }
    }

    private JobId job() {
        return row.spec().id();
    }
}
