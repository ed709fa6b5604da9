package org.acaciafold.cli;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import io.netty.handler.codec.http.HttpMethod;

/** An immutable HTTP request to an entry host. */
final class HostRequest {
    private final HttpMethod method;
    private final String path;
    private final Map<String, String> headers;
    private final Optional<String> body;
    private final boolean repeatable;

    private HostRequest(
            HttpMethod method, String path, Map<String, String> headers, Optional<String> body, boolean repeatable) {
        this.method = method;
        this.path = path;
        this.headers = headers;
        this.body = body;
        this.repeatable = repeatable;
    }

    static HostRequest of(HttpMethod method, String path) {
        return new HostRequest(method, path, Map.of(), Optional.empty(), false);
    }

    Optional<String> body() {
        return body;
    }

    Map<String, String> headers() {
        return headers;
    }

    /** Returns whether the request is idempotent: a repeat finds the result of the first. */
    boolean isRepeatable() {
        return repeatable;
    }

    HttpMethod method() {
        return method;
    }

    String path() {
        return path;
    }

    /** Returns a copy of the request, marked as safe to repeat. */
    HostRequest repeatable() {
        return new HostRequest(method, path, headers, body, true);
    }

    /** Returns a copy of the request with a body. */
    HostRequest with(String contentType, String text) {
        HostRequest typed = withHeader("Content-Type", contentType);
        return new HostRequest(method, path, typed.headers, Optional.of(text), repeatable);
    }

    /** Returns a copy of the request with a header. */
    HostRequest withHeader(String name, String value) {
        Map<String, String> changed = new TreeMap<>(headers);
        changed.put(name, value);
        return new HostRequest(method, path, changed, body, repeatable);
    }
}
