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
 * Follows what operators write, and knows until when its view was right.
 *
 * <p>A view is right until the store answered, which is known only from when the call was sent: an answer may wait in the
 * socket of a host that is paused. Both clocks count, since the steady one stands still while a machine is suspended.
 */
final class ConfigWatch {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigWatch.class);

    /** The store answers a waiting call at once when something changes; without changes it confirms the view. */
    private static final long WAIT_MS = 1_000;

    /** In a slow store the way takes part of the time for which a view is trusted, so calls wait less. */
    private static final long SHORT_WAIT_MS = 250;

    /** Answers take some ten milliseconds; longer ones come from a slow store, or were read late. */
    private static final long LATE_RESPONSE_MS = 150;

    private static final long RETRY_MS = 100;

    private final Source store;
    private final Timers loop;
    private final Runnable onChange;
    private final Set<String> evacuated = new HashSet<>();
    private FleetConfig config;
    private long confirmedAtMs = Long.MIN_VALUE / 2;
    private long confirmedWallMs = Long.MIN_VALUE / 2;
    private long version = -1;
    private long waitMs = WAIT_MS;

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

    Set<String> evacuated() {
        return evacuated;
    }

    /** Returns how long ago the view was known to be the newest one, in milliseconds. */
    long ageMs() {
        return Math.max(loop.nowMs() - confirmedAtMs, loop.wallMs() - confirmedWallMs);
    }

    /**
     * Notes when the present view was known to be the newest one.
     *
     * @param atMs the time on the steady clock
     * @param wallMs the same moment by the time of day
     */
    void confirm(long atMs, long wallMs) {
        if (atMs >= confirmedAtMs) {
            confirmedAtMs = atMs;
            confirmedWallMs = wallMs;
        }
    }

    private void poll() {
        long sentAtMs = loop.nowMs();
        long sentWallMs = loop.wallMs();
        if (version < 0) {
            store.readAll(OperatorRow.TABLE, "")
                    .subscribe(
                            page -> loop.execute(() -> applyAll(page, sentAtMs, sentWallMs)),
                            error -> loop.after(RETRY_MS, this::poll));
        } else {
            long wait = waitMs;
            store.changes(OperatorRow.TABLE, version, wait)
                    .subscribe(
                            found -> loop.execute(() -> applyChanges(found, wait, sentAtMs, sentWallMs)),
                            error -> loop.after(RETRY_MS, this::poll));
        }
    }

    private void applyAll(RowPage page, long sentAtMs, long sentWallMs) {
        evacuated.clear();
        page.rows().forEach(this::apply);
        version = page.version();
        confirm(sentAtMs, sentWallMs);
        waitMs = nextWaitMs(WAIT_MS);
        onChange.run();
        poll();
    }

    private void applyChanges(RowChanges changes, long requestedWaitMs, long sentAtMs, long sentWallMs) {
        if (changes.historyLost()) {
            LOG.warn("history of the operators' table lost after={}", version);
            version = -1;
            poll();
            return;
        }
        changes.rows().forEach(this::apply);
        version = Math.max(version, changes.version());
        boolean unchanged = changes.rows().isEmpty() && loop.nowMs() - sentAtMs >= requestedWaitMs;
        // without changes the store has waited before it answered
        long answeredAfterMs = unchanged ? requestedWaitMs : 0;
        confirm(sentAtMs + answeredAfterMs, sentWallMs + answeredAfterMs);
        waitMs = nextWaitMs(requestedWaitMs);
        if (!changes.rows().isEmpty()) {
            onChange.run();
        }
        poll();
    }

    /** A view that is old when it comes is confirmed at once, but not over and over. */
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
                        ? evacuated.add(evacuation.domain())
                        : evacuated.remove(evacuation.domain());
                if (modified) {
                    LOG.info("evacuation domain={} active={}", evacuation.domain(), evacuation.active());
                }
            }
            case OperatorRow.Other other -> LOG.info("operators' row left alone key={}", other.key());
        }
    }

    private void applyConfig(FleetConfig read) {
        // versions only go forward within one life of the process
        if (config == null || read.version() > config.version()) {
            LOG.info(
                    "configuration version={} routes={}",
                    read.version(),
                    read.routes().size());
            config = read;
        }
    }

    /** Where the operators' rows are read. */
    interface Source {
        /** Reads all rows of a table in one partition. */
        Mono<RowPage> readAll(String table, String partition);

        /** Returns the changes of a table after a version, once there are some or after the given milliseconds. */
        Mono<RowChanges> changes(String table, long after, long waitMs);
    }
}
