package org.acaciafold.coordination;

import java.util.function.Consumer;

import org.acaciafold.core.model.JobId;

/** A cancellation that is not yet recorded in the table. */
final class Cancellation {
    private final ClientCall.Cancel call;
    private final long deadlineMs;
    private final Consumer<ClientReply> then;
    private boolean answered;
    private boolean sent;

    private Cancellation(ClientCall.Cancel call, long deadlineMs, Consumer<ClientReply> then) {
        this.call = call;
        this.deadlineMs = deadlineMs;
        this.then = then;
    }

    static Cancellation of(ClientCall.Cancel call, long deadlineMs, Consumer<ClientReply> then) {
        return new Cancellation(call, deadlineMs, then);
    }

    boolean abandoned() {
        return answered;
    }

    void answer(ClientReply reply) {
        if (!answered) {
            answered = true;
            then.accept(reply);
        }
    }

    /**
     * Rejects a caller of another workspace, and confirms a cancellation that needs no write.
     *
     * @param row the job
     * @param done whether the job has ended or is already cancelled
     * @return whether the cancellation must still be written
     */
    boolean checkWorkspace(JobRow row, boolean done) {
        if (!row.spec().workspace().equals(call.workspace())) {
            answer(JobErrors.forbidden(call.job()));
        } else if (done) {
            answer(new ClientReply.Cancelling(call.job()));
        }
        return !answered;
    }

    void expire(long nowMs) {
        if (nowMs >= deadlineMs) {
            answer(sent ? JobErrors.unknown() : JobErrors.unavailable());
        }
    }

    JobId job() {
        return call.job();
    }

    void sent() {
        sent = true;
    }
}
