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
    private static final long GATHER_MS_PER_HOST = 5;

    /** After a start of all hosts they all lag within this time; the states of thousands of jobs are then written once. */
    private static final long GATHER_LAGGING_MS = 100;

    private final String self;
    private final Timers loop;
    private final BiConsumer<Collection<String>, PeerMessage> bus;
    private final HostTable hosts;
    private final long epoch;
    private final Supplier<Map<String, JobState>> all;
    private final Map<String, String> acceptedBy = new HashMap<>();
    private final Set<String> lagging = new TreeSet<>();
    private Map<String, JobState> gathered = new HashMap<>();
    private long toldAtMs = Long.MIN_VALUE / 2;
    private long sequence;
    private boolean due;
    private boolean ended;

    /**
     * Creates the news of a term.
     *
     * @param self the leader's name
     * @param loop the leader's thread
     * @param bus sends a message to addresses
     * @param hosts all hosts
     * @param epoch the term
     * @param all returns the states of all jobs
     */
    StateBroadcaster(
            String self,
            Timers loop,
            BiConsumer<Collection<String>, PeerMessage> bus,
            HostTable hosts,
            long epoch,
            Supplier<Map<String, JobState>> all) {
        this.self = self;
        this.loop = loop;
        this.bus = bus;
        this.hosts = hosts;
        this.epoch = epoch;
        this.all = all;
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
    void accepted(String from, String job) {
        if (!from.isEmpty() && !from.equals(self)) {
            acceptedBy.put(job, from);
        }
    }

    void changed(Map<String, JobState> states) {
        Map<String, Map<String, JobState>> endsByHost = takeEnds(states);
        gathered.putAll(states);
        long inMs = toldAtMs + GATHER_MS_PER_HOST * hosts.addresses().size() - loop.nowMs();
        if (!due && inMs <= 0) {
            tell();
            return;
        }
        endsByHost.forEach(this::tellAcceptingHost);
        if (!due) {
            due = true;
            loop.after(inMs, this::tell);
        }
    }

    /** Tells hosts the states of all jobs soon, those that lag at about the same time in one message. */
    void lag(Collection<String> addresses) {
        if (lagging.isEmpty() && !addresses.isEmpty()) {
            loop.after(GATHER_LAGGING_MS, this::tellLagging);
        }
        lagging.addAll(addresses);
    }

    private void tellLagging() {
        if (!ended) {
            bus.accept(List.copyOf(lagging), new PeerMessage.States(epoch, sequence, true, all.get()));
        }
        lagging.clear();
    }

    private void tell() {
        due = false;
        if (ended) {
            return;
        }
        toldAtMs = loop.nowMs();
        sequence++;
        bus.accept(hosts.addresses().values(), new PeerMessage.States(epoch, sequence, false, gathered));
        gathered = new HashMap<>();
    }

    /** Returns the final states by the host that accepted the job, and forgets who did. */
    private Map<String, Map<String, JobState>> takeEnds(Map<String, JobState> states) {
        Map<String, Map<String, JobState>> ends = new HashMap<>();
        states.forEach((job, state) -> {
            if (state.ended()) {
                Optional.ofNullable(acceptedBy.remove(job))
                        .ifPresent(name -> ends.computeIfAbsent(name, key -> new HashMap<>())
                                .put(job, state));
            }
        });
        return ends;
    }

    private void tellAcceptingHost(String name, Map<String, JobState> ends) {
        PeerMessage message = new PeerMessage.States(epoch, PeerMessage.States.OUT_OF_ORDER, false, ends);
        hosts.address(name).ifPresent(address -> bus.accept(List.of(address), message));
    }
}
