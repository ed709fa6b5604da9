package org.acaciafold.daemon;

import java.util.List;
import java.util.Optional;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import org.acaciafold.wire.RelayResponse;
import org.acaciafold.wire.RelayStatus;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Refuses all live requests, for a host that only runs jobs. */
final class NoRequestPlane {
    private static final int STATUS_UNAVAILABLE = 503;

    private NoRequestPlane() {}

    static RequestPlane create(RequestContext context) {
        Failure failure = Failure.notRun(
                Step.ROUTING,
                context.settings().host().value(),
                "no-live-requests",
                "this host takes no live requests");
        return new RequestPlane(
                (request, response, team) -> Mono.error(new AcaciafoldException(failure)),
                request -> Mono.just(new RelayResponse(
                        new RelayStatus(
                                request.head().requestId(), STATUS_UNAVAILABLE, List.of(), Optional.of(failure)),
                        Flux.empty())));
    }
}
