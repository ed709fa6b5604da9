package org.acaciafold.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.acaciafold.fleet.FleetConfig;
import org.acaciafold.platform.OperatorRow;
import org.acaciafold.platform.RowChanges;
import org.acaciafold.platform.RowPage;
import org.acaciafold.platform.StoredRow;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import reactor.core.publisher.Mono;

/**
 * Watches the operators' table, and tracks when the configuration was last confirmed to be the newest.
 *
 * <p>A response proves that the configuration was the newest when the store sent it. That moment is only known to be no
 * earlier than when the request was sent, since a response may wait in the socket of a paused host. The age is the
 * larger one by the monotonic clock and the wall clock, since the monotonic clock stops while a machine is suspended.
 */
final class ConfigWatch {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigWatch.class);

    /**
     * How long the store holds a long poll. It responds at once when a row changes; a response without changes confirms
     * the configuration.
     */
    private static final long WAIT_MS = 1_000;

    /**
     * The long poll's wait when the store is slow. Latency then takes up part of the time for which a configuration is
     * trusted.
     */
    private static final long SHORT_WAIT_MS = 250;

    /** Responses take some ten milliseconds; later ones come from a slow store or were read late. */
    private static final long LATE_RESPONSE_MS = 150;

    private static final long RETRY_MS = 100;

    /**
     * A poll whose response is overdue by this much is followed by another one, since the store may have responded to
     * new calls long before the overdue call is given up.
     */
    private static final long OVERDUE_MS = 300;

    /** So long ago that its age exceeds all limits. */
    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Source store;
    private final Timers loop;
    private final Runnable onChange;
    private final Set<String> evacuatedDomains = new HashSet<>();
    private FleetConfig config;
    private long confirmedAtMs = NEVER;
    private long confirmedWallMs = NEVER;
    private long version = -1;
    private long waitMs = WAIT_MS;
    /** The number of the newest poll; only its response is followed by another poll. */
    private long newestPoll;

    ConfigWatch(Source store, Timers loop, Runnable onChange) {
        this.store = store;
        this.loop = loop;
        this.onChange = onChange;
    }

    void start() {
        poll();
    }

    Optional<FleetConfig> config() {
        return Optional.ofNullable(config);
    }

    Set<String> evacuatedDomains() {
        return evacuatedDomains;
    }

    /** Returns how long ago the configuration was last confirmed to be the newest, in milliseconds. */
    long ageMs() {
        return Math.max(loop.nowMs() - confirmedAtMs, loop.wallMs() - confirmedWallMs);
    }

    /** Returns the age as a log line has it, which is unknown until the configuration is confirmed first. */
    String ageText() {
        return confirmedAtMs < NEVER / 2 ? "unknown" : Long.toString(ageMs());
    }

    /**
     * Records a time at which the current configuration was confirmed to be the newest.
     *
     * @param atMs the time on the monotonic clock
     * @param wallMs the same moment on the wall clock
     */
    void confirm(long atMs, long wallMs) {
        if (atMs >= confirmedAtMs) {
            confirmedAtMs = atMs;
            confirmedWallMs = wallMs;
        }
    }

    private void poll() {
        Poll poll = new Poll(++newestPoll, version < 0 ? 0 : waitMs, loop.nowMs(), loop.wallMs());
        if (version < 0) {
            store.readAll(OperatorRow.TABLE, "")
                    .subscribe(
                            page -> loop.execute(() -> applyAll(page, poll)),
                            error -> loop.after(RETRY_MS, () -> pollAfter(poll)));
        } else {
            store.changes(OperatorRow.TABLE, version, poll.waitMs)
                    .subscribe(
                            found -> loop.execute(() -> applyChanges(found, poll)),
                            error -> loop.after(RETRY_MS, () -> pollAfter(poll)));
            loop.after(poll.waitMs + OVERDUE_MS, () -> pollBeside(poll));
        }
    }

    private void pollAfter(Poll poll) {
        if (poll.number == newestPoll) {
            poll();
        }
    }

    private void pollBeside(Poll overdue) {
        if (overdue.number == newestPoll) {
            waitMs = nextWaitMs(overdue.waitMs);
            poll();
        }
    }

    private void applyAll(RowPage page, Poll poll) {
        evacuatedDomains.clear();
        page.rows().forEach(this::apply);
        version = page.version();
        confirm(poll.sentAtMs, poll.sentWallMs);
        waitMs = nextWaitMs(WAIT_MS);
        onChange.run();
        pollAfter(poll);
    }

    private void applyChanges(RowChanges changes, Poll poll) {
        boolean newest = poll.number == newestPoll;
        if (!newest && (changes.historyLost() || changes.version() < version)) {
            // a later poll has already read more, and rows must not change back
            return;
        }
        if (changes.historyLost()) {
            LOG.warn("change history of the operators' table lost, reading the whole table after={}", version);
            version = -1;
            poll();
            return;
        }
        changes.rows().forEach(this::apply);
        version = Math.max(version, changes.version());
        boolean unchanged = changes.rows().isEmpty() && loop.nowMs() - poll.sentAtMs >= poll.waitMs;
        // without changes the store held the request for the whole wait before it responded
        long answeredAfterMs = unchanged ? poll.waitMs : 0;
        confirm(poll.sentAtMs + answeredAfterMs, poll.sentWallMs + answeredAfterMs);
        waitMs = nextWaitMs(poll.waitMs);
        if (!changes.rows().isEmpty()) {
            onChange.run();
        }
        pollAfter(poll);
    }

    /**
     * Returns the wait of the next poll. After a late response the first poll does not wait, to confirm the
     * configuration at once; further ones wait briefly, so that a slow store is not polled in a tight loop.
     */
    private long nextWaitMs(long requestedWaitMs) {
        if (ageMs() <= LATE_RESPONSE_MS) {
            return WAIT_MS;
        }
        return requestedWaitMs > SHORT_WAIT_MS ? 0 : SHORT_WAIT_MS;
    }

    private void apply(StoredRow row) {
        switch (OperatorRow.decode(row)) {
            case OperatorRow.Configuration read -> applyConfig(read.config());
            case OperatorRow.Evacuation evacuation -> {
                boolean modified = evacuation.active()
                        ? evacuatedDomains.add(evacuation.domain())
                        : evacuatedDomains.remove(evacuation.domain());
                if (modified) {
                    LOG.info("evacuation domain={} active={}", evacuation.domain(), evacuation.active());
                }
            }
            case OperatorRow.Other other -> LOG.info("row of the operators' table ignored key={}", other.key());
        }
    }

    private void applyConfig(FleetConfig read) {
        // the version never decreases while the process runs
        if (config == null || read.version() > config.version()) {
            LOG.info(
                    "configuration version={} routes={}",
                    read.version(),
                    read.routes().size());
            config = read;
        }
    }

    /**
     * A poll for changes, or a read of the whole table.
     *
     * @param number the number of the poll
     * @param waitMs how long the store may wait for a change, in milliseconds
     * @param sentAtMs when it was sent, on the monotonic clock
     * @param sentWallMs when it was sent, on the wall clock
     */
    private record Poll(long number, long waitMs, long sentAtMs, long sentWallMs) {}

    /** Reads the operators' rows from the store. */
    interface Source {
        /** Reads all rows of a table in one partition. */
        Mono<RowPage> readAll(String table, String partition);

        /** Returns the changes of a table after a version, as soon as there are any or after the given milliseconds. */
        Mono<RowChanges> changes(String table, long after, long waitMs);
    }
}
