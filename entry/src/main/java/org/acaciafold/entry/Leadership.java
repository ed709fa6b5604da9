package org.acaciafold.entry;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.acaciafold.fleet.FleetSummary;
import org.acaciafold.fleet.leadership.LeaseExpiryDetector;
import org.acaciafold.fleet.scheduling.SchedulerLimits;
import org.acaciafold.platform.StoredRow;
import org.acaciafold.platform.TxReply;
import org.acaciafold.settings.EntrySettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Acquires and hands over leadership of the slice, and follows the current leader while another host leads. */
final class Leadership {
    private static final Logger LOG = LoggerFactory.getLogger(Leadership.class);
    private static final long POLL_MS = 100;
    private static final long LEADER_HEARTBEAT_MS = 150;
    /** Longer than the leader's period: the leader only uses these heartbeats to choose hosts for work. */
    private static final long FOLLOWER_HEARTBEAT_MS = 300;
    /** A follower without a heartbeat for this long reads the lease, whose expiry it counts from that read. */
    private static final long HEARTBEAT_TIMEOUT_MS = 250;
    /** States are answered from memory, without the store, if the leader's last heartbeat is at most this old. */
    private static final long MAX_STATE_AGE_MS = 600;
    /** Added to a lease for clock drift: clock rates differ by at most two percent. */
    private static final long EXPIRY_MARGIN_MS = 120;
    /** After a store outage, the time that the lease's holder has to renew it before another host may acquire it. */
    private static final long HOLDER_GRACE_MS = 1_100;
    /** A leader without a reply from the store for this long asks other hosts whether they reach the store. */
    private static final long STORE_TIMEOUT_MS = 450;
    /** How often a leader checks for a larger host; the first check waits this long, until its term is stable. */
    private static final long LARGER_HOST_CHECK_MS = 1_000;

    private final HostContext host;
    private final String address;
    private final long incarnation;
    private final SchedulerLimits limits;
    private final JobStateCache jobStates;
    private final HostTable hosts = new HostTable();
    private final PendingCounts pending = new PendingCounts();
    private final double processors;
    private final LeaderSelection selection;
    private final StoreReachability reachability;
    private final LeaseExpiryDetector leaseExpiry = LeaseExpiryDetector.of(EXPIRY_MARGIN_MS, HOLDER_GRACE_MS);
    /** The term before the one that this host has last tried to begin. */
    private Predecessor predecessor = Predecessor.NONE;
    /** The last attempt to acquire the lease; null if there is none or this host leads. */
    private LeaseKeeper.LeaseWrite attempt;

    private LeaseKeeper lease;
    private Term term;
    private LeaseRecord leader;
    private long heartbeatReceivedAtMs = Long.MIN_VALUE / 2;
    private long announcedRenewalAtMs = Long.MIN_VALUE / 2;
    /** True while the leader's heartbeats tell that it has not renewed its lease, of whatever length, in time. */
    private boolean leaderCannotRenew;

    private long seenSequence = PeerMessage.States.NONE_SEEN;
    private boolean leaseCallInFlight;
    private boolean stopping;
    private long heartbeatSentAtMs;
    private long largerHostCheckedAtMs;

    Leadership(
            HostContext host,
            EntrySettings settings,
            long incarnation,
            SchedulerLimits limits,
            JobStateCache jobStates) {
        this.host = host;
        this.address = settings.advertisedPeers();
        this.processors = settings.processors();
        this.reachability = new StoreReachability(host, address);
        this.selection =
                new LeaderSelection(host.name(), processors, host.loop().nowMs(), hosts);
        this.incarnation = incarnation;
        this.limits = limits;
        this.jobStates = jobStates;
    }

    void start() {
        host.loop().every(POLL_MS, this::poll);
        host.loop().execute(() -> readLease(Optional.empty()));
    }

    /** Returns whether states and counts from the leader are no older than a few heartbeats. */
    boolean hasRecentStates() {
        return leads() && term.running()
                || !leads() && sinceHeartbeatMs() < MAX_STATE_AGE_MS && seenSequence > PeerMessage.States.NONE_SEEN;
    }

    boolean leads() {
        return lease != null;
    }

    boolean mayLeadNext() {
        return !leads() && selection.isAmongLargest();
    }

    /** Returns the lease of another host that leads; empty when none is heard or its last lease has run out. */
    Optional<LeaseRecord> otherLeader() {
        boolean heard = !leads() && leader != null && sinceHeartbeatMs() < MAX_STATE_AGE_MS;
        boolean known = heard && host.loop().nowMs() - announcedRenewalAtMs < leader.leaseMs();
        return known ? Optional.of(leader) : Optional.empty();
    }

    /** Returns the number of jobs of a queue without a started task; empty when no recent count is available. */
    OptionalInt pending(String route) {
        if (leads()) {
            return term.running() ? PendingCounts.count(term.pending(), route) : OptionalInt.empty();
        }
        return pending.of(route, host.loop().nowMs());
    }

    /** Returns the epoch of this host's lease, 0 when it does not lead. */
    long epoch() {
        return lease == null ? 0 : lease.record().epoch();
    }

    /** Returns how long ago the lease was last renewed, in milliseconds; 0 when this host does not lead. */
    long leaseAgeMs() {
        return lease == null ? 0 : lease.sinceRenewalMs();
    }

    /** Updates the gauges about workers, runs and waiting jobs. */
    void updateFleetGauges() {
        host.metrics().pending(leads() ? term.pending() : Map.of());
        host.metrics().fleet(leads() ? term.summary() : FleetSummary.empty());
    }

    /** Immediately sends the leader a message about a record that this host has written. */
    void sendToLeader(PeerMessage.Leading message) {
        if (leads()) {
            receive(host.name(), message);
        } else if (leader != null) {
            host.bus().send(leader.address(), message);
        }
    }

    void applyConfig() {
        if (leads()) {
            term.configure();
        }
    }

    /** Hands over leadership to another host before this one stops. */
    void stop(Runnable then) {
        stopping = true;
        if (!leads()) {
            sendHeartbeat();
            then.run();
            return;
        }
        long epoch = lease.record().epoch();
        LOG.info("leadership released epoch={}", epoch);
        term.end();
        Optional<String> next = selection.successor(host.loop().nowMs());
        lease.release(() -> {
            next.ifPresent(to -> host.bus().send(to, new PeerMessage.Handover(epoch)));
            then.run();
        });
    }

    void receive(String from, PeerMessage.Leading message) {
        switch (message) {
            case PeerMessage.HostBeat beat -> receiveHostBeat(beat);
            case PeerMessage.LeaderBeat beat -> receiveLeaderBeat(beat);
            case PeerMessage.Accepted accepted -> whenLeading(() -> term.accept(from, accepted.jobs()));
            case PeerMessage.Cancelled cancelled -> whenLeading(() -> term.cancel(cancelled.job()));
            case PeerMessage.States states -> receiveStates(states);
            case PeerMessage.AdviceWanted wanted -> {
                if (leader != null && leader.host().equals(from)) {
                    host.requestAdvice(leader.address(), wanted);
                }
            }
            case PeerMessage.AdviceGiven given -> whenLeading(() -> term.adviceAnswered(from, given));
            case PeerMessage.WhoReachesStore question -> {
                if (!stopping) {
                    reachability.answer(question);
                }
            }
            case PeerMessage.ReachesStore reply -> receiveReachesStore(reply);
            case PeerMessage.Handover handover -> readLease(Optional.of(handover.epoch()));
        }
    }

    private void whenLeading(Runnable action) {
        if (leads()) {
            action.run();
        }
    }

    private void sendHeartbeat() {
        heartbeatSentAtMs = host.loop().nowMs();
        if (leads() && !stopping) {
            hosts.evictUnresponsive(heartbeatSentAtMs);
            term.markHeartbeat();
            PeerMessage message = new PeerMessage.LeaderBeat(
                    lease.record(),
                    lease.version(),
                    lease.sinceRenewalMs(),
                    term.sequence(),
                    term.running(),
                    term.pending(),
                    hosts.addressesToAnnounce(heartbeatSentAtMs),
                    selection.largest(heartbeatSentAtMs));
            host.bus().sendAll(hosts.addresses().values(), message);
        } else if (leader != null) {
            long upMs = selection.upMs(heartbeatSentAtMs);
            PeerMessage message =
                    new PeerMessage.HostBeat(host.name(), address, processors, seenSequence, stopping, upMs);
            host.bus().send(leader.address(), message);
        }
    }

    private void receiveHostBeat(PeerMessage.HostBeat beat) {
        hosts.recordHeartbeat(beat, host.loop().nowMs());
        if (leads() && term.isBehind(beat.sequence())) {
            term.sendSnapshot(beat.address());
        }
    }

    private void receiveLeaderBeat(PeerMessage.LeaderBeat beat) {
        LeaseRecord received = beat.lease();
        long known = leads() ? lease.record().epoch() : leader == null ? 0 : leader.epoch();
        if (received.epoch() < known || leads() && received.epoch() == known) {
            return;
        }
        stepDown("received a heartbeat of a newer leader: " + received);
        follow(received);
        selection.recordLargest(beat.largest());
        heartbeatReceivedAtMs = host.loop().nowMs();
        announcedRenewalAtMs = heartbeatReceivedAtMs - beat.leaseAgeMs();
        leaderCannotRenew = beat.leaseAgeMs() > LeaseKeeper.SLOW_LEASE_MS;
        leaseExpiry.leaseAnnounced(beat.leaseVersion(), received.leaseMs(), announcedRenewalAtMs);
        if (beat.running()) {
            pending.received(beat.pending(), heartbeatReceivedAtMs);
        }
        hosts.addReported(received.host(), received.address(), heartbeatReceivedAtMs);
        hosts.addReported(beat.hosts(), host.name(), heartbeatReceivedAtMs);
    }

    private void follow(LeaseRecord record) {
        if (leader == null || leader.epoch() != record.epoch()) {
            LOG.info("leader host={} epoch={}", record.host(), record.epoch());
            leader = record;
            seenSequence = PeerMessage.States.NONE_SEEN;
            sendHeartbeat();
        }
    }

    /** Ends a term that cannot continue; another host or this one acquires the lease once it has expired. */
    private void stepDown(String reason) {
        if (!leads()) {
            return;
        }
        LOG.warn("leadership lost epoch={} reason={}", lease.record().epoch(), reason);
        lease.end();
        term.end();
        lease = null;
        term = null;
        seenSequence = PeerMessage.States.NONE_SEEN;
        // other hosts acquire the lease first, unless none does so within the heartbeat timeout
        heartbeatReceivedAtMs = host.loop().nowMs();
        leaderCannotRenew = false;
    }

    private void poll() {
        long nowMs = host.loop().nowMs();
        if (leads()) {
            lease.renewWhenDue(!storeUnresponsive());
        }
        if (leads()) {
            long epoch = lease.record().epoch();
            if (storeUnresponsive()) {
                reachability.query(selection.handoverCandidates(storeOverdueMs(), nowMs), epoch);
            } else if (nowMs - largerHostCheckedAtMs >= LARGER_HOST_CHECK_MS && term.running()) {
                largerHostCheckedAtMs = nowMs;
                reachability.query(selection.preferredLeader(nowMs).stream().toList(), epoch);
            }
        } else if (!stopping && (sinceHeartbeatMs() > HEARTBEAT_TIMEOUT_MS || leaderCannotRenew)) {
            readLease(Optional.empty());
        }
        if (nowMs - heartbeatSentAtMs >= (leads() ? LEADER_HEARTBEAT_MS : FOLLOWER_HEARTBEAT_MS)) {
            sendHeartbeat();
        }
    }

    private void receiveReachesStore(PeerMessage.ReachesStore reply) {
        if (!leads() || lease.record().epoch() != reply.epoch()) {
            return;
        }
        boolean unresponsive = storeUnresponsive();
        Optional<String> preferred = selection.preferredLeader(host.loop().nowMs());
        if (unresponsive || preferred.filter(reply.address()::equals).isPresent()) {
            String reason = unresponsive ? "the store is unresponsive for this host" : "a larger host is available";
            stepDown(reason + "; handed over to " + reply.address());
            host.bus().send(reply.address(), new PeerMessage.Handover(reply.epoch()));
        }
    }

    /** Reads the lease and acquires it if it is released, has expired or belongs to the term that was handed over. */
    private void readLease(Optional<Long> handedOver) {
        if (leads() || leaseCallInFlight && handedOver.isEmpty() || stopping) {
            return;
        }
        leaseCallInFlight = true;
        host.store()
                .readOne(StoreRecords.LEASES, StoreRecords.SLICE, StoreRecords.LEASE_KEY)
                .subscribe(
                        row -> host.loop().execute(() -> handleLease(row, handedOver)),
                        error -> host.loop().execute(() -> {
                            leaseCallInFlight = false;
                            leaseExpiry.readFailed();
                        }));
    }

    private void handleLease(Optional<StoredRow> row, Optional<Long> handedOver) {
        leaseCallInFlight = false;
        if (leads()) {
            return;
        }
        LeaseRecord holder = row.map(one -> host.records().lease(one, leader)).orElse(null);
        long version = row.map(StoredRow::version).orElse(0L);
        if (holder == null) {
            acquireLease(Predecessor.NONE, version, "no leader yet");
            return;
        }
        boolean expired =
                leaseExpiry.observed(version, holder.leaseMs(), host.loop().nowMs());
        boolean ownLease = holder.host().equals(host.name()) && holder.address().equals(address);
        if (attempt != null && holder.equals(attempt.record())) {
            LOG.info("leadership taken epoch={} reason=the reply to its transaction was lost", holder.epoch());
            beginTerm(new LeaseKeeper.LeaseWrite(holder, version, attempt.sentAtMs(), attempt.sentAtWallMs()));
        } else if (holder.released()) {
            acquireLease(Predecessor.of(holder), version, "released by " + holder.host());
        } else if (ownLease) {
            acquireLease(Predecessor.of(holder), version, "held by an earlier incarnation of this host");
        } else if (handedOver.isPresent() && handedOver.get() == holder.epoch()) {
            acquireLease(Predecessor.of(holder), version, "handed over by " + holder.host());
        } else if (expired && !selection.shouldDefer(version, host.loop().nowMs())) {
            acquireLease(Predecessor.of(holder), version, "lease of " + holder.host() + " has expired");
        } else {
            follow(holder);
        }
    }

    private void receiveStates(PeerMessage.States states) {
        if (leader == null || states.epoch() != leader.epoch() || leads()) {
            return;
        }
        jobStates.update(states.states());
        if (states.follows(seenSequence)) {
            seenSequence = states.sequence();
        }
    }

    private long sinceHeartbeatMs() {
        return host.loop().nowMs() - heartbeatReceivedAtMs;
    }

    private boolean storeUnresponsive() {
        return storeOverdueMs() > 0;
    }

    /** Returns how long the store's answer is overdue; a slow store does not count, since it is slow for every host. */
    private long storeOverdueMs() {
        return Math.min(host.loop().nowMs() - host.store().answeredAtMs(), lease.sinceRenewalMs()) - STORE_TIMEOUT_MS;
    }

    private void acquireLease(Predecessor former, long version, String reason) {
        predecessor = former;
        long epoch = former.nextEpoch();
        LeaseRecord record = LeaseRecord.acquired(host.name(), address, incarnation, epoch);
        long sentAtMs = host.loop().nowMs();
        long sentAtWallMs = host.loop().wallMs();
        leaseCallInFlight = true;
        attempt = new LeaseKeeper.LeaseWrite(record, version, sentAtMs, sentAtWallMs);
        host.store()
                .commit(StoreRecords.leaseWrite(record, version).build())
                .subscribe(reply -> host.loop().execute(() -> {
                    leaseCallInFlight = false;
                    if (reply instanceof TxReply.Applied applied && !leads() && !stopping) {
                        LOG.info("leadership taken epoch={} reason={}", epoch, reason);
                        beginTerm(new LeaseKeeper.LeaseWrite(record, applied.version(), sentAtMs, sentAtWallMs));
                    }
                }));
    }

    private void beginTerm(LeaseKeeper.LeaseWrite acquired) {
        attempt = null;
        leader = acquired.record();
        lease = new LeaseKeeper(host.store()::commit, host.loop(), acquired, this::stepDown);
        term = new Term(host, lease, predecessor, limits, hosts, jobStates::update, this::stepDown);
        largerHostCheckedAtMs = host.loop().nowMs();
        term.begin();
        sendHeartbeat();
    }
}
