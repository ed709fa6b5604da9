package org.acaciafold.entry;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.fleet.WorkerEntry;
import org.acaciafold.platform.RowPage;
import org.acaciafold.platform.WorkerEntries;

/** Polls the registry of workers during a term. */
final class WorkerWatch {
    private static final long PERIOD_MS = 500;

    /** Workers whose entries expired during a store outage register again within two seconds of its end. */
    private static final long REREGISTRATION_MS = 2_500;

    private final HostEventLoop loop;
    private final StoreAccess store;
    private final MalformedRows malformed;
    private final Listener listener;
    private boolean reading;
    private boolean ended;

    WorkerWatch(HostContext host, Listener listener) {
        this.loop = host.loop();
        this.store = host.store();
        this.malformed = host.malformed();
        this.listener = listener;
    }

    void start() {
        if (ended) {
            return;
        }
        loop.after(PERIOD_MS, this::start);
        if (!reading) {
            reading = true;
            store.readAll(WorkerEntries.TABLE, "")
                    .subscribe(
                            page -> loop.execute(() -> handlePage(page)), error -> loop.execute(() -> reading = false));
        }
    }

    void end() {
        ended = true;
    }

    private void handlePage(RowPage page) {
        reading = false;
        if (ended) {
            return;
        }
        List<WorkerEntry> entries = new ArrayList<>();
        page.rows()
                .forEach(row -> WorkerEntries.decode(row, reason -> malformed.report(row, reason))
                        .ifPresent(entries::add));
        boolean mayBeIncomplete = loop.nowMs() - store.failedAtMs() < REREGISTRATION_MS;
        listener.registryRead(entries, !mayBeIncomplete);
    }

    /** Receives the entries of the registry. */
    @FunctionalInterface
    interface Listener {
        /** Receives all readable entries, and whether they include every running worker for certain. */
        void registryRead(List<WorkerEntry> entries, boolean complete);
    }
}
