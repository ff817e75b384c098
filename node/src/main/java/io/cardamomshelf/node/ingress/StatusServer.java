package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import java.util.function.BooleanSupplier;

/**
 * The address where the platform asks whether callers should be sent here.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class StatusServer {

    private final Vertx vertx;
    private final BooleanSupplier ready;
    private boolean lastReady;

    /**
     * Creates a server.
     *
     * @param vertx the event loop's owner, not null
     * @param ready whether answers can be given, not null
     */
    public StatusServer(Vertx vertx, BooleanSupplier ready) {
        this.vertx = vertx;
        this.ready = ready;
    }

    /**
     * Starts to listen.
     *
     * @param endpoint where, not null
     * @return the port, once it listens
     */
    public Uni<Integer> listen(Endpoint endpoint) {
        return vertx.createHttpServer()
                .requestHandler(
                        request ->
                                request.response()
                                        .setStatusCode(isReady() ? Answer.OK : Answer.UNAVAILABLE)
                                        .end()
                                        .subscribe()
                                        .with(done -> {}, StatusServer::unheard))
                .listen(endpoint.port(), endpoint.host())
                .map(HttpServer::actualPort);
    }

    /** The platform asks again each second, so a lost answer matters no further. */
    private static void unheard(Throwable failure) {
        EventLog.of(NodeEvent.ANSWER_UNDELIVERED)
                .with("path", "readiness")
                .with("cause", failure.getMessage())
                .write();
    }

    private boolean isReady() {
        boolean now = ready.getAsBoolean();
        if (now != lastReady) {
            lastReady = now;
            EventLog.of(NodeEvent.READINESS_CHANGED).with("ready", now).write();
        }
        return now;
    }
}
