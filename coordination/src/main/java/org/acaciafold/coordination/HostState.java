package org.acaciafold.coordination;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.Fence;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.SliceId;
import org.acaciafold.core.model.WorkerId;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.settings.DomainSettings;
import org.acaciafold.settings.FleetSettings;

/** The tables that the systems of an entry host share; each is written by one system and read by all. */
final class HostState {
    /** How many hosts of other failure domains an owner tells in each heartbeat. */
    static final int REMOTE_PER_HEARTBEAT = 2;

    private final HostConfig config;
    private final Clock clock;
    private final Map<HostId, HostEntry> entryHosts = new TreeMap<>();
    private final Map<WorkerId, HostEntry> workers = new TreeMap<>();
    private final Map<HostId, PeerEntry> peers = new TreeMap<>();
    private final Map<SliceId, OwnedSlice> owned = new TreeMap<>();
    private FleetSettings settings = FleetSettings.empty();
    private long limitsVersion = -1;
    private boolean settingsKnown;
    private boolean tableAnswers;
    private long tableAnsweredMs;
    private boolean registered;
    private boolean stopping;
    private boolean drained;
    private long lastAsk;
    private long lastTickMs = Times.NEVER_MS;

    private HostState(HostConfig config, Clock clock) {
        this.config = config;
        this.clock = clock;
        this.tableAnsweredMs = clock.nowMs();
    }

    /**
     * Creates the state of a host that knows nothing yet.
     *
     * @param config what the host is told at its start
     * @param clock the clock of the process
     * @return the state
     */
    static HostState of(HostConfig config, Clock clock) {
        return new HostState(config, clock);
    }

    Clock clock() {
        return clock;
    }

    HostConfig config() {
        return config;
    }

    /** Returns whether the host stops and all systems have ended what a stop must wait for. */
    boolean drained() {
        return drained;
    }

    void drained(boolean value) {
        drained = value;
    }

    /**
     * Notes the start of a tick; after a pause longer than a control lease the host must look its registration up again.
     *
     * @param nowMs the time in milliseconds
     */
    void beginTick(long nowMs) {
        if (lastTickMs != Times.NEVER_MS && nowMs - lastTickMs > config.controlLeaseMs()) {
            registered = false;
        }
        lastTickMs = nowMs;
    }

    /** Returns the entry hosts of the host list, this one included; written by {@link MembershipSystem}. */
    Map<HostId, HostEntry> entryHosts() {
        return entryHosts;
    }

    /** Returns whether no workspace holds more than its limit in the settings in force here. */
    boolean limitsInForce() {
        return limitsVersion == settings.version();
    }

    /**
     * Notes the version of the settings under which no workspace holds more than its limit; see {@link
     * AllotmentSystem}.
     */
    void limitsVersion(long value) {
        limitsVersion = value;
    }

    /** Returns the slices that this host owns; written by the ownership system. */
    Map<SliceId, OwnedSlice> owned() {
        return owned;
    }

    /** Tells whether a peer was heard within the validity of a control lease. */
    boolean heardLately(HostId host, long nowMs) {
        PeerEntry peer = peers.get(host);
        return peer != null && nowMs - peer.heardMs() <= config.controlLeaseMs() + heartbeatDelayMs(host);
    }

    /** Tells whether a machine is in another failure domain than this host. */
    boolean isRemote(HostEntry entry) {
        return !entry.domain().equals(config.domain());
    }

    /** Returns how much later than every heartbeat a host is heard, because remote hosts are told in turn. */
    private long heartbeatDelayMs(HostId host) {
        HostEntry entry = entryHosts.get(host);
        if (entry == null || !isRemote(entry)) {
            return 0;
        }
        long others = entryHosts.values().stream()
                .filter(other -> !other.domain().equals(entry.domain()))
                .count();
        long turns = (others + REMOTE_PER_HEARTBEAT - 1) / REMOTE_PER_HEARTBEAT;
        return 2 * turns * config.heartbeatMs();
    }

    /** Returns a number for a call to a peer that no other call of this host has. */
    long nextAsk() {
        return ++lastAsk;
    }

    /**
     * Looks the owner of a slice up.
     *
     * @param slice the slice
     * @param nowMs the time in milliseconds
     * @return the host that told the highest fencing token lately, this host included, empty when there is none
     */
    Optional<HostId> ownerOf(SliceId slice, long nowMs) {
        OwnedSlice own = owned.get(slice);
        HostId owner = own == null ? null : config.host();
        Fence highest = own == null ? Fence.none() : own.fence();
        for (Map.Entry<HostId, PeerEntry> peer : peers.entrySet()) {
            if (!heardLately(peer.getKey(), nowMs)) {
                continue;
            }
            for (SliceSummary summary : peer.getValue().slices()) {
                if (summary.slice().equals(slice) && summary.fence().compareTo(highest) > 0) {
                    highest = summary.fence();
                    owner = peer.getKey();
                }
            }
        }
        return Optional.ofNullable(owner);
    }

    /** Returns what the peers last told; written by {@link MembershipSystem}. */
    Map<HostId, PeerEntry> peers() {
        return peers;
    }

    /** Returns whether this host is registered, without which it must not act; written by {@link SettingsSystem}. */
    boolean registered() {
        return registered;
    }

    void registered(boolean value) {
        registered = value;
    }

    /** Returns the settings in force here; written by the settings system. */
    FleetSettings settings() {
        return settings;
    }

    void settings(FleetSettings value) {
        settings = value;
    }

    /** Returns how many slices the fleet is divided into, at least 1. */
    long sliceCount() {
        Set<DomainId> domains = new TreeSet<>(settings.domains().keySet());
        entryHosts.values().forEach(entry -> domains.add(entry.domain()));
        long count = 0;
        for (DomainId domain : domains) {
            count += settings.domain(domain).map(DomainSettings::slices).orElse(1);
        }
        return Math.max(count, 1);
    }

    /** Returns whether the settings tree was read since the start; written by the settings system. */
    boolean settingsKnown() {
        return settingsKnown;
    }

    void settingsKnown(boolean value) {
        settingsKnown = value;
    }

    boolean stopping() {
        return stopping;
    }

    void stopping(boolean value) {
        stopping = value;
    }

    /** Returns whether the last call to the table service was answered. */
    boolean tableAnswers() {
        return tableAnswers;
    }

    void tableAnswers(boolean value) {
        tableAnswers = value;
        if (value) {
            tableAnsweredMs = clock.nowMs();
        }
    }

    /** Begins the wait for an answer of the table anew. */
    void tableAnswered(long nowMs) {
        tableAnsweredMs = nowMs;
    }

    /** Returns until when the table service was known to answer, in milliseconds; the start at first. */
    long tableAnsweredMs() {
        return tableAnsweredMs;
    }

    /** Returns the workers of the host list, in all failure domains; written by {@link MembershipSystem}. */
    Map<WorkerId, HostEntry> workers() {
        return workers;
    }
}
