package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import java.util.function.BooleanSupplier;

/**
 * The HTTP server for the platform's readiness check: 200 while callers should be sent to this
 * instance, else 503.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class ReadinessServer {

    private final Vertx vertx;
    private final BooleanSupplier ready;
    private boolean wasReady;

    /**
     * Creates a server.
     *
     * @param vertx the Vert.x instance, not null
     * @param ready whether calls can be answered, not null
     */
    public ReadinessServer(Vertx vertx, BooleanSupplier ready) {
        this.vertx = vertx;
        this.ready = ready;
    }

    /**
     * Starts to listen.
     *
     * @param endpoint the address to listen on, not null
     * @return the port, as soon as the server listens on it
     */
    public Uni<Integer> listen(Endpoint endpoint) {
        return vertx.createHttpServer()
                .requestHandler(
                        request ->
                                request.response()
                                        .setStatusCode(isReady() ? Answer.OK : Answer.UNAVAILABLE)
                                        .end()
                                        .subscribe()
                                        .with(done -> {}, ReadinessServer::logUndelivered))
                .listen(endpoint.port(), endpoint.host())
                .map(HttpServer::actualPort);
    }

    /** Only logs the failure: the platform repeats the check every second. */
    private static void logUndelivered(Throwable failure) {
        EventLog.of(NodeEvent.ANSWER_UNDELIVERED)
                .with("path", "readiness")
                .with("cause", failure.getMessage())
                .write();
    }

    private boolean isReady() {
        boolean readyNow = ready.getAsBoolean();
        if (readyNow != wasReady) {
            wasReady = readyNow;
            EventLog.of(NodeEvent.READINESS_CHANGED).with("ready", readyNow).write();
        }
        return readyNow;
    }
}
