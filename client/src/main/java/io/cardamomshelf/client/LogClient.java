package io.cardamomshelf.client;

import io.cardamomshelf.core.base.Endpoint;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;

/**
 * The client of the platform's append-only log.
 *
 * <p>Use: {@code log.append("jobs", text)} gives the offset; {@code log.read("jobs", from, wait)}
 * gives a page, which waits at the tail until a record comes. A failed append carries the verdict
 * whether the record may have been appended.
 *
 * <p>Thread-safe.
 */
public final class LogClient {

    /** The stream of configuration. */
    public static final String CONFIG = "config";

    /** The stream of jobs. */
    public static final String JOBS = "jobs";

    /** The stream of idempotency claims. */
    public static final String CLAIMS = "claims";

    private static final int CONNECTIONS = 16;
    private static final long TIMEOUT_MILLIS = 2_000;

    private record Appended(long offset) {}

    private final HttpCalls calls;
    private final Endpoint log;

    /**
     * Creates a client.
     *
     * @param vertx the event loops, not null
     * @param log where the log is, not null
     */
    public LogClient(Vertx vertx, Endpoint log) {
        this.calls = new HttpCalls(vertx, CONNECTIONS);
        this.log = log;
    }

    /**
     * Appends a record.
     *
     * @param stream the stream, not null
     * @param body the record, not null
     * @return the record's offset; fails with {@link PlatformException}
     */
    public Uni<Long> append(String stream, String body) {
        return calls.send(calls.request(HttpMethod.POST, log, path(stream)), body, TIMEOUT_MILLIS)
                .chain(response -> HttpCalls.parsed(response, Appended.class))
                .map(Appended::offset);
    }

    /**
     * Reads records.
     *
     * @param stream the stream, not null
     * @param from the first offset wanted, from 1
     * @param waitMillis how long the log may wait at the tail for a record, in milliseconds
     * @return the page; fails with {@link PlatformException}
     */
    public Uni<LogPage> read(String stream, long from, long waitMillis) {
        String query = path(stream) + "?from=" + from + "&wait=" + waitMillis;
        return calls.send(
                        calls.request(HttpMethod.GET, log, query),
                        null,
                        TIMEOUT_MILLIS + waitMillis)
                .chain(response -> HttpCalls.parsed(response, LogPage.class));
    }

    private static String path(String stream) {
        return "/streams/" + stream + "/records";
    }
}
