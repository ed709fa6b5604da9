package org.acaciafold.clients;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.HostList;
import reactor.core.publisher.Mono;

/** Reads the host list over HTTP with JSON. */
public final class HttpHostListClient implements HostListClient {
    private static final String PATH = "/v1/hosts";

    private final String address;
    private final JsonHttp http;

    private HttpHostListClient(String address, JsonHttp http) {
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
    public static HttpHostListClient of(String address, long timeoutMs) {
        return new HttpHostListClient(address, JsonHttp.of("hosts", timeoutMs, Step.ROUTING));
    }

    @Override
    public Mono<HostList> read() {
        return http.get(address, PATH).flatMap(answer -> decode(answer.body()));
    }

    private Mono<HostList> decode(byte[] bytes) {
        try {
            return Mono.just(Codec.json().decode(bytes, HostList.class, Step.ROUTING, address));
        } catch (AcaciafoldException e) {
            return Mono.error(e);
        }
    }
}
