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
 * Broadcasts the states of jobs to all hosts.
 *
 * <p>Changes are batched over a time that grows with the number of hosts, which bounds the message rate of a large
 * deployment. The host that accepted a job receives its final state at once, before other hosts if need be, since the
 * client most likely asks that host.
 */
final class StateBroadcaster {
    /** Batching time for each host: forty hosts receive changes five times a second. */
    private static final long BATCH_MS_PER_HOST = 5;

    /** After a simultaneous start, all hosts are behind within this time; thousands of states are then encoded once. */
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
     * Creates the broadcaster of a term.
     *
     * @param self the leader's name
     * @param loop the timers of the leader's thread
     * @param bus sends a message to addresses
     * @param hosts all hosts
     * @param epoch the epoch of the term
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

    /** Returns the sequence number of the last change that was broadcast. */
    long sequence() {
        return sequence;
    }

    void begin() {
        sequence = 1;
    }

    void end() {
        ended = true;
    }

    /** Records which host has accepted a job; an empty name, of an unknown host, is ignored. */
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

    /** Sends hosts a full state snapshot soon; requests within a short time share one message. */
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

    /** Returns the final states by the host that accepted the job, and removes these jobs from the accepted ones. */
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
