package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
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
    private final CallerBudget budget;
    private final EventLimiter events;
    private boolean wasReady;

    /**
     * Creates a server.
     *
     * @param vertx the Vert.x instance, not null
     * @param ready whether calls can be answered, not null
     * @param budget the limits of what clients may make the instance hold, not null
     */
    public ReadinessServer(Vertx vertx, BooleanSupplier ready, CallerBudget budget) {
        this.vertx = vertx;
        this.ready = ready;
        this.budget = budget;
        this.events = new EventLimiter(budget.clock());
    }

    /**
     * Starts to listen.
     *
     * @param endpoint the address to listen on, not null
     * @return the port, as soon as the server listens on it
     */
    public Uni<Integer> listen(Endpoint endpoint) {
        return budget.createInternalServer(vertx)
                .requestHandler(
                        request -> {
                            request.response()
                                    .setStatusCode(isReady() ? Answer.OK : Answer.UNAVAILABLE);
                            BodilessRequests.answer(request, Buffer.buffer(), this::logUndelivered);
                        })
                .listen(endpoint.port(), endpoint.host())
                .map(HttpServer::actualPort);
    }

    /** Only logs the failure: the platform repeats the check every second. */
    private void logUndelivered(Throwable failure) {
        events.write(
                NodeEvent.ANSWER_UNDELIVERED,
                line -> line.with("path", "readiness").with("cause", failure.getMessage()));
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
