package org.acaciafold.proof.fuzz;

import java.util.EnumMap;
import java.util.Map;

import org.acaciafold.coordination.Effect;
import org.acaciafold.coordination.PeerMessage;
import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.WorkerCommand;

/** Counts the control messages that all entry hosts send, and their encoded bytes. */
final class Traffic {
    enum Kind {
        TABLE_READ,
        TABLE_COMMIT,
        WORKER_CLAIM,
        WORKER_COMMAND,
        PEER_MESSAGE
    }

    private final Map<Kind, Long> messages = new EnumMap<>(Kind.class);
    private final Map<Kind, Long> bytes = new EnumMap<>(Kind.class);
    private boolean counting;

    void start() {
        counting = true;
    }

    void count(Effect effect) {
        if (!counting) {
            return;
        }
        switch (effect) {
            case Effect.CallTable call -> {
                boolean commit = call.request() instanceof TableRequest.Commit;
                byte[] encoded = Codec.json().encode(call.request(), TableRequest.class);
                add(commit ? Kind.TABLE_COMMIT : Kind.TABLE_READ, encoded.length);
            }
            case Effect.CallWorker call -> {
                boolean claim = call.command() instanceof WorkerCommand.Claim;
                byte[] encoded = Codec.json().encode(call.command(), WorkerCommand.class);
                add(claim ? Kind.WORKER_CLAIM : Kind.WORKER_COMMAND, encoded.length);
            }
            case Effect.SendPeer send ->
                add(Kind.PEER_MESSAGE, Codec.messagePack().encode(send.message(), PeerMessage.class).length);
            case Effect.AnswerClient ignored -> {
                // replies to callers are not control traffic
            }
            case Effect.Stopped ignored -> {
                // sends nothing
            }
        }
    }

    double messagesPerSecond(Kind kind, long hosts, long ms) {
        return messages.getOrDefault(kind, 0L) * 1_000.0 / ms / hosts;
    }

    double bytesPerSecond(Kind kind, long hosts, long ms) {
        return bytes.getOrDefault(kind, 0L) * 1_000.0 / ms / hosts;
    }

    private void add(Kind kind, long size) {
        messages.merge(kind, 1L, Long::sum);
        bytes.merge(kind, size, Long::sum);
    }
}
