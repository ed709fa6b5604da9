package org.acaciafold.daemon.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaders;
import org.acaciafold.wire.Header;

/** The headers of live requests: their names, and which of them are forwarded. */
final class LiveHeaders {
    static final String REQUEST = "acaciafold-request";
    static final String OUTCOME = "acaciafold-outcome";
    static final String FENCE = "acaciafold-fence";
    static final String LEASE = "acaciafold-lease";
    static final String WORKSPACE = "acaciafold-workspace";
    static final String DEADLINE = "acaciafold-deadline-ms";
    static final String KEY = "idempotency-key";
    static final String TRACEPARENT = "traceparent";
    static final String LENGTH = "content-length";
    static final String TYPE = "content-type";
    static final String NOT_RUN = "not-run";

    /** The headers that are not forwarded: hop-by-hop headers, and those that each hop sets itself. */
    private static final Set<String> NOT_FORWARDED = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "host",
            "expect",
            "authorization",
            REQUEST,
            OUTCOME,
            FENCE,
            LEASE,
            WORKSPACE,
            DEADLINE,
            TRACEPARENT);

    private LiveHeaders() {}

    /** Returns the first value of a header. */
    static Optional<String> find(List<Header> headers, String name) {
        return headers.stream()
                .filter(header -> header.name().equals(name))
                .map(Header::value)
                .findFirst();
    }

    /** Returns the declared length of a body in bytes, empty when it is missing or malformed. */
    static OptionalLong length(List<Header> headers) {
        Optional<String> text = find(headers, LENGTH);
        try {
            return text.isPresent() ? OptionalLong.of(Long.parseLong(text.get().trim())) : OptionalLong.empty();
        } catch (NumberFormatException e) {
            return OptionalLong.empty();
        }
    }

    /** Returns the headers to forward to the next hop. */
    static List<Header> forwarded(HttpHeaders headers) {
        List<Header> forwarded = new ArrayList<>();
        for (Map.Entry<String, String> entry : headers) {
            String name = entry.getKey().toLowerCase(Locale.ROOT);
            if (!NOT_FORWARDED.contains(name)) {
                forwarded.add(new Header(name, entry.getValue()));
            }
        }
        return forwarded;
    }
}
