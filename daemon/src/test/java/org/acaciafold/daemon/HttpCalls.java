package org.acaciafold.daemon;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import org.acaciafold.core.codec.Codec;
import org.acaciafold.core.model.Failure;
import org.acaciafold.core.model.Step;

/** Sends HTTP requests in tests. */
final class HttpCalls {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private HttpCalls() {}

    static HttpResponse<String> call(
            String method, String address, String path, String key, String body, String... headers) throws Exception {
        return call(method, address, path, key, HttpRequest.BodyPublishers.ofString(body), headers);
    }

    static HttpResponse<String> call(
            String method, String address, String path, String key, HttpRequest.BodyPublisher body, String... headers)
            throws Exception {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(TIMEOUT)
                .method(method, body);
        if (!key.isEmpty()) {
            request.header("Authorization", "Bearer " + key);
        }
        if (headers.length > 0) {
            request.headers(headers);
        }
        return CLIENT.send(request.build(), HttpResponse.BodyHandlers.ofString());
    }

    static Failure failure(HttpResponse<String> response) throws Exception {
        return Codec.json().decode(response.body().getBytes(), Failure.class, Step.RESPONSE, "test");
    }
}
