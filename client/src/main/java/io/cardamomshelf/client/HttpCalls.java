package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.request.Verdict;
import io.cardamomshelf.http.HttpExchanges;
import io.cardamomshelf.http.HttpExchanges.Limits;
import io.cardamomshelf.http.HttpExchanges.Response;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import java.net.ConnectException;
import java.net.NoRouteToHostException;

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

    private final HttpExchanges exchanges;

    HttpCalls(Vertx vertx, int maxConnections) {
        HttpClientOptions options =
                new HttpClientOptions()
                        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS)
                        .setMaxPoolSize(maxConnections);
        this.exchanges = new HttpExchanges(vertx, options);
    }

    static RequestOptions request(HttpMethod method, Endpoint endpoint, String path) {
        return new RequestOptions()
                .setMethod(method)
                .setHost(endpoint.host())
                .setPort(endpoint.port())
                .setURI(path);
    }

    /** Sends a request; fails if the response's status is 400 or above. */
    Uni<Response> send(RequestOptions request, String body, long timeoutMillis) {
        return exchange(request, body, timeoutMillis).chain(HttpCalls::failOnErrorStatus);
    }

    /** Sends a request and returns the whole response, whatever its status. */
    Uni<Response> exchange(RequestOptions request, String body, long timeoutMillis) {
        Buffer content = body == null ? null : Buffer.buffer(body);
        return exchanges
                .send(request, connection -> content, Limits.of(timeoutMillis))
                .onFailure()
                .transform(HttpCalls::toPlatformException);
    }

    static <T> Uni<T> parseBody(Response response, Class<T> type) {
        try {
            return Uni.createFrom().item(Json.read(response.body().toString(), type));
        } catch (FormatException e) {
            return Uni.createFrom()
                    .failure(new PlatformException(Verdict.MAY_HAVE_RUN, e.getMessage()));
        }
    }

    private static Uni<Response> failOnErrorStatus(Response response) {
        int status = response.status();
        if (status < FIRST_ERROR_STATUS) {
            return Uni.createFrom().item(response);
        }
        String text = status + " " + response.body();
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
                cause instanceof ConnectException || cause instanceof NoRouteToHostException;
        return new PlatformException(
                unsent ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
                cause.getClass().getSimpleName() + ": " + cause.getMessage());
    }
}
