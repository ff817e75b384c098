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
 * Sends JSON over HTTP for the clients of this package. Each failure becomes a {@link
 * PlatformException} whose verdict states whether the call may have taken effect.
 *
 * <p>Thread-safe.
 */
final class HttpCalls {

    static final int OK = 200;
    static final int NO_CONTENT = 204;

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;
    private static final int FIRST_ERROR_STATUS = 400;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int SERVICE_UNAVAILABLE = 503;

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

    HttpRequest<Buffer> request(HttpMethod method, Endpoint endpoint, String path) {
        return client.request(method, endpoint.port(), endpoint.host(), path);
    }

    /** Sends a request; fails if the response's status is 400 or above. */
    Uni<HttpResponse<Buffer>> send(HttpRequest<Buffer> request, String body, long timeoutMillis) {
        return exchange(request, body, timeoutMillis).chain(HttpCalls::failOnErrorStatus);
    }

    /** Sends a request and returns the response, whatever its status. */
    Uni<HttpResponse<Buffer>> exchange(
            HttpRequest<Buffer> request, String body, long timeoutMillis) {
        request.timeout(timeoutMillis);
        Uni<HttpResponse<Buffer>> sent =
                body == null ? request.send() : request.sendBuffer(Buffer.buffer(body));
        return sent.onFailure().transform(HttpCalls::toPlatformException);
    }

    static <T> Uni<T> parseBody(HttpResponse<Buffer> response, Class<T> type) {
        try {
            String text = response.bodyAsString();
            return Uni.createFrom().item(Json.read(text == null ? "" : text, type));
        } catch (FormatException e) {
            return Uni.createFrom()
                    .failure(new PlatformException(Verdict.MAY_HAVE_RUN, e.getMessage()));
        }
    }

    private static Uni<HttpResponse<Buffer>> failOnErrorStatus(HttpResponse<Buffer> response) {
        int status = response.statusCode();
        if (status < FIRST_ERROR_STATUS) {
            return Uni.createFrom().item(response);
        }
        String text = status + " " + response.bodyAsString();
        return Uni.createFrom().failure(new PlatformException(verdictOfErrorStatus(status), text));
    }

    /**
     * Returns the verdict of an error status. A server sends 4xx and 503 before it processes the
     * request; any other error may occur after the request has taken effect.
     */
    static Verdict verdictOfErrorStatus(int status) {
        boolean refusedUnprocessed =
                status < FIRST_SERVER_ERROR_STATUS || status == SERVICE_UNAVAILABLE;
        return refusedUnprocessed ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN;
    }

    private static PlatformException toPlatformException(Throwable cause) {
        boolean unsent =
                cause instanceof ConnectException
                        || cause instanceof NoRouteToHostException
                        || isConnectionPoolTimeout(cause);
        return new PlatformException(
                unsent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }

    private static boolean isConnectionPoolTimeout(Throwable cause) {
        return cause instanceof TimeoutException
                && String.valueOf(cause.getMessage()).contains("connection pool");
    }
}
