package org.acaciafold.coordination;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.settings.SettingsTree;

/** Writes the edits of this host to the table one at a time, so that they do not conflict with each other. */
final class EditQueue {
    private static final int LIMIT = 256;
    private static final long RETRY_AFTER_MS = 1_000;

    private final HostState state;
    private final Supplier<StoredTree> known;
    private final Deque<EditAttempt> waiting = new ArrayDeque<>();

    private EditQueue(HostState state, Supplier<StoredTree> known) {
        this.state = state;
        this.known = known;
    }

    static EditQueue of(HostState state, Supplier<StoredTree> known) {
        return new EditQueue(state, known);
    }

    /**
     * Queues an edit, or rejects it when its subtree is invalid or the queue is full.
     *
     * @param edit the edit
     * @param then receives the result, exactly once
     */
    void add(ClientCall.EditSettings edit, Consumer<EditResult> then) {
        if (!SettingsTree.validSubtree(edit.subtree())) {
            String message = edit.subtree() + " is not a subtree; right is workspace/NAME, domain/NAME or open";
            refuse(Failure.notRun(Step.SETTINGS, edit.subtree(), "unknown-subtree", message), then);
        } else if (waiting.size() >= LIMIT) {
            String peer = state.config().host().value();
            Failure full = Failure.notRun(Step.ADMISSION, peer, "queue-full", "too many edits wait at this host");
            refuse(full.withRetryAfterMs(RETRY_AFTER_MS), then);
        } else {
            waiting.add(EditAttempt.of(state, known, edit, then));
        }
    }

    /** Returns whether no edit is queued. */
    boolean isEmpty() {
        return waiting.isEmpty();
    }

    /** Removes finished edits and continues with the first remaining one. */
    void tick(long nowMs, Outbox outbox) {
        while (!waiting.isEmpty() && waiting.getFirst().finished()) {
            waiting.removeFirst();
        }
        if (!waiting.isEmpty()) {
            waiting.getFirst().tick(nowMs, outbox);
        }
    }

    private static void refuse(Failure failure, Consumer<EditResult> then) {
        then.accept(new EditResult.Refused(new ClientReply.Failed(failure)));
    }
}
