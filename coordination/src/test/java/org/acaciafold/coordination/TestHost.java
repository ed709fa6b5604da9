package org.acaciafold.coordination;

import java.util.ArrayList;
import java.util.List;

import org.acaciafold.core.model.Clock;
import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;

/** An entry host that exposes the tables of its systems to tests. */
final class TestHost {
    private final HostState state;
    private final HostCore core;
    private final List<Event> inbox = new ArrayList<>();

    private TestHost(HostState state) {
        this.state = state;
        this.core = HostCore.of(state);
    }

    static TestHost of(String id, String domain, long incarnation, Clock clock) {
        HostConfig config = HostConfig.builder(HostId.of(id), DomainId.of(domain), incarnation)
                .build();
        return new TestHost(HostState.of(config, clock));
    }

    String id() {
        return state.config().host().value();
    }

    List<Event> inbox() {
        return inbox;
    }

    HostState state() {
        return state;
    }

    List<Effect> tick() {
        List<Event> events = List.copyOf(inbox);
        inbox.clear();
        return core.tick(events);
    }

    long version() {
        return state.settings().version();
    }
}
