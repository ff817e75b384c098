package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.request.Verdict;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpRequest;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import java.nio.charset.StandardCharsets;

/**
 * The client of the upstreams that run requests.
 *
 * <p>Use: {@code upstreams.run(endpoint, attempt, payload, timeout)}. An answer counts only if it
 * echoes the attempt's id and its digest holds; a late, crossed or cut answer fails with {@code
 * MAY_HAVE_RUN} and never reaches a caller.
 *
 * <p>Thread-safe.
 */
public final class UpstreamClient {

    /** The header that carries the attempt's id there and back. */
    public static final String CORRELATION_HEADER = "X-Correlation-Id";

    private final HttpCalls calls;

    /**
     * Creates a client.
     *
     * @param vertx the event loops, not null
     * @param connections the most connections to one upstream, from 1
     */
    public UpstreamClient(Vertx vertx, int connections) {
        this.calls = new HttpCalls(vertx, connections);
    }

    /**
     * Runs a request once.
     *
     * @param upstream where the upstream listens, not null
     * @param attempt the attempt's unique id, not null
     * @param payload what to run, not null
     * @param timeoutMillis how long to wait, in milliseconds, from 1
     * @return the whole answer; fails with {@link PlatformException}
     */
    public Uni<String> run(Endpoint upstream, String attempt, String payload, long timeoutMillis) {
        HttpRequest<Buffer> request =
                calls.request(HttpMethod.POST, upstream, "/v1/run")
                        .putHeader(CORRELATION_HEADER, attempt);
        return calls.exchange(request, payload, timeoutMillis)
                .chain(response -> checked(response, attempt));
    }

    private static Uni<String> checked(HttpResponse<Buffer> response, String attempt) {
        byte[] body = response.body() == null ? new byte[0] : response.body().getBytes();
        if (!attempt.equals(response.getHeader(CORRELATION_HEADER))) {
            return failed(Verdict.MAY_HAVE_RUN, "the answer is another request's");
        }
        if (response.statusCode() != HttpCalls.OK) {
            int status = response.statusCode();
            return failed(HttpCalls.refusal(status), "the upstream answered " + status);
        }
        if (!Digest.of(body).equals(response.getHeader(Digest.HEADER))) {
            return failed(Verdict.MAY_HAVE_RUN, "the answer's digest doesn't hold");
        }
        return Uni.createFrom().item(new String(body, StandardCharsets.UTF_8));
    }

    private static Uni<String> failed(Verdict verdict, String what) {
        return Uni.createFrom().failure(new PlatformException(verdict, what));
    }
}
