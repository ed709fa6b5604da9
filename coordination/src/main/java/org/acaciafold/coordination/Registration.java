package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.port.Check;
import org.acaciafold.core.port.Row;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import org.acaciafold.core.port.Write;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Maintains this host's registration, without which it must not act, and records there which settings are in force.
 *
 * <p>The transaction that registers the host also checks that the tree still has the version in force here. A later
 * incarnation of the same host overwrites the row of an earlier one, which then never acts again. After a pause the
 * host reads its row before it acts.
 */
final class Registration {
    private static final Logger LOG = LoggerFactory.getLogger(Registration.class);
    private static final long RETRY_MS = 200;

    /** The longest wait for the removal of the registration, as a multiple of the timeout of a call. */
    private static final int DEREGISTRATION_TIMEOUTS = 2;

    private final HostState state;
    private final String key;
    private Optional<SettingsRows.HostRow> row = Optional.empty();
    private long rowVersion;
    private long deregisteringSinceMs = Times.NEVER_MS;
    private boolean calling;
    private boolean superseded;
    private boolean wasRegistered;
    private long notBeforeMs;

    private Registration(HostState state) {
        this.state = state;
        this.key = SettingsRows.host(state.config().host());
    }

    static Registration of(HostState state) {
        return new Registration(state);
    }

    /** Returns whether the registration of this host is removed from the table, or its removal has timed out. */
    boolean released() {
        long timeoutMs = DEREGISTRATION_TIMEOUTS * state.config().callTimeoutMs();
        boolean timedOut =
                deregisteringSinceMs != Times.NEVER_MS && state.clock().nowMs() - deregisteringSinceMs > timeoutMs;
        return row.isEmpty() && !calling || timedOut;
    }

    /**
     * Registers the host, acknowledges the settings in force, or removes the registration when the host stops.
     *
     * @param nowMs the time in milliseconds
     * @param treeKnown whether the settings tree was read since the start
     * @param outbox the outbox that receives the calls
     */
    void tick(long nowMs, boolean treeKnown, Outbox outbox) {
        if (calling || superseded || nowMs < notBeforeMs) {
            return;
        }
        if (state.stopping()) {
            deregister(nowMs, outbox);
            return;
        }
        if (!state.registered()) {
            row = Optional.empty();
        }
        if (row.isEmpty() && treeKnown) {
            readOwn(outbox);
        } else if (row.isPresent() && !row.get().equals(wanted())) {
            SettingsRows.HostRow next = wanted();
            write(next, List.of(new Check(key, rowVersion)), outbox);
        }
    }

    private void applyStoredRow(Optional<Row> found) {
        if (found.isEmpty()) {
            clearRegistration(0);
            return;
        }
        rowVersion = found.get().version();
        try {
            SettingsRows.HostRow content = SettingsRows.decode(found.get(), SettingsRows.HostRow.class);
            boolean own = content.incarnation() == state.config().incarnation();
            if (own && content.gone()) {
                clearRegistration(rowVersion);
            } else if (own) {
                recordRegistration(content, rowVersion);
            } else if (wasRegistered) {
                superseded = true;
                clearRegistration(rowVersion);
                LOG.error(
                        "another process has registered as {}; this process no longer acts as the host",
                        state.config().host());
            }
        } catch (AcaciafoldException e) {
            LOG.error("unreadable registration {}: {}", key, e.getMessage());
        }
    }

    private void deregister(long nowMs, Outbox outbox) {
        if (row.isEmpty() || !state.owned().isEmpty()) {
            return;
        }
        if (deregisteringSinceMs == Times.NEVER_MS) {
            deregisteringSinceMs = nowMs;
        }
        state.registered(false);
        TableRequest request =
                new TableRequest.Commit(List.of(new Check(key, rowVersion)), List.of(new Write(key, Optional.empty())));
        call(outbox, request, reply -> {
            if (!(reply instanceof TableReply.Unavailable)) {
                clearRegistration(0);
            }
        });
    }

    private void recordRegistration(SettingsRows.HostRow content, long version) {
        row = Optional.of(content);
        rowVersion = version;
        wasRegistered = true;
        state.registered(true);
    }

    private void clearRegistration(long version) {
        row = Optional.empty();
        rowVersion = version;
        state.registered(false);
    }

    private void readOwn(Outbox outbox) {
        call(outbox, new TableRequest.Read(List.of(key)), reply -> {
            if (reply instanceof TableReply.Rows found) {
                applyStoredRow(found.rows().stream().findFirst());
                if (row.isEmpty() && !superseded) {
                    register(outbox);
                }
            }
        });
    }

    private void register(Outbox outbox) {
        List<Check> checks =
                List.of(new Check(SettingsRows.HEAD, state.settings().version()), new Check(key, rowVersion));
        write(wanted(), checks, outbox);
    }

    private SettingsRows.HostRow wanted() {
        long version = state.settings().version();
        long limitsBefore = row.map(SettingsRows.HostRow::limitsWithin).orElse(0L);
        long limitsWithin = state.limitsInForce() ? version : limitsBefore;
        return new SettingsRows.HostRow(
                state.config().incarnation(), state.config().domain(), version, limitsWithin, false);
    }

    private void write(SettingsRows.HostRow next, List<Check> checks, Outbox outbox) {
        Write write = SettingsRows.write(key, next, SettingsRows.HostRow.class);
        call(outbox, new TableRequest.Commit(checks, List.of(write)), reply -> {
            switch (reply) {
                case TableReply.Committed committed -> recordRegistration(next, committed.version());
                case TableReply.Conflict conflict ->
                    applyStoredRow(conflict.current().stream()
                            .filter(found -> found.key().equals(key))
                            .findFirst());
                case TableReply.Unavailable ignored -> LOG.debug("registration of {} not confirmed", key);
                case TableReply.Rows ignored -> throw new IllegalStateException("unexpected reply to a commit: Rows");
            }
        });
    }

    private void call(Outbox outbox, TableRequest request, Consumer<TableReply> then) {
        calling = true;
        long sentMs = state.clock().nowMs();
        outbox.call(sentMs, request, answer -> {
            calling = false;
            boolean late = state.clock().nowMs() - sentMs > state.config().callTimeoutMs();
            TableReply reply = late ? new TableReply.Unavailable("the answer came after a pause") : answer;
            boolean done = reply instanceof TableReply.Committed || reply instanceof TableReply.Rows;
            notBeforeMs = done ? 0 : state.clock().nowMs() + RETRY_MS;
            then.accept(reply);
        });
    }
}
