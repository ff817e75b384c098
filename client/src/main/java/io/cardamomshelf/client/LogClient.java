package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;

/**
 * Appends to and reads from the streams of the platform's append-only log.
 *
 * <p>Use: {@code log.append("jobs", text)} returns the record's offset; {@code log.read("jobs",
 * from, wait)} returns a page and waits at the tail for a record. The verdict of a failed append
 * states whether the record may have been appended.
 *
 * <p>Thread-safe.
 */
public final class LogClient {

    /** The stream of configuration edits and snapshots. */
    public static final String CONFIG = "config";

    /** The stream of job records. */
    public static final String JOBS = "jobs";

    /** The stream of claims of idempotency keys. */
    public static final String CLAIMS = "claims";

    private static final int MAX_CONNECTIONS = 16;
    private static final long TIMEOUT_MILLIS = 2_000;

    private record Appended(long offset) {}

    private final HttpCalls calls;
    private final Endpoint endpoint;

    /**
     * Creates a client.
     *
     * @param vertx the event loops, not null
     * @param log the endpoint of the log, not null
     */
    public LogClient(Vertx vertx, Endpoint log) {
        this.calls = new HttpCalls(vertx, MAX_CONNECTIONS);
        this.endpoint = log;
    }

    /**
     * Appends a record.
     *
     * @param stream the stream, not null
     * @param body the record's text, not null
     * @return the record's offset; fails with {@link PlatformException}
     */
    public Uni<Long> append(String stream, String body) {
        return calls.send(
                        HttpCalls.request(HttpMethod.POST, endpoint, path(stream)),
                        body,
                        TIMEOUT_MILLIS)
                .chain(response -> HttpCalls.parseBody(response, Appended.class))
                .map(Appended::offset);
    }

    /**
     * Reads records.
     *
     * @param stream the stream, not null
     * @param from the first offset to read, from 1
     * @param waitMillis how long the log may wait at the tail for a record, in milliseconds
     * @return the page; fails with {@link PlatformException}
     */
    public Uni<LogPage> read(String stream, long from, long waitMillis) {
        String query = path(stream) + "?from=" + from + "&wait=" + waitMillis;
        return calls.send(
                        HttpCalls.request(HttpMethod.GET, endpoint, query),
                        null,
                        TIMEOUT_MILLIS + waitMillis)
                .chain(response -> HttpCalls.parseBody(response, LogPage.class));
    }

    private static String path(String stream) {
        return "/streams/" + stream + "/records";
    }
}
