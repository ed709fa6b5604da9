package org.acaciafold.standin;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Minimal HTTP client for the demo. */
final class DemoHttp {
    private static final Duration TIMEOUT = Duration.ofSeconds(15);
    private static final ObjectMapper JSON = new ObjectMapper();

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(TIMEOUT)
            .build();

    /**
     * Sends a request and waits for the response.
     *
     * @param method the HTTP method
     * @param address an IP number and a port
     * @param path the path
     * @param headers the headers
     * @param body the request body; empty when there is none
     * @return the response
     * @throws IOException when no response arrives within 15 s
     * @throws InterruptedException when the thread is interrupted
     */
    Reply send(String method, String address, String path, Map<String, String> headers, String body)
            throws IOException, InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .method(
                        method,
                        body.isEmpty()
                                ? HttpRequest.BodyPublishers.noBody()
                                : HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        HttpResponse<byte[]> response = client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
        return new Reply(
                response.statusCode(),
                new String(response.body(), StandardCharsets.UTF_8),
                response.headers().firstValue("acaciafold-worker").orElse(""),
                response.headers().firstValue("acaciafold-outcome").orElse(""));
    }

    /**
     * A response of an entry host.
     *
     * @param status the HTTP status
     * @param body the body
     * @param worker the worker that answered; empty when none did
     * @param outcome the value of the header {@code acaciafold-outcome}; empty when it is absent
     */
    record Reply(int status, String body, String worker, String outcome) {
        JsonNode json() throws IOException {
            return JSON.readTree(body);
        }
    }
}
