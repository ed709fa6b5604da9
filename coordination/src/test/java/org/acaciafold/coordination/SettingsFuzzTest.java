package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Outcome;
import org.acaciafold.core.port.Row;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Injects random faults and checks the results against an oracle that uses only the replies to operators and the
 * settings in force on each host.
 */
class SettingsFuzzTest {
    private static final int HOSTS = 4;
    private static final long IN_FORCE_WITHIN_MS = 14_000;
    private static final int SUBTREES = 3;
    private static final int STEPS_PER_QUERY = 4;
    private static final long OUTAGE_END_MS = 4_000;

    enum Kind {
        EDIT,
        REPEAT,
        CUT,
        JOIN,
        PAUSE,
        RESUME,
        RESTART,
        TABLE_DOWN,
        TABLE_UP,
        LOSE_ANSWERS,
        STALE_READS,
        FRESH_READS
    }

    record Action(Kind kind, int host, int subtree, int runMs) {}

    // -- EditSettings

    @Property(tries = 150, seed = "20")
    void shouldStayConsistentWithRepliesToOperatorsWhenFaultsOccur(@ForAll("actions") List<Action> actions) {
        Run run = new Run();
        for (Action action : actions) {
            run.perform(action);
        }
        run.healAndVerify();
    }

    @Provide
    Arbitrary<List<Action>> actions() {
        Arbitrary<Kind> kinds = Arbitraries.frequencyOf(
                Tuple.of(4, Arbitraries.of(Kind.EDIT)), Tuple.of(6, Arbitraries.of(Kind.class)));
        return Combinators.combine(
                        kinds,
                        Arbitraries.integers().between(0, HOSTS - 1),
                        Arbitraries.integers().between(0, SUBTREES - 1),
                        Arbitraries.of(0, 10, 20, 50, 200, 1_000, 5_000))
                .as(Action::new)
                .list()
                .ofMinSize(1)
                .ofMaxSize(60);
    }

    /** One test case: the fleet and the replies that operators received. */
    private static final class Run {
        private final TestFleet fleet = new TestFleet();
        private final Map<Long, ClientCall.EditSettings> pendingEdits = new HashMap<>();
        private final Map<String, Set<Outcome>> outcomes = new HashMap<>();
        private final Map<String, Long> written = new HashMap<>();
        private final Set<String> accepted = new HashSet<>();
        private final Set<String> replacedVersions = new HashSet<>();
        private final Map<TestHost, Long> versions = new HashMap<>();
        private final Map<String, TreeMap<Long, Integer>> history = new TreeMap<>();
        private long pendingQuery;
        private int steps;
        private final List<ClientCall.EditSettings> edits = new ArrayList<>();

        Run() {
            for (int i = 0; i < HOSTS; i++) {
                fleet.start("h" + i, "d" + i % 2);
            }
            fleet.run(1_000);
        }

        void perform(Action action) {
            String host = "h" + action.host();
            switch (action.kind()) {
                case EDIT -> edit(host, action.subtree());
                case REPEAT -> repeat(host);
                case CUT -> fleet.cut(host, true);
                case JOIN -> fleet.cut(host, false);
                case PAUSE -> fleet.pause(host, true);
                case RESUME -> fleet.pause(host, false);
                case RESTART -> fleet.start(host, "d" + action.host() % 2);
                case TABLE_DOWN -> fleet.table().down(true);
                case TABLE_UP -> fleet.table().down(false);
                case LOSE_ANSWERS -> fleet.table().dropCommitReplies(1 + action.subtree());
                case STALE_READS -> fleet.table().stale(action.subtree() == 0);
                case FRESH_READS -> fleet.table().fresh();
                default -> throw new IllegalStateException("unknown " + action.kind());
            }
            advance(action.runMs());
        }

        void healAndVerify() {
            fleet.table().down(false);
            fleet.table().fresh();
            fleet.table().dropCommitReplies(0);
            for (int i = 0; i < HOSTS; i++) {
                fleet.cut("h" + i, false);
                fleet.pause("h" + i, false);
            }
            advance(OUTAGE_END_MS);
            advance(IN_FORCE_WITHIN_MS);
            long version = fleet.table()
                    .row(SettingsRows.HEAD)
                    .map(row -> row.version())
                    .orElse(0L);
            for (TestHost host : fleet.hosts().values()) {
                assertTrue(host.state().registered(), host.id() + " is not registered");
                assertEquals(version, host.version(), host.id() + " has an older version than the table");
            }
            written.forEach((edit, at) -> assertEquals(
                    new ClientReply.EditState(edit, at, true, List.of()),
                    fleet.call("h0", new ClientCall.QueryEdit(edit))));
            outcomes.forEach((edit, seen) -> {
                boolean refused = seen.equals(Set.of(Outcome.NOT_RUN));
                assertTrue(
                        !refused || fleet.table().row(SettingsRows.edit(edit)).isEmpty(), edit + " was written");
            });
        }

        private void checkInvariants() {
            for (int i = 0; i < SUBTREES; i++) {
                String path = path(i);
                fleet.table()
                        .row(SettingsRows.subtree(path))
                        .ifPresent(row -> history.computeIfAbsent(path, key -> new TreeMap<>())
                                .computeIfAbsent(row.version(), version -> slices(row)));
            }
            for (TestHost host : fleet.hosts().values()) {
                assertEquals(
                        slicesAt(host.version()),
                        slicesAt(host),
                        host.id() + " has settings that differ from its version");
                long before = versions.getOrDefault(host, 0L);
                assertTrue(host.version() >= before, host.id() + " reverted to an older version");
                versions.put(host, host.version());
                for (String edit : accepted) {
                    assertTrue(
                            !host.state().registered() || host.version() >= written.get(edit),
                            edit + " was accepted without " + host.id());
                }
            }
        }

        private void edit(String host, int subtree) {
            String path = path(subtree);
            long expected = fleet.table()
                    .row(SettingsRows.subtree(path))
                    .map(row -> row.version())
                    .orElse(0L);
            String text = "[domain]\nslices = " + (1 + edits.size() % 9) + "\n";
            ClientCall.EditSettings edit =
                    new ClientCall.EditSettings("e" + edits.size(), path, expected, Optional.of(text));
            edits.add(edit);
            pendingEdits.put(fleet.send(host, edit), edit);
        }

        /** Queries a host for the edit with the highest version that a reply reported as written. */
        private void queryLatestEdit(int host) {
            if (pendingQuery != 0
                    && fleet.reply(pendingQuery) instanceof ClientReply.EditState state
                    && state.accepted()) {
                accepted.add(state.editId());
            }
            written.entrySet().stream()
                    .max(Map.Entry.comparingByValue())
                    .ifPresent(
                            latest -> pendingQuery = fleet.send("h" + host, new ClientCall.QueryEdit(latest.getKey())));
        }

        private static int slices(Row row) {
            try {
                String text =
                        SettingsRows.decode(row, SettingsRows.SubtreeRow.class).text();
                return Integer.parseInt(text.substring(text.indexOf('=') + 1).trim());
            } catch (AcaciafoldException e) {
                throw new IllegalStateException(e);
            }
        }

        private Map<String, Integer> slicesAt(long version) {
            Map<String, Integer> slices = new TreeMap<>();
            history.forEach((path, versions) -> {
                Map.Entry<Long, Integer> last = versions.floorEntry(version);
                if (last != null) {
                    slices.put(path, last.getValue());
                }
            });
            return slices;
        }

        private static Map<String, Integer> slicesAt(TestHost host) {
            Map<String, Integer> slices = new TreeMap<>();
            host.state().settings().domains().forEach((id, domain) -> slices.put("domain/" + id, domain.slices()));
            return slices;
        }

        private static String path(int subtree) {
            return "domain/x" + subtree;
        }

        private void recordReply(ClientCall.EditSettings edit, ClientReply reply) {
            Outcome outcome =
                    switch (reply) {
                        case ClientReply.EditState state -> {
                            recordWritten(edit, state);
                            yield Outcome.RAN;
                        }
                        case ClientReply.EditConflict ignored -> Outcome.NOT_RUN;
                        case ClientReply.Failed failed -> failed.failure().outcome();
                        default -> throw new IllegalStateException("unexpected " + reply);
                    };
            outcomes.computeIfAbsent(edit.editId(), id -> new HashSet<>()).add(outcome);
        }

        private void recordWritten(ClientCall.EditSettings edit, ClientReply.EditState state) {
            Long before = written.put(edit.editId(), state.version());
            if (before == null) {
                assertTrue(
                        replacedVersions.add(edit.subtree() + "@" + edit.expected()),
                        "two edits replaced the same version");
            } else {
                assertEquals(before, state.version(), "an edit was written twice");
            }
            if (state.accepted()) {
                accepted.add(edit.editId());
            }
        }

        private void advance(long ms) {
            for (long elapsed = 0; elapsed <= ms; elapsed += TestFleet.STEP_MS) {
                fleet.run(TestFleet.STEP_MS);
                steps++;
                if (steps % STEPS_PER_QUERY == 0) {
                    queryLatestEdit(steps / STEPS_PER_QUERY % HOSTS);
                }
                pendingEdits.entrySet().removeIf(entry -> {
                    ClientReply reply = fleet.reply(entry.getKey());
                    if (reply != null) {
                        recordReply(entry.getValue(), reply);
                    }
                    return reply != null;
                });
                checkInvariants();
            }
        }

        private void repeat(String host) {
            if (!edits.isEmpty()) {
                ClientCall.EditSettings edit = edits.getLast();
                pendingEdits.put(fleet.send(host, edit), edit);
            }
        }
    }
}
