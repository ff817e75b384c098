package io.cardamomshelf.entry;

import io.cardamomshelf.core.request.Reason;
import io.cardamomshelf.core.request.Verdict;
import io.vertx.core.http.HttpConnection;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.util.HashMap;
import java.util.Map;

/**
 * Closes connections on which the headers or the body of a request take too long to arrive.
 *
 * <p>Use: {@code attach(server)}, then {@code headersReceived} as a handler before the one that
 * reads the body and {@code requestReceived} as one after it. The idle timeout of the server isn't
 * enough, because a slow sender restarts it with each byte.
 *
 * <p>Limits: HTTP/1.1, one request at a time on a connection.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class ReceiveTimeouts {

    private static final long MILLIS_PER_SECOND = 1_000;

    private final Vertx vertx;
    private final long receiveMillis;
    private final long idleMillis;
    private final Map<HttpConnection, Long> timers = new HashMap<>();

    ReceiveTimeouts(Vertx vertx, int receiveSeconds, int idleSeconds) {
        this.vertx = vertx;
        this.receiveMillis = receiveSeconds * MILLIS_PER_SECOND;
        this.idleMillis = idleSeconds * MILLIS_PER_SECOND;
    }

    /** Limits the time for the headers of the first request on each connection of a server. */
    void attach(HttpServer server) {
        server.getDelegate()
                .connectionHandler(
                        connection -> {
                            connection.closeHandler(closed -> cancelTimer(connection));
                            startTimer(connection, receiveMillis, connection::close);
                        });
    }

    /** Handles a request whose headers are received; its body gets the same time limit. */
    void headersReceived(RoutingContext context) {
        HttpConnection connection = connection(context);
        startTimer(connection, receiveMillis, () -> refuse(context));
        context.addEndHandler()
                .subscribe()
                .with(ended -> startTimer(connection, idleMillis, connection::close));
        context.next();
    }

    /** Handles a request that is received completely; its answer has no time limit here. */
    void requestReceived(RoutingContext context) {
        cancelTimer(connection(context));
        context.next();
    }

    private void refuse(RoutingContext context) {
        context.response().putHeader("Connection", "close");
        Problem.send(context, Verdict.NOT_RUN, Reason.TOO_SLOW, "", "body", "didn't come in time");
        connection(context).close();
    }

    private void startTimer(HttpConnection connection, long millis, Runnable onTimeout) {
        cancelTimer(connection);
        timers.put(connection, vertx.setTimer(millis, id -> onTimeout.run()));
    }

    private void cancelTimer(HttpConnection connection) {
        Long timer = timers.remove(connection);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
    }

    private static HttpConnection connection(RoutingContext context) {
        return context.request().getDelegate().connection();
    }
}
