package org.acaciafold.daemon;

import java.io.ByteArrayOutputStream;
import java.util.Locale;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import reactor.core.publisher.Mono;
import reactor.netty.http.server.HttpServerRequest;

/** Reads whole request bodies of bounded length. */
final class RequestBodies {
    private static final String CALLER = "caller";

    private RequestBodies() {}

    /**
     * Reads the body of a request into memory.
     *
     * @param request the request
     * @param contentType the only content type that is accepted, without parameters
     * @param maxBytes the maximum length of the body in bytes
     * @return the body; an error signal carries an {@link AcaciafoldException} of code {@code content-type} or
     *     {@code too-long}
     */
    static Mono<byte[]> read(HttpServerRequest request, String contentType, long maxBytes) {
        String actual = mediaType(request.requestHeaders().get("Content-Type", ""));
        if (!actual.equals(contentType)) {
            return Mono.error(rejection("content-type", "the content type must be " + contentType + ", not " + actual));
        }
        if (declaredLength(request) > maxBytes) {
            return Mono.error(tooLong(maxBytes));
        }
        return request.receive()
                .asByteArray()
                .<ByteArrayOutputStream>reduceWith(
                        ByteArrayOutputStream::new, (body, part) -> append(body, part, maxBytes))
                .map(ByteArrayOutputStream::toByteArray)
                .onErrorMap(BodyTooLong.class, error -> tooLong(maxBytes));
    }

    private static ByteArrayOutputStream append(ByteArrayOutputStream body, byte[] part, long maxBytes) {
        if (body.size() + (long) part.length > maxBytes) {
            throw new BodyTooLong();
        }
        body.writeBytes(part);
        return body;
    }

    private static long declaredLength(HttpServerRequest request) {
        try {
            return Long.parseLong(request.requestHeaders().get("Content-Length", "0"));
        } catch (NumberFormatException e) {
            return Long.MAX_VALUE;
        }
    }

    private static String mediaType(String header) {
        int end = header.indexOf(';');
        return (end < 0 ? header : header.substring(0, end)).trim().toLowerCase(Locale.ROOT);
    }

    private static AcaciafoldException rejection(String code, String message) {
        return new AcaciafoldException(Failure.notRun(Step.ADMISSION, CALLER, code, message));
    }

    private static AcaciafoldException tooLong(long maxBytes) {
        return rejection("too-long", "the body is longer than " + maxBytes + " bytes");
    }

    private static final class BodyTooLong extends RuntimeException {
        private static final long serialVersionUID = 1L;

        private BodyTooLong() {
            super("body too long", null, false, false);
        }
    }
}
