package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.request.Verdict;
import io.cardamomshelf.http.HttpExchanges.Response;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.mutiny.core.Vertx;
import java.nio.charset.StandardCharsets;

/**
 * Sends requests to upstreams, which run them.
 *
 * <p>Use: {@code upstreams.run(endpoint, attempt, payload, timeout)}. A response is accepted only
 * if it echoes the attempt's id and its digest matches its body. A response that is late, belongs
 * to another attempt or is truncated fails with {@code MAY_HAVE_RUN} and never reaches a caller.
 *
 * <p>Thread-safe.
 */
public final class UpstreamClient {

    /** The header with the attempt's id, in the request and in the response. */
    public static final String CORRELATION_HEADER = "X-Correlation-Id";

    private final HttpCalls calls;

    /**
     * Creates a client.
     *
     * @param vertx the event loops, not null
     * @param maxConnections the maximum number of connections to one upstream, from 1
     */
    public UpstreamClient(Vertx vertx, int maxConnections) {
        this.calls = new HttpCalls(vertx, maxConnections);
    }

    /**
     * Sends a request once.
     *
     * @param upstream the upstream's endpoint, not null
     * @param attempt the attempt's unique id, not null
     * @param payload the request's payload, not null
     * @param timeoutMillis how long to wait, in milliseconds, from 1
     * @return the response's whole body; fails with {@link PlatformException}
     */
    public Uni<String> run(Endpoint upstream, String attempt, String payload, long timeoutMillis) {
        RequestOptions request =
                HttpCalls.request(HttpMethod.POST, upstream, "/v1/run")
                        .putHeader(CORRELATION_HEADER, attempt);
        return calls.exchange(request, payload, timeoutMillis)
                .chain(response -> checkResponse(response, attempt));
    }

    private static Uni<String> checkResponse(Response response, String attempt) {
        byte[] body = response.body().getBytes();
        if (!attempt.equals(response.header(CORRELATION_HEADER))) {
            return failure(
                    Verdict.MAY_HAVE_RUN,
                    "the upstream's response has no or another attempt's correlation id");
        }
        if (response.status() != HttpCalls.OK) {
            int status = response.status();
            return failure(
                    HttpCalls.verdictOfErrorStatus(status), "the upstream answered " + status);
        }
        if (!Digest.of(body).equals(response.header(Digest.HEADER))) {
            return failure(
                    Verdict.MAY_HAVE_RUN,
                    "the digest of the upstream's response doesn't match its body");
        }
        return Uni.createFrom().item(new String(body, StandardCharsets.UTF_8));
    }

    private static Uni<String> failure(Verdict verdict, String message) {
        return Uni.createFrom().failure(new PlatformException(verdict, message));
    }
}
