package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.mutiny.core.Vertx;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/**
 * Calls the interfaces of entry instances for operators and for callers, on behalf of the
 * operators' command.
 *
 * <p>Use: {@code entries.status(operatorsEndpoint)}; {@code entries.call(POST, callersEndpoint,
 * path, key, json)} returns the response's status and text unparsed.
 *
 * <p>Thread-safe.
 */
public final class EntryClient {

    private static final int MAX_CONNECTIONS = 8;
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final long CALL_TIMEOUT_MILLIS = 65_000;

    /**
     * An entry instance's response to a caller.
     *
     * @param status the HTTP status
     * @param body the JSON text, not null
     */
    public record Reply(int status, String body) {}

    private final HttpCalls calls;
    private final String token;

    /**
     * Creates a client.
     *
     * @param vertx the event loops, not null
     * @param token the operators' token, not null; empty for callers
     */
    public EntryClient(Vertx vertx, String token) {
        this.calls = new HttpCalls(vertx, MAX_CONNECTIONS);
        this.token = token;
    }

    /**
     * Reads an instance's events.
     *
     * @param entry the instance's operators' endpoint, not null
     * @param subject the subject whose events are read, not null, empty for all events
     * @return the events; fails with {@link PlatformException}
     */
    public Uni<OperatorViews.Timeline> timeline(Endpoint entry, String subject) {
        String query =
                subject.isEmpty()
                        ? ""
                        : "?subject=" + URLEncoder.encode(subject, StandardCharsets.UTF_8);
        return readForOperators(entry, "/v1/timeline" + query, OperatorViews.Timeline.class);
    }

    /**
     * Reads an instance's state.
     *
     * @param entry the instance's operators' endpoint, not null
     * @return the state; fails with {@link PlatformException}
     */
    public Uni<OperatorViews.Status> status(Endpoint entry) {
        return readForOperators(entry, "/v1/status", OperatorViews.Status.class);
    }

    /**
     * Reads the jobs that haven't ended.
     *
     * @param entry the instance's operators' endpoint, not null
     * @return the jobs; fails with {@link PlatformException}
     */
    public Uni<OperatorViews.Jobs> jobs(Endpoint entry) {
        return readForOperators(entry, "/v1/jobs", OperatorViews.Jobs.class);
    }

    /**
     * Sends a request to the callers' interface.
     *
     * @param method the HTTP method, not null
     * @param entry the instance's callers' endpoint, not null
     * @param path the path, not null
     * @param key the idempotency key, not null, empty for none
     * @param body the JSON text, null for none
     * @return the response, whatever its status; fails with {@link PlatformException} if there is
     *     none
     */
    public Uni<Reply> call(
            HttpMethod method, Endpoint entry, String path, String key, String body) {
        RequestOptions request = HttpCalls.request(method, entry, path);
        if (!key.isEmpty()) {
            request.putHeader("Idempotency-Key", key);
        }
        return calls.exchange(request, body, CALL_TIMEOUT_MILLIS)
                .map(response -> new Reply(response.status(), response.body().toString()));
    }

    private <T> Uni<T> readForOperators(Endpoint entry, String path, Class<T> type) {
        RequestOptions request =
                HttpCalls.request(HttpMethod.GET, entry, path)
                        .putHeader("Authorization", "Bearer " + token);
        return calls.send(request, null, TIMEOUT_MILLIS)
                .chain(response -> HttpCalls.parseBody(response, type));
    }
}
