package org.acaciafold.clients;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;
import reactor.core.publisher.Mono;

/** Calls the object store over HTTP. */
public final class HttpObjectClient implements ObjectClient {
    private static final String PATH = "/v1/objects/";
    private static final int STATUS_OK = 200;
    private static final int STATUS_NOT_FOUND = 404;

    private final String address;
    private final JsonHttp http;

    private HttpObjectClient(String address, JsonHttp http) {
        this.address = address;
        this.http = http;
    }

    /**
     * Creates a client.
     *
     * @param address the address of the platform, an IP address and a port
     * @param timeoutMs the timeout of a call in milliseconds
     * @return the client
     */
    public static HttpObjectClient of(String address, long timeoutMs) {
        return new HttpObjectClient(address, JsonHttp.of("objects", timeoutMs, Step.OBJECTS));
    }

    @Override
    public Mono<Optional<byte[]>> read(String key) {
        return http.get(address, path(key)).flatMap(this::decodeObject);
    }

    @Override
    public Mono<Void> write(String key, byte[] value) {
        return http.put(address, path(key), value);
    }

    private Mono<Optional<byte[]>> decodeObject(JsonHttp.Answer answer) {
        return switch (answer.status()) {
            case STATUS_OK -> Mono.just(Optional.of(answer.body()));
            case STATUS_NOT_FOUND -> Mono.just(Optional.empty());
            default -> {
                String message = "answered with status " + answer.status();
                Failure failure = Failure.unknown(Step.OBJECTS, address, "unexpected-status", message);
                yield Mono.error(new AcaciafoldException(failure));
            }
        };
    }

    private static String path(String key) {
        return PATH + URLEncoder.encode(key, StandardCharsets.UTF_8);
    }
}
