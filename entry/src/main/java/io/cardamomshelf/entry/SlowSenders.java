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
 * Cuts off senders that take too long over one request, however steadily they trickle.
 *
 * <p>Use: {@code watch(server)}, then {@code started} as a handler ahead of the one that reads the
 * body and {@code whole} as one behind it. The idle timeout of the server alone doesn't do, for
 * each byte starts it anew.
 *
 * <p>Limits: HTTP/1.1, one request at a time on a connection.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class SlowSenders {

    private static final long SECOND_MILLIS = 1_000;

    private final Vertx vertx;
    private final long receiveMillis;
    private final long idleMillis;
    private final Map<HttpConnection, Long> timers = new HashMap<>();

    SlowSenders(Vertx vertx, int receiveSeconds, int idleSeconds) {
        this.vertx = vertx;
        this.receiveMillis = receiveSeconds * SECOND_MILLIS;
        this.idleMillis = idleSeconds * SECOND_MILLIS;
    }

    /** Gives each connection of a server its time for the headers of the first request. */
    void watch(HttpServer server) {
        server.getDelegate()
                .connectionHandler(
                        connection -> {
                            connection.closeHandler(closed -> disarm(connection));
                            arm(connection, receiveMillis, connection::close);
                        });
    }

    /** Takes a request whose headers have come; its body has as long again. */
    void started(RoutingContext context) {
        HttpConnection connection = connection(context);
        arm(connection, receiveMillis, () -> refuse(context));
        context.addEndHandler()
                .subscribe()
                .with(ended -> arm(connection, idleMillis, connection::close));
        context.next();
    }

    /** Takes a request that has come whole; its answer may take its time. */
    void whole(RoutingContext context) {
        disarm(connection(context));
        context.next();
    }

    private void refuse(RoutingContext context) {
        context.response().putHeader("Connection", "close");
        Problem.send(context, Verdict.NOT_RUN, Reason.TOO_SLOW, "", "body", "didn't come in time");
        connection(context).close();
    }

    private void arm(HttpConnection connection, long millis, Runnable then) {
        disarm(connection);
        timers.put(connection, vertx.setTimer(millis, id -> then.run()));
    }

    private void disarm(HttpConnection connection) {
        Long timer = timers.remove(connection);
        if (timer != null) {
            vertx.cancelTimer(timer);
        }
    }

    private static HttpConnection connection(RoutingContext context) {
        return context.request().getDelegate().connection();
    }
}
