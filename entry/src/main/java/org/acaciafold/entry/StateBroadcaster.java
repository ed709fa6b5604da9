package org.acaciafold.entry;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import org.acaciafold.fleet.JobState;

/**
 * Tells all hosts how jobs fare.
 *
 * <p>Changes are gathered for a while that grows with the number of hosts, so that the messages of a large deployment stay
 * bounded. The host that accepted a job hears of its end at once, without the others if need be, since its consumer most
 * likely asks there.
 */
final class StateBroadcaster {
    /** With this much for each host, forty hosts hear of changes five times a second. */
    private static final long BATCH_MS_PER_HOST = 5;

    /** After a start of all hosts they all lag within this time; the states of thousands of jobs are then written once. */
    private static final long SNAPSHOT_BATCH_MS = 100;

    private final String self;
    private final Timers loop;
    private final BiConsumer<Collection<String>, PeerMessage> bus;
    private final HostTable hosts;
    private final long epoch;
    private final Supplier<Map<String, JobState>> allStates;
    private final Map<String, String> acceptedBy = new HashMap<>();
    private final Set<String> snapshotRecipients = new TreeSet<>();
    private Map<String, JobState> pendingChanges = new HashMap<>();
    private long broadcastAtMs = Long.MIN_VALUE / 2;
    private long sequence;
    private boolean broadcastScheduled;
    private boolean ended;

    /**
     * Creates the news of a term.
     *
     * @param self the leader's name
     * @param loop the leader's thread
     * @param bus sends a message to addresses
     * @param hosts all hosts
     * @param epoch the term
     * @param allStates returns the states of all jobs
     */
    StateBroadcaster(
            String self,
            Timers loop,
            BiConsumer<Collection<String>, PeerMessage> bus,
            HostTable hosts,
            long epoch,
            Supplier<Map<String, JobState>> allStates) {
        this.self = self;
        this.loop = loop;
        this.bus = bus;
        this.hosts = hosts;
        this.epoch = epoch;
        this.allStates = allStates;
    }

    /** Returns the number of the last change that was told. */
    long sequence() {
        return sequence;
    }

    void begin() {
        sequence = 1;
    }

    void end() {
        ended = true;
    }

    /** Notes which host has accepted a job; empty when that is not known. */
    void recordAcceptingHost(String from, String job) {
        if (!from.isEmpty() && !from.equals(self)) {
            acceptedBy.put(job, from);
        }
    }

    void publish(Map<String, JobState> states) {
        Map<String, Map<String, JobState>> finalStatesByHost = takeFinalStates(states);
        pendingChanges.putAll(states);
        long delayMs = broadcastAtMs + BATCH_MS_PER_HOST * hosts.addresses().size() - loop.nowMs();
        if (!broadcastScheduled && delayMs <= 0) {
            broadcastChanges();
            return;
        }
        finalStatesByHost.forEach(this::sendToAcceptingHost);
        if (!broadcastScheduled) {
            broadcastScheduled = true;
            loop.after(delayMs, this::broadcastChanges);
        }
    }

    /** Tells hosts the states of all jobs soon, those that lag at about the same time in one message. */
    void scheduleSnapshot(Collection<String> addresses) {
        if (snapshotRecipients.isEmpty() && !addresses.isEmpty()) {
            loop.after(SNAPSHOT_BATCH_MS, this::sendSnapshots);
        }
        snapshotRecipients.addAll(addresses);
    }

    private void sendSnapshots() {
        if (!ended) {
            bus.accept(List.copyOf(snapshotRecipients), new PeerMessage.States(epoch, sequence, true, allStates.get()));
        }
        snapshotRecipients.clear();
    }

    private void broadcastChanges() {
        broadcastScheduled = false;
        if (ended) {
            return;
        }
        broadcastAtMs = loop.nowMs();
        sequence++;
        bus.accept(hosts.addresses().values(), new PeerMessage.States(epoch, sequence, false, pendingChanges));
        pendingChanges = new HashMap<>();
    }

    /** Returns the final states by the host that accepted the job, and forgets who did. */
    private Map<String, Map<String, JobState>> takeFinalStates(Map<String, JobState> states) {
        Map<String, Map<String, JobState>> finalStates = new HashMap<>();
        states.forEach((job, state) -> {
            if (state.ended()) {
                Optional.ofNullable(acceptedBy.remove(job))
                        .ifPresent(name -> finalStates
                                .computeIfAbsent(name, key -> new HashMap<>())
                                .put(job, state));
            }
        });
        return finalStates;
    }

    private void sendToAcceptingHost(String name, Map<String, JobState> finalStates) {
        PeerMessage message = new PeerMessage.States(epoch, PeerMessage.States.OUT_OF_ORDER, false, finalStates);
        hosts.address(name).ifPresent(address -> bus.accept(List.of(address), message));
    }
}
