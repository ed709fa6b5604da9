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

/** Follows what operators write, and knows until when its view was right. */
final class ConfigWatch {
    private static final Logger LOG = LoggerFactory.getLogger(ConfigWatch.class);

    /** The store answers a waiting call at once when something changes; without changes it confirms the view. */
    private static final long WAIT_MS = 1_000;

    private static final long RETRY_MS = 100;

    private final StoreAccess store;
    private final Loop loop;
    private final Runnable changed;
    private final Set<String> evacuated = new HashSet<>();
    private FleetConfig config;
    private long confirmedAtMs = Long.MIN_VALUE / 2;
    private long version = -1;

    ConfigWatch(StoreAccess store, Loop loop, Runnable changed) {
        this.store = store;
        this.loop = loop;
        this.changed = changed;
    }

    void start() {
        next();
    }

    Optional<FleetConfig> config() {
        return Optional.ofNullable(config);
    }

    Set<String> evacuated() {
        return evacuated;
    }

    /** Returns how long ago the view was known to be the newest one, in milliseconds. */
    long ageMs() {
        return loop.nowMs() - confirmedAtMs;
    }

    private void next() {
        if (version < 0) {
            store.readAll(OperatorRow.TABLE, "")
                    .subscribe(page -> loop.execute(() -> read(page)), error -> loop.after(RETRY_MS, this::next));
        } else {
            store.changes(OperatorRow.TABLE, version, WAIT_MS)
                    .subscribe(found -> loop.execute(() -> follow(found)), error -> loop.after(RETRY_MS, this::next));
        }
    }

    private void read(RowPage page) {
        evacuated.clear();
        page.rows().forEach(this::apply);
        version = page.version();
        confirmed();
        changed.run();
        next();
    }

    private void follow(RowChanges changes) {
        if (changes.historyLost()) {
            LOG.warn("history of the operators' table lost after={}", version);
            version = -1;
            next();
            return;
        }
        changes.rows().forEach(this::apply);
        version = Math.max(version, changes.version());
        confirmed();
        if (!changes.rows().isEmpty()) {
            changed.run();
        }
        next();
    }

    private void apply(StoredRow row) {
        switch (OperatorRow.decode(row)) {
            case OperatorRow.Configuration read -> take(read.config());
            case OperatorRow.Evacuation evacuation -> {
                boolean news = evacuation.active()
                        ? evacuated.add(evacuation.domain())
                        : evacuated.remove(evacuation.domain());
                if (news) {
                    LOG.info("evacuation domain={} active={}", evacuation.domain(), evacuation.active());
                }
            }
            case OperatorRow.Other other -> LOG.info("operators' row left alone key={}", other.key());
        }
    }

    private void take(FleetConfig read) {
        // versions only go forward within one life of the process
        if (config == null || read.version() > config.version()) {
            LOG.info(
                    "configuration version={} routes={}",
                    read.version(),
                    read.routes().size());
            config = read;
        }
    }

    private void confirmed() {
        confirmedAtMs = loop.nowMs();
    }
}
