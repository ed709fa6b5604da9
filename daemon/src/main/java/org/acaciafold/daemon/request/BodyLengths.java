package org.acaciafold.daemon.request;

import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import reactor.core.publisher.Flux;
import reactor.core.publisher.Mono;

/** Enforces the lengths of streamed bodies. */
final class BodyLengths {
    private BodyLengths() {}

    /**
     * Returns a body that fails when it is shorter or longer than declared.
     *
     * @param body the body
     * @param declared the declared length in bytes, empty when unknown
     * @param step the step to report in the error
     * @param peer the peer to report in the error
     * @return the checked body
     */
    static Flux<byte[]> checked(Flux<byte[]> body, OptionalLong declared, Step step, String peer) {
        if (declared.isEmpty()) {
            return body;
        }
        long length = declared.getAsLong();
        Supplier<Failure> wrongLength =
                () -> Failure.unknown(step, peer, "body-cut", "the body is not " + length + " bytes");
        return Flux.defer(() -> {
            AtomicLong seen = new AtomicLong();
            Flux<byte[]> counted = body.handle((part, sink) -> {
                if (seen.addAndGet(part.length) > length) {
                    sink.error(new AcaciafoldException(wrongLength.get()));
                } else {
                    sink.next(part);
                }
            });
            return counted.concatWith(Mono.defer(() ->
                    seen.get() == length ? Mono.empty() : Mono.error(new AcaciafoldException(wrongLength.get()))));
        });
    }

    /**
     * Returns a body that fails when it is longer than allowed.
     *
     * @param body the body
     * @param maxBytes the maximum length in bytes
     * @return the bounded body
     */
    static Flux<byte[]> bounded(Flux<byte[]> body, long maxBytes) {
        return Flux.defer(() -> {
            AtomicLong seen = new AtomicLong();
            return body.handle((part, sink) -> {
                if (seen.addAndGet(part.length) > maxBytes) {
                    sink.error(new AcaciafoldException(tooLong(maxBytes)));
                } else {
                    sink.next(part);
                }
            });
        });
    }

    static Failure tooLong(long maxBytes) {
        String message = "the body is longer than " + maxBytes + " bytes";
        return Failure.notRun(Step.ADMISSION, "caller", "too-long", message);
    }
}
