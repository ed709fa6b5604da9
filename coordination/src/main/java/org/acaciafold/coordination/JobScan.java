package org.acaciafold.coordination;

import java.util.List;

import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;

/** Reads all jobs of an owned slice from the table, after a takeover and then periodically. */
final class JobScan {
    private static final int PAGE_ROWS = 200;
    private static final long REPEAT_MS = 30_000;
    private static final long RETRY_MS = 1_000;

    private final HostState state;
    private final OwnedSlice slice;
    private long number = 1;
    private long requestsAtStart;
    private String after = "";
    private boolean inFlight;
    private long nextMs = Times.NEVER_MS;

    private JobScan(HostState state, OwnedSlice slice) {
        this.state = state;
        this.slice = slice;
    }

    static JobScan of(HostState state, OwnedSlice slice) {
        return new JobScan(state, slice);
    }

    OwnedSlice slice() {
        return slice;
    }

    /** Applies a row of the slice; a job that has moved away is removed. */
    void applyRow(Row row) {
        JobRow.read(row).ifPresent(content -> applyRow(row, content));
    }

    /** Reads the next page when it is due. */
    void tick(long nowMs, Outbox outbox) {
        boolean requested = !slice.scanned() && requestsAtStart != slice.scanRequests() && !inFlight;
        if (requested) {
            after = "";
        }
        if (inFlight || (nowMs < nextMs && !requested)) {
            return;
        }
        if (after.isEmpty()) {
            number++;
            requestsAtStart = slice.scanRequests();
        }
        inFlight = true;
        String prefix = JobRow.prefix(slice.id());
        outbox.call(nowMs, new TableRequest.Scan(prefix, after, PAGE_ROWS), reply -> {
            inFlight = false;
            nextMs = state.clock().nowMs() + RETRY_MS;
            if (reply instanceof TableReply.Rows rows && state.owned().get(slice.id()) == slice) {
                read(rows.rows());
            }
        });
    }

    private void applyRow(Row row, JobRow content) {
        HomedJob known = slice.jobs().get(content.spec().id());
        if (content.movedTo().isPresent()) {
            if (known != null && row.version() > known.version()) {
                remove(known);
            }
            return;
        }
        if (known == null) {
            known = HomedJob.of(content, row.version());
            slice.jobs().put(known.id(), known);
        } else if (row.version() > known.version() && !known.writing()) {
            known.reread(content, row.version());
        }
        known.seenInScan(number);
    }

    private void read(List<Row> rows) {
        rows.forEach(this::applyRow);
        if (rows.size() == PAGE_ROWS) {
            after = rows.getLast().key();
            nextMs = state.clock().nowMs();
            return;
        }
        after = "";
        nextMs = state.clock().nowMs() + REPEAT_MS;
        List.copyOf(slice.jobs().values()).stream()
                .filter(job -> job.seenInScan() < number && !job.writing())
                .forEach(this::remove);
        slice.scanned(requestsAtStart);
    }

    private void remove(HomedJob job) {
        job.unrecordedEnds().forEach(ReportedEnd::markDurable);
        slice.jobs().remove(job.id());
        slice.placement().removeJob(job.id());
    }
}
