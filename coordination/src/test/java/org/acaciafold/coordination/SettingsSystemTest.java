package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.Outcome;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class SettingsSystemTest {
    private static final String OUT = "[domain]\ntaken-out = true\n";
    private static final String IN = "[domain]\ntaken-out = false\n";
    private static final String SUBTREE = "domain/d1";
    private static final long IN_FORCE_WITHIN_MS = 14_000;

    private final TestFleet fleet = new TestFleet();

    @BeforeEach
    void start() {
        fleet.start("h1", "d1");
        fleet.start("h2", "d1");
        fleet.start("h3", "d2");
        fleet.run(2_000);
    }

    // -- EditSettings

    @Test
    void shouldBeInForceEverywhereWhenAnEditIsAccepted() {
        ClientReply.EditState edit = edited(fleet.call("h1", put("e1", 0, OUT)));

        assertAccepted("e1");
        for (TestHost host : fleet.hosts().values()) {
            assertEquals(edit.version(), host.version());
            assertTrue(host.state().settings().takenOut(DomainId.of("d1")));
        }
    }

    @Test
    void shouldWriteOneEditWhenTwoHostsEditTheSameSubtree() {
        long first = fleet.send("h1", put("e1", 0, OUT));
        long second = fleet.send("h2", put("e2", 0, IN));
        fleet.run(1_000);

        ClientReply.EditState written = edited(fleet.reply(first));
        ClientReply.EditConflict conflict = assertInstanceOf(ClientReply.EditConflict.class, fleet.reply(second));
        assertEquals(new ClientReply.EditConflict(written.version(), OUT), conflict);
    }

    @Test
    void shouldWriteBothEditsWhenTwoHostsEditDifferentSubtrees() {
        long first = fleet.send("h1", put("e1", 0, OUT));
        ClientCall other = new ClientCall.EditSettings("e2", "domain/d2", 0, Optional.of(OUT));
        long second = fleet.send("h2", other);
        fleet.run(3_000);

        assertNotEquals(
                edited(fleet.reply(first)).version(),
                edited(fleet.reply(second)).version());
        assertTrue(fleet.host("h3").state().settings().takenOut(DomainId.of("d1")));
        assertTrue(fleet.host("h3").state().settings().takenOut(DomainId.of("d2")));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 5})
    void shouldFindItsOwnWriteWhenTableRepliesAreLost(int lost) {
        fleet.table().dropCommitReplies(lost);

        ClientReply.EditState edit = edited(fleet.call("h1", put("e1", 0, OUT)));

        assertEquals(
                edit.version(),
                fleet.table().row(SettingsRows.HEAD).orElseThrow().version());
        assertAccepted("e1");
    }

    @Test
    void shouldReportUnknownWhenTheTableFailsAfterTheWriteWasSent() {
        fleet.table().dropCommitReplies(1);
        long call = fleet.send("h1", put("e1", 0, OUT));
        while (fleet.table().row(SettingsRows.edit("e1")).isEmpty()) {
            fleet.run(TestFleet.STEP_MS);
        }
        fleet.table().down(true);
        fleet.run(10_000);

        assertEquals(Outcome.UNKNOWN, failure(fleet.reply(call)).failure().outcome());
        fleet.table().down(false);
        assertAccepted("e1");
    }

    @Test
    void shouldReportNotRunWhenTheTableIsUnavailable() {
        fleet.table().down(true);
        ClientReply reply = fleet.call("h1", put("e1", 0, OUT));

        assertEquals(Outcome.NOT_RUN, failure(reply).failure().outcome());
        fleet.table().down(false);
        fleet.run(5_000);
        assertEquals(Optional.empty(), fleet.table().row(SettingsRows.edit("e1")));
    }

    @Test
    void shouldReturnTheFirstResultWhenAnEditIsRepeatedThroughAnotherHost() {
        ClientReply.EditState first = edited(fleet.call("h1", put("e1", 0, OUT)));
        edited(fleet.call("h1", put("e2", first.version(), IN)));

        ClientReply.EditState repeat = edited(fleet.call("h3", put("e1", 0, OUT)));

        assertEquals(first.version(), repeat.version());
        assertFalse(fleet.host("h1").state().settings().takenOut(DomainId.of("d1")));
        assertEquals(
                "edit-reused",
                failure(fleet.call("h3", put("e1", 0, IN))).failure().code());
    }

    static Stream<ClientCall.EditSettings> invalidEdits() {
        return Stream.of(
                new ClientCall.EditSettings("e1", SUBTREE, 0, Optional.of("[domain]\nslices = 0\n")),
                new ClientCall.EditSettings("e1", "workspace/north", 0, Optional.of("[workspace")),
                new ClientCall.EditSettings("e1", "open", 0, Optional.of("[services]\nx = nobody\n")),
                new ClientCall.EditSettings("e1", "workspace/../x", 0, Optional.of(OUT)));
    }

    @ParameterizedTest
    @MethodSource("invalidEdits")
    void shouldWriteNothingWhenTheResultingTreeWouldBeInvalid(ClientCall.EditSettings edit) {
        ClientReply.Failed failed = failure(fleet.call("h1", edit));

        assertEquals(Outcome.NOT_RUN, failed.failure().outcome());
        assertEquals(Optional.empty(), fleet.table().row(SettingsRows.HEAD));
    }

    @Test
    void shouldRemoveTheSubtreeEverywhereWhenAnEditHasNoText() {
        ClientReply.EditState created = edited(fleet.call("h1", put("e1", 0, OUT)));
        edited(fleet.call("h2", new ClientCall.EditSettings("e2", SUBTREE, created.version(), Optional.empty())));

        assertAccepted("e2");
        assertFalse(fleet.host("h3").state().settings().takenOut(DomainId.of("d1")));
        ClientReply found = fleet.call("h3", new ClientCall.QuerySettings(SUBTREE));
        assertEquals(new ClientReply.SettingsFound(SUBTREE, 0, ""), found);
    }

    @Test
    void shouldDeleteAnEditOnlyWhenTheRetentionHasPassed() {
        long version = edited(fleet.call("h1", put("e1", 0, OUT))).version();
        fleet.run(EditCleanup.RETENTION_MS / 2);
        edited(fleet.call("h1", put("e2", version, IN)));
        assertEquals(
                version,
                edited(fleet.call("h1", new ClientCall.QueryEdit("e1"))).version());

        fleet.run(EditCleanup.RETENTION_MS * 3 / 4);

        assertEquals(Optional.empty(), fleet.table().row(SettingsRows.edit("e1")));
        assertTrue(fleet.table().row(SettingsRows.edit("e2")).isPresent());
        assertInstanceOf(ClientReply.EditConflict.class, fleet.call("h1", put("e1", 0, OUT)));
    }

    // -- QueryEdit

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldStayPendingAndNameTheHostWhenItIsUnresponsive(boolean pausedNotCut) {
        setUnresponsive("h3", pausedNotCut, true);
        fleet.call("h1", put("e1", 0, OUT));
        fleet.run(600_000);

        assertEquals(
                List.of("h3"),
                edited(fleet.call("h1", new ClientCall.QueryEdit("e1"))).waitingFor());
        setUnresponsive("h3", pausedNotCut, false);
        assertAccepted("e1");
    }

    @Test
    void shouldReportUnknownEditWhenTheEditWasNeverWritten() {
        ClientReply reply = fleet.call("h1", new ClientCall.QueryEdit("nothing"));

        assertEquals("unknown-edit", failure(reply).failure().code());
    }

    // -- versions

    @Test
    void shouldKeepTheNewerVersionWhenReadsAreStale() {
        edited(fleet.call("h1", put("e1", 0, OUT)));
        assertAccepted("e1");
        fleet.table().stale(true);
        ClientReply.SettingsFound found = assertInstanceOf(
                ClientReply.SettingsFound.class, fleet.call("h1", new ClientCall.QuerySettings(SUBTREE)));
        fleet.table().fresh();
        ClientReply.EditState second = edited(fleet.call("h2", put("e2", found.version(), IN)));
        fleet.run(2_000);

        fleet.table().stale(true);
        fleet.run(5_000);

        fleet.hosts().values().forEach(host -> assertEquals(second.version(), host.version()));
    }

    @Test
    void shouldCatchUpWhenAHostMissedMoreChangesThanTheHeadLists() {
        fleet.cut("h3", true);
        long version = 0;
        for (int i = 0; i < 40; i++) {
            version = edited(fleet.call("h1", put("e" + i, version, i % 2 == 0 ? IN : OUT)))
                    .version();
        }
        fleet.cut("h3", false);

        assertAccepted("e39");
        assertEquals(version, fleet.host("h3").version());
    }

    private void assertAccepted(String editId) {
        ClientReply.EditState state = null;
        for (long waited = 0; waited < IN_FORCE_WITHIN_MS; waited += 100) {
            fleet.run(100);
            state = edited(fleet.call("h1", new ClientCall.QueryEdit(editId)));
            if (state.accepted()) {
                return;
            }
        }
        assertEquals(List.of(), state.waitingFor());
    }

    private static ClientReply.EditState edited(ClientReply reply) {
        return assertInstanceOf(ClientReply.EditState.class, reply);
    }

    private static ClientReply.Failed failure(ClientReply reply) {
        return assertInstanceOf(ClientReply.Failed.class, reply);
    }

    private static ClientCall.EditSettings put(String editId, long expected, String text) {
        return new ClientCall.EditSettings(editId, SUBTREE, expected, Optional.of(text));
    }

    private void setUnresponsive(String host, boolean pausedNotCut, boolean value) {
        if (pausedNotCut) {
            fleet.pause(host, value);
        } else {
            fleet.cut(host, value);
        }
    }
}
