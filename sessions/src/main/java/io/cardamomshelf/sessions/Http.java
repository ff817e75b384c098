package io.cardamomshelf.sessions;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

/**
 * A blocking HTTP client for sessions.
 *
 * <p>Thread-safe.
 */
final class Http {

    /** Many times the longest call, so that only an instance that hangs exceeds it. */
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient client = HttpClient.newHttpClient();

    /** Sends a request; the address has no {@code http://}, a null body stands for no body. */
    Deployment.Reply send(String method, String url, String body, String... headers)
            throws SessionException {
        HttpRequest.BodyPublisher publisher =
                body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body);
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + url))
                        .timeout(TIMEOUT)
                        .method(method, publisher);
        if (headers.length > 0) {
            request.headers(headers);
        }
        try {
            HttpResponse<String> response =
                    client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Deployment.Reply(response.statusCode(), response.body());
        } catch (IOException e) {
            throw new SessionException(method + " " + url + ": " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new SessionException("interrupted");
        }
    }
}
