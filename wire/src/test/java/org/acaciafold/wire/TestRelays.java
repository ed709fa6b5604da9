package org.acaciafold.wire;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.WorkspaceId;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Creates requests and responses for tests. */
final class TestRelays {
    static final String SECRET = "a secret of the cluster";
    private static final long DEADLINE_MS = 15_000;

    private TestRelays() {}

    static Failure failure(Throwable error) {
        return ((AcaciafoldException) error).failure();
    }

    static RelayStatus status(String id) {
        return new RelayStatus(id, 200, List.of(), Optional.empty());
    }

    static byte[] text(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    static RelayHead head(String id) {
        return head(id, DEADLINE_MS);
    }

    static RelayHead head(String id, long deadlineMs) {
        return new RelayHead(id, WorkspaceId.of("north"), "catalogue", "POST", "/", List.of(), deadlineMs, "", false);
    }

    static Mono<String> relay(PeerTransport transport, String address, String id, String body) {
        return transport
                .relay(address, new RelayRequest(head(id), Flux.just(text(body))))
                .flatMapMany(RelayResponse::body)
                .map(bytes -> new String(bytes, StandardCharsets.UTF_8))
                .collectList()
                .map(parts -> String.join("", parts));
    }
}
