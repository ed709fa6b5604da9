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

/** The tables that the systems of an entry host share; each table is written by one system and read by all. */
final class HostState {
    /** The number of hosts in other failure domains that a host notifies in each heartbeat interval. */
    static final int REMOTE_HOSTS_PER_HEARTBEAT = 2;

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
    private long lastTableReplyMs;
    private boolean registered;
    private boolean stopping;
    private boolean drained;
    private long lastPeerCall;
    private long lastTickMs = Times.NEVER_MS;

    private HostState(HostConfig config, Clock clock) {
        this.config = config;
        this.clock = clock;
        this.lastTableReplyMs = clock.nowMs();
    }

    /**
     * Creates the empty state of a host.
     *
     * @param config the startup configuration of the host
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

    /** Returns whether the host is stopping and all systems have finished the work that must precede the handover. */
    boolean drained() {
        return drained;
    }

    void drained(boolean value) {
        drained = value;
    }

    /**
     * Records the start of a tick; after a pause longer than a control lease the host must read its registration again.
     *
     * @param nowMs the time in milliseconds
     */
    void beginTick(long nowMs) {
        if (lastTickMs != Times.NEVER_MS && nowMs - lastTickMs > config.controlLeaseMs()) {
            registered = false;
        }
        lastTickMs = nowMs;
    }

    /** Returns the entry hosts in the host list, including this one; written by {@link MembershipSystem}. */
    Map<HostId, HostEntry> entryHosts() {
        return entryHosts;
    }

    /** Returns whether every workspace is within its limit in the settings in force at this host. */
    boolean limitsInForce() {
        return limitsVersion == settings.version();
    }

    /**
     * Records the version of the settings under which every workspace is within its limit; see {@link
     * AllotmentSystem}.
     */
    void limitsVersion(long value) {
        limitsVersion = value;
    }

    /** Returns the slices that this host owns; written by the ownership system. */
    Map<SliceId, OwnedSlice> owned() {
        return owned;
    }

    /**
     * Returns whether a heartbeat of a peer arrived within the validity of a control lease, plus the delay of
     * heartbeats between failure domains.
     */
    boolean isReachable(HostId host, long nowMs) {
        PeerEntry peer = peers.get(host);
        return peer != null && nowMs - peer.lastHeartbeatMs() <= config.controlLeaseMs() + heartbeatDelayMs(host);
    }

    /** Returns whether a machine is in another failure domain than this host. */
    boolean isRemote(HostEntry entry) {
        return !entry.domain().equals(config.domain());
    }

    /** Returns the extra delay of a host's heartbeats, because hosts in other failure domains are notified in turn. */
    private long heartbeatDelayMs(HostId host) {
        HostEntry entry = entryHosts.get(host);
        if (entry == null || !isRemote(entry)) {
            return 0;
        }
        long others = entryHosts.values().stream()
                .filter(other -> !other.domain().equals(entry.domain()))
                .count();
        long turns = (others + REMOTE_HOSTS_PER_HEARTBEAT - 1) / REMOTE_HOSTS_PER_HEARTBEAT;
        return 2 * turns * config.heartbeatMs();
    }

    /** Returns the next call number, unique among the calls of this host to peers. */
    long nextPeerCall() {
        return ++lastPeerCall;
    }

    /**
     * Returns the owner of a slice.
     *
     * @param slice the slice
     * @param nowMs the time in milliseconds
     * @return the reachable host, or this host, with the highest fencing token for the slice; empty if there is none
     */
    Optional<HostId> ownerOf(SliceId slice, long nowMs) {
        OwnedSlice own = owned.get(slice);
        HostId owner = own == null ? null : config.host();
        Fence highest = own == null ? Fence.none() : own.fence();
        for (Map.Entry<HostId, PeerEntry> peer : peers.entrySet()) {
            if (!isReachable(peer.getKey(), nowMs)) {
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

    /** Returns the last announcement of each peer; written by {@link MembershipSystem}. */
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

    /** Returns the settings in force at this host; written by the settings system. */
    FleetSettings settings() {
        return settings;
    }

    void settings(FleetSettings value) {
        settings = value;
    }

    /** Returns the number of slices in the fleet, at least 1. */
    long sliceCount() {
        Set<DomainId> domains = new TreeSet<>(settings.domains().keySet());
        entryHosts.values().forEach(entry -> domains.add(entry.domain()));
        long count = 0;
        for (DomainId domain : domains) {
            count += settings.domain(domain).map(DomainSettings::slices).orElse(1);
        }
        return Math.max(count, 1);
    }

    /** Returns whether the settings tree was read since the start of the process; written by the settings system. */
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
            lastTableReplyMs = clock.nowMs();
        }
    }

    /** Restarts the wait for a reply of the table. */
    void restartTableWait(long nowMs) {
        lastTableReplyMs = nowMs;
    }

    /** Returns the time of the last reply of the table service in milliseconds; initially the start time. */
    long lastTableReplyMs() {
        return lastTableReplyMs;
    }

    /** Returns the workers in the host list, in all failure domains; written by {@link MembershipSystem}. */
    Map<WorkerId, HostEntry> workers() {
        return workers;
    }
}
