package org.acaciafold.coordination;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.WorkspaceId;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class RegistrationTest {
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

    // -- tick

    @Test
    void shouldServeCallsOnlyOnceRegisteredWhenTheTableIsUnavailableAtTheStart() {
        fleet.table().down(true);
        fleet.start("h4", "d2");
        fleet.run(5_000);
        assertFalse(fleet.host("h4").state().registered());
        ClientReply reply = fleet.call("h4", new ClientCall.Claim(WorkspaceId.of("t"), "key", "digest"));
        assertEquals("not-registered", failure(reply).failure().code());

        fleet.table().down(false);
        fleet.run(5_000);

        assertTrue(fleet.host("h4").state().registered());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8})
    void shouldNotRegisterWithOldSettingsWhenItIsPausedDuringRegistration(int stepsBefore) {
        fleet.start("h4", "d2");
        fleet.run(stepsBefore * TestFleet.STEP_MS);
        fleet.pause("h4", true);
        long version = edited(fleet.call("h1", put("e1", 0, OUT))).version();
        fleet.run(4_000);
        boolean accepted =
                edited(fleet.call("h1", new ClientCall.QueryEdit("e1"))).accepted();
        fleet.pause("h4", false);

        for (int i = 0; i < 100; i++) {
            fleet.run(TestFleet.STEP_MS);
            boolean isRegistered = fleet.host("h4").state().registered();
            assertTrue(!accepted || !isRegistered || fleet.host("h4").version() >= version);
        }
    }

    @Test
    void shouldNotServeCallsWhenItResumesAfterAnotherProcessReplacedIt() {
        fleet.pause("h3", true);
        TestHost old = fleet.start("h3", "d2");
        fleet.pause("h3", false);
        fleet.run(4_000);
        assertTrue(old.state().registered());

        old.inbox().add(new Event.ClientCalled(99, new ClientCall.Claim(WorkspaceId.of("t"), "key", "digest")));
        fleet.run(old);

        assertEquals("not-registered", failure(fleet.reply(99)).failure().code());
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4, 5, 6, 7, 8})
    void shouldNotAcceptAnEditWithoutAHostThatRegistersMeanwhile(int stepsBefore) {
        fleet.call("h1", put("e0", 0, IN));
        long base = edited(fleet.call("h1", new ClientCall.QueryEdit("e0"))).version();
        fleet.start("h4", "d2");
        fleet.run(stepsBefore * TestFleet.STEP_MS);
        fleet.send("h1", put("e1", base, OUT));
        while (fleet.table().row("host/h4").isEmpty()
                || fleet.table().row(SettingsRows.edit("e1")).isEmpty()) {
            fleet.run(TestFleet.STEP_MS);
        }
        fleet.cut("h4", true);
        fleet.run(20_000);

        ClientReply.EditState state = edited(fleet.call("h1", new ClientCall.QueryEdit("e1")));
        assertEquals(state.accepted(), fleet.host("h4").version() >= state.version());
    }

    @Test
    void shouldReplaceItsOwnRegistrationWhenAHostRestarts() {
        fleet.pause("h3", true);
        edited(fleet.call("h1", put("e1", 0, OUT)));
        TestHost old = fleet.start("h3", "d2");
        fleet.pause("h3", false);

        assertAccepted("e1");
        for (int i = 0; i < 500; i++) {
            fleet.run(old);
            fleet.run(TestFleet.STEP_MS);
        }

        assertFalse(old.state().registered());
        assertTrue(fleet.host("h3").state().registered());
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void shouldWaitForAnUnresponsiveHostOnlyWhileItIsInTheHostList(boolean inHostList) {
        fleet.stop("h2");
        if (!inHostList) {
            fleet.removeFromHostList("h2");
        }
        fleet.call("h1", put("e1", 0, OUT));
        fleet.run(60_000);

        ClientReply.EditState state = edited(fleet.call("h1", new ClientCall.QueryEdit("e1")));
        assertEquals(inHostList ? List.of("h2") : List.of(), state.waitingFor());
    }

    @Test
    void shouldKeepTheRowOfARemovedHostWhileItCouldRunExclusiveTasks() {
        fleet.removeFromHostList("h2");
        fleet.cut("h2", true);
        fleet.run(300_000);
        assertTrue(fleet.table().row("host/h2").isPresent());

        fleet.run(600_000);

        assertEquals(Optional.empty(), fleet.table().row("host/h2"));
    }

    @ParameterizedTest
    @ValueSource(longs = {60_000, 900_000})
    void shouldRegisterAgainWhenItWasTreatedAsRemoved(long cutMs) {
        fleet.removeFromHostList("h2");
        fleet.cut("h2", true);
        fleet.run(cutMs);
        assertFalse(edited(fleet.call("h1", put("e0", 0, IN))).waitingFor().contains("h2"));

        fleet.cut("h2", false);
        long base = edited(fleet.call("h1", new ClientCall.QueryEdit("e0"))).version();
        edited(fleet.call("h1", put("e1", base, OUT)));
        fleet.run(5_000);

        assertTrue(fleet.host("h2").state().registered());
        assertEquals(fleet.host("h1").version(), fleet.host("h2").version());
        fleet.cut("h2", true);
        edited(fleet.call("h1", put("e2", fleet.host("h1").version(), IN)));
        fleet.run(2_000);
        assertEquals(
                List.of("h2"),
                edited(fleet.call("h1", new ClientCall.QueryEdit("e2"))).waitingFor());
    }

    @Test
    void shouldDeregisterWhenAHostStops() {
        fleet.host("h3").inbox().add(new Event.StopRequested());
        fleet.run(2_000);

        assertEquals(Optional.empty(), fleet.table().row("host/h3"));
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
}
