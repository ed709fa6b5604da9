package org.acaciafold.daemon;

import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.DomainId;
import org.acaciafold.core.model.HostId;
import org.acaciafold.core.model.Resources;
import org.acaciafold.core.port.HostEntry;
import org.acaciafold.core.port.HostList;
import org.acaciafold.core.port.HostRole;
import org.acaciafold.core.port.WorkerCommand;
import org.acaciafold.core.port.WorkerReply;
import org.acaciafold.core.port.WorkerView;
import org.acaciafold.settings.HostAddresses;
import org.acaciafold.settings.HostSettings;
import org.acaciafold.settings.HostTimings;
import org.acaciafold.settings.Keys;
import org.acaciafold.settings.NewKey;
import org.acaciafold.settings.ObservabilitySettings;
import org.acaciafold.settings.TraceExport;
import reactor.core.publisher.Mono;

/** An entry host with an in-memory table and one worker that starts no tasks. */
final class TestHost implements AutoCloseable {
    static final long MAX_BODY_BYTES = 200_000;
    static final NewKey OPERATOR_KEY = Keys.create(new SecureRandom());
    static final HostId ID = HostId.of("host-1");
    static final DomainId DOMAIN = DomainId.of("east");

    private static final WorkerView WORKER =
            new WorkerView(Resources.of(32_000, 128 * 1024, 0), "rack-1", 8, 64, 0, false, List.of());

    final FakeTable table;
    final EntryHost host;
    private final AtomicLong leases = new AtomicLong();

    private TestHost(FakeTable table, RequestServices.Factory requestServices) throws AcaciafoldException {
        this.table = table;
        HostList list = new HostList(List.of(entry(ID.value(), HostRole.ENTRY), entry("w1", HostRole.WORKER)));
        PlatformClients clients = new PlatformClients(
                table, () -> Mono.just(list), (address, command) -> Mono.fromSupplier(() -> command(command)));
        host = EntryHost.builder(settings("127.0.0.1:0"))
                .clients(clients)
                .requestServices(requestServices)
                .start();
    }

    static TestHost start(RequestServices.Factory requestServices) throws AcaciafoldException {
        return start(new FakeTable(), requestServices);
    }

    static TestHost start(FakeTable table, RequestServices.Factory requestServices) throws AcaciafoldException {
        return new TestHost(table, requestServices);
    }

    static HostSettings settings(String callers) {
        return new HostSettings(
                ID,
                DOMAIN,
                new HostAddresses(callers, "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"),
                "a secret of the cluster",
                OPERATOR_KEY.hash(),
                new HostTimings(500, 3_000, 30_000, 1_000, 250),
                new ObservabilitySettings(false, TraceExport.NONE, ""),
                MAX_BODY_BYTES);
    }

    @Override
    public void close() {
        host.stop();
    }

    private WorkerReply command(WorkerCommand command) {
        return switch (command) {
            case WorkerCommand.Claim ignored ->
                new WorkerReply.Claimed(leases.incrementAndGet(), 1, Optional.of(WORKER), List.of());
            case WorkerCommand.Start ignored -> new WorkerReply.Refused("no-capacity", "starts nothing");
            default -> new WorkerReply.Done();
        };
    }

    static HostEntry entry(String id, HostRole role) {
        return new HostEntry(id, role, DOMAIN, "rack-1", "127.0.0.1:1", "127.0.0.1:1", false);
    }
}
