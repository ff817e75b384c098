package io.cardamomshelf.node.ingress;

import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.settings.CallerLimits;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;

/**
 * What clients make an instance hold, over all its HTTP servers: connections, bodies, unread
 * responses and waiting requests.
 *
 * <p>Use: each server is created with {@code budget.createServer(vertx, connections)}, which
 * enforces the limits of connections; {@link CallersServer} also accounts for its bodies.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class CallerBudget {

    /** After this time without traffic a connection is closed, in seconds. */
    private static final int IDLE_TIMEOUT_SECONDS = 30;

    /**
     * The size of the system's buffers of a connection in each direction, in bytes; the system
     * doubles it. They count as the machine's memory, and by default grow to megabytes.
     */
    private static final int SYSTEM_BUFFER_BYTES = 32_768;

    private final CallerLimits limits;
    private final Clock clock;
    private final LimitReporter reporter;
    private final ByteBudget bodies;
    private final ByteBudget queued;
    private final ServiceMetrics metrics;

    /**
     * Creates a budget.
     *
     * @param limits the limits, not null
     * @param clock the clock, not null
     * @param timers the timers of the event loop, not null
     * @param metrics the metrics to update, not null
     */
    public CallerBudget(CallerLimits limits, Clock clock, Timers timers, ServiceMetrics metrics) {
        this.limits = limits;
        this.clock = clock;
        this.metrics = metrics;
        this.reporter = new LimitReporter(clock, timers, metrics);
        this.bodies = new ByteBudget(limits.bodyBytes(), clock);
        this.queued = new ByteBudget(limits.queuedBytes(), clock);
        metrics.gauge(Name.CALLERS_BODY_BYTES, bodies::heldBytes);
        metrics.gauge(Name.CALLERS_QUEUED_BYTES, queued::heldBytes);
    }

    /** Creates the server for callers. */
    HttpServer createCallersServer(Vertx vertx) {
        ConnectionRegistry registry =
                new ConnectionRegistry(
                        limits.connections(), limits.connectionsPerAddress(), reporter, clock);
        metrics.gauge(Name.CALLERS_CONNECTIONS, registry::count);
        return createServer(vertx, registry);
    }

    /** Creates a server for the platform's own checks, whose connections have a limit apart. */
    HttpServer createInternalServer(Vertx vertx) {
        return createServer(
                vertx,
                new ConnectionRegistry(
                        limits.internalConnections(),
                        limits.internalConnections(),
                        reporter,
                        clock));
    }

    CallerLimits limits() {
        return limits;
    }

    LimitReporter reporter() {
        return reporter;
    }

    ByteBudget bodies() {
        return bodies;
    }

    ByteBudget queued() {
        return queued;
    }

    /** Counts a connection that was closed as soon as it was accepted; thread-safe. */
    void countRefusedConnection() {
        metrics.count(Name.CALLERS_LIMITED, CallerLimit.CONNECTIONS);
    }

    Clock clock() {
        return clock;
    }

    private HttpServer createServer(Vertx vertx, ConnectionRegistry registry) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                        .setTcpNoDelay(true)
                        .setReceiveBufferSize(SYSTEM_BUFFER_BYTES)
                        .setSendBufferSize(SYSTEM_BUFFER_BYTES)
                        .setHttp2ClearTextEnabled(false);
        return vertx.createHttpServer(options)
                .connectionHandler(
                        connection ->
                                ConnectionGuard.install(connection.getDelegate(), this, registry));
    }
}
