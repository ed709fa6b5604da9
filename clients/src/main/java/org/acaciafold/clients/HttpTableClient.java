package org.acaciafold.clients;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.AcaciafoldException;
import org.acaciafold.core.model.Step;
import org.acaciafold.core.port.TableReply;
import org.acaciafold.core.port.TableRequest;
import reactor.core.publisher.Mono;

/** Calls the table service over HTTP with JSON. */
public final class HttpTableClient implements TableClient {
    private static final String PATH = "/v1/table";

    private final String address;
    private final JsonHttp http;

    private HttpTableClient(String address, JsonHttp http) {
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
    public static HttpTableClient of(String address, long timeoutMs) {
        return new HttpTableClient(address, JsonHttp.of("table", timeoutMs, Step.TABLE));
    }

    @Override
    public Mono<TableReply> call(TableRequest request) {
        byte[] body = Codec.json().encode(request, TableRequest.class);
        return http.post(address, PATH, body).map(this::decode).onErrorResume(error -> Mono.just(unavailable(error)));
    }

    private TableReply decode(byte[] bytes) {
        try {
            return Codec.json().decode(bytes, TableReply.class, Step.TABLE, address);
        } catch (AcaciafoldException e) {
            return unavailable(e);
        }
    }

    private static TableReply unavailable(Throwable error) {
        return new TableReply.Unavailable(String.valueOf(error.getMessage()));
    }
}
