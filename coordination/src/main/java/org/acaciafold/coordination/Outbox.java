package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;

/**
 * Collects the effects of a tick and stores the callback of each pending call.
 *
 * <p>Each callback runs exactly once: with the answer, or after the timeout with {@link TableReply.Unavailable} or
 * {@link WorkerReply.Lost}. Late answers are dropped and counted.
 */
final class Outbox {
    private static final String TIMED_OUT = "no answer within the timeout";

    private final long timeoutMs;
    private final List<Effect> effects = new ArrayList<>();
    private final Map<Long, Pending> pending = new HashMap<>();
    private long lastCall;
    private long lateAnswers;
    private boolean tableAnswers;

    private Outbox(long timeoutMs) {
        this.timeoutMs = timeoutMs;
    }

    /**
     * Creates an outbox.
     *
     * @param timeoutMs the timeout of a call in milliseconds
     * @return the outbox
     */
    static Outbox of(long timeoutMs) {
        return new Outbox(timeoutMs);
    }

    /**
     * Adds the answer to a call of a caller or operator.
     *
     * @param call the number of the call
     * @param reply the answer
     */
    void answer(long call, ClientReply reply) {
        effects.add(new Effect.AnswerClient(call, reply));
    }

    /**
     * Adds a request to the table service.
     *
     * @param nowMs the time in milliseconds
     * @param request the request
     * @param then the callback for the answer
     */
    void call(long nowMs, TableRequest request, Consumer<TableReply> then) {
        long call = ++lastCall;
        Consumer<Object> onAnswer = reply -> then.accept((TableReply) reply);
        pending.put(call, new Pending(nowMs + timeoutMs, onAnswer, new TableReply.Unavailable(TIMED_OUT)));
        effects.add(new Effect.CallTable(call, request));
    }

    /**
     * Adds a command to a worker.
     *
     * @param nowMs the time in milliseconds
     * @param worker the worker
     * @param address the address at which the worker accepts commands
     * @param command the command
     * @param then the callback for the answer
     */
    void call(long nowMs, WorkerId worker, String address, WorkerCommand command, Consumer<WorkerReply> then) {
        long call = ++lastCall;
        Consumer<Object> onAnswer = reply -> then.accept((WorkerReply) reply);
        pending.put(call, new Pending(nowMs + timeoutMs, onAnswer, new WorkerReply.Lost(TIMED_OUT)));
        effects.add(new Effect.CallWorker(call, worker, address, command));
    }

    /**
     * Runs the callback of a call with its answer.
     *
     * @param call the number of the call
     * @param reply the answer
     */
    void deliver(long call, Object reply) {
        Pending waiting = pending.remove(call);
        if (waiting == null) {
            lateAnswers++;
            return;
        }
        accept(waiting, reply);
    }

    /**
     * Returns and clears the effects collected so far.
     *
     * @return the effects in the order in which they were added
     */
    List<Effect> drain() {
        List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    /**
     * Runs the callbacks of the calls whose timeout has passed.
     *
     * @param nowMs the time in milliseconds
     */
    void expire(long nowMs) {
        List<Long> expired = new ArrayList<>();
        pending.forEach((call, waiting) -> {
            if (waiting.deadlineMs() <= nowMs) {
                expired.add(call);
            }
        });
        expired.sort(Long::compare);
        for (Long call : expired) {
            Pending waiting = pending.remove(call);
            accept(waiting, waiting.onTimeout());
        }
    }

    /**
     * Returns the number of answers that arrived after their timeout.
     *
     * @return the count since the start
     */
    long lateAnswers() {
        return lateAnswers;
    }

    /**
     * Adds a message to a peer.
     *
     * @param to the peer
     * @param address the address at which the peer accepts messages
     * @param message the message
     */
    void send(HostId to, String address, PeerMessage message) {
        effects.add(new Effect.SendPeer(to, address, message));
    }

    /** Signals that all slices are handed over and the process may end. */
    void stopped() {
        effects.add(new Effect.Stopped());
    }

    /**
     * Returns whether the table service is available.
     *
     * @return true if the last completed call to it was answered in time
     */
    boolean tableAnswers() {
        return tableAnswers;
    }

    private void accept(Pending waiting, Object reply) {
        if (reply instanceof TableReply) {
            tableAnswers = !(reply instanceof TableReply.Unavailable);
        }
        waiting.then().accept(reply);
    }

    private record Pending(long deadlineMs, Consumer<Object> then, Object onTimeout) {}
}
