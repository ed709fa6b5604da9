package org.acaciafold.coordination;

import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.HostEntry;

/**
 * Rejects the calls that a host without a registration must not execute.
 *
 * <p>The settings of such a host may be older than those reported to an operator as in force everywhere.
 */
final class RegistrationGate {
    private static final long RETRY_AFTER_MS = 1_000;

    private final HostState state;

    private RegistrationGate(HostState state) {
        this.state = state;
    }

    static RegistrationGate of(HostState state) {
        return new RegistrationGate(state);
    }

    /**
     * Returns whether an event may reach the systems, and answers a rejected call.
     *
     * @param event the event
     * @param outbox the outbox that receives the rejection
     * @return false if the event was rejected
     */
    boolean admits(Event event, Outbox outbox) {
        if (state.registered()) {
            return true;
        }
        return switch (event) {
            case Event.ClientCalled called -> admitsCall(called, outbox);
            case Event.PeerReceived received -> admitsMessage(received, outbox);
            default -> true;
        };
    }

    private boolean admitsCall(Event.ClientCalled called, Outbox outbox) {
        if (!startsWork(called.body())) {
            return true;
        }
        outbox.answer(called.call(), refusal());
        return false;
    }

    private boolean admitsMessage(Event.PeerReceived received, Outbox outbox) {
        if (!(received.message() instanceof PeerMessage.Ask ask) || !startsWork(ask.body())) {
            return true;
        }
        HostId from = received.from();
        HostEntry entry = state.entryHosts().get(from);
        if (entry != null) {
            outbox.send(from, entry.address(), new PeerMessage.Told(ask.call(), refusal()));
        }
        return false;
    }

    private ClientReply refusal() {
        String host = state.config().host().value();
        String message = "the host is not registered and may have old settings";
        return new ClientReply.Failed(
                Failure.notRun(Step.ADMISSION, host, "not-registered", message).withRetryAfterMs(RETRY_AFTER_MS));
    }

    private static boolean startsWork(ClientCall call) {
        return switch (call) {
            case ClientCall.Submit ignored -> true;
            case ClientCall.Claim ignored -> true;
            case ClientCall.AcquireSlot ignored -> true;
            default -> false;
        };
    }
}
