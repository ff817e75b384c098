package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.request.Verdict;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.ext.web.client.WebClientOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.util.concurrent.TimeoutException;

/**
 * Sends JSON over HTTP and turns each failure into a {@link PlatformException} with its verdict.
 *
 * <p>Thread-safe.
 */
final class HttpCalls {

    static final int OK = 200;
    static final int NO_CONTENT = 204;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int REJECTED_FROM = 400;
    private static final int SERVER_ERROR_FROM = 500;
    private static final int UNAVAILABLE = 503;

    private final WebClient client;

    HttpCalls(Vertx vertx, int maxConnections) {
        WebClientOptions options =
                new WebClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setMaxPoolSize(maxConnections)
                        .setFollowRedirects(false)
                        .setUserAgentEnabled(false);
        this.client = WebClient.create(vertx, options);
    }

    HttpRequest<Buffer> request(HttpMethod method, Endpoint to, String path) {
        return client.request(method, to.port(), to.host(), path);
    }

    /** Sends a request; an answer of 400 and above becomes a failure. */
    Uni<HttpResponse<Buffer>> send(HttpRequest<Buffer> request, String body, long timeoutMillis) {
        return exchange(request, body, timeoutMillis).chain(HttpCalls::accepted);
    }

    /** Sends a request and gives back any answer. */
    Uni<HttpResponse<Buffer>> exchange(
            HttpRequest<Buffer> request, String body, long timeoutMillis) {
        request.timeout(timeoutMillis);
        Uni<HttpResponse<Buffer>> sent =
                body == null ? request.send() : request.sendBuffer(Buffer.buffer(body));
        return sent.onFailure().transform(HttpCalls::failure);
    }

    static <T> Uni<T> parsed(HttpResponse<Buffer> response, Class<T> type) {
        try {
            String text = response.bodyAsString();
            return Uni.createFrom().item(Json.read(text == null ? "" : text, type));
        } catch (FormatException e) {
            return Uni.createFrom()
                    .failure(new PlatformException(Verdict.MAY_HAVE_RUN, e.getMessage()));
        }
    }

    private static Uni<HttpResponse<Buffer>> accepted(HttpResponse<Buffer> response) {
        int status = response.statusCode();
        if (status < REJECTED_FROM) {
            return Uni.createFrom().item(response);
        }
        String text = status + " " + response.bodyAsString();
        return Uni.createFrom().failure(new PlatformException(refusal(status), text));
    }

    /** A 4xx or 503 was given before anything was done; any other error may have come after. */
    static Verdict refusal(int status) {
        boolean before = status < SERVER_ERROR_FROM || status == UNAVAILABLE;
        return before ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    }

    private static PlatformException failure(Throwable cause) {
        boolean unsent =
                cause instanceof ConnectException
                        || cause instanceof NoRouteToHostException
                        || isPoolTimeout(cause);
        return new PlatformException(
                unsent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }

    private static boolean isPoolTimeout(Throwable cause) {
        return cause instanceof TimeoutException
                && String.valueOf(cause.getMessage()).contains("connection pool");
    }
}
