package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import java.io.IOException;
import java.io.StringWriter;
import java.io.UncheckedIOException;

/**
 * The HTTP server that exports the metrics in the Prometheus text format.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class MetricsServer {

    /**
     * For how long an export is sent again, in milliseconds, so that clients who ask without end
     * don't occupy the event loop.
     */
    private static final long MAX_AGE_MILLIS = 250;

    private final Vertx vertx;
    private final CallerBudget budget;
    private final EventLimiter events;
    private final CollectorRegistry collectors = new CollectorRegistry();
    private Buffer exported = Buffer.buffer();
    private long exportedMillis = Long.MIN_VALUE / 2;

    /**
     * Creates a server.
     *
     * @param vertx the Vert.x instance, not null
     * @param metrics the metrics to export, not null
     * @param budget the limits of what clients may make the instance hold, not null
     */
    public MetricsServer(Vertx vertx, ServiceMetrics metrics, CallerBudget budget) {
        this.vertx = vertx;
        this.budget = budget;
        this.events = new EventLimiter(budget.clock());
        collectors.register(new DropwizardExports(metrics.registry()));
    }

    /**
     * Starts to listen.
     *
     * @param endpoint the address to listen on, not null
     * @return the port, as soon as the server listens on it
     */
    public Uni<Integer> listen(Endpoint endpoint) {
        return budget.createInternalServer(vertx)
                .requestHandler(this::serve)
                .listen(endpoint.port(), endpoint.host())
                .map(HttpServer::actualPort);
    }

    private void serve(HttpServerRequest request) {
        long nowMillis = budget.clock().monotonicMillis();
        if (nowMillis - exportedMillis > MAX_AGE_MILLIS) {
            exported = Buffer.buffer(metricsAsText());
            exportedMillis = nowMillis;
        }
        request.response().putHeader("Content-Type", TextFormat.CONTENT_TYPE_004);
        BodilessRequests.answer(request, exported, this::logUndelivered);
    }

    /** Only logs the failure: the next request returns the same counters. */
    private void logUndelivered(Throwable failure) {
        events.write(
                NodeEvent.ANSWER_UNDELIVERED,
                line -> line.with("path", "metrics").with("cause", failure.getMessage()));
    }

    private String metricsAsText() {
        StringWriter writer = new StringWriter();
        try {
            TextFormat.write004(writer, collectors.metricFamilySamples());
        } catch (IOException e) {
            throw new UncheckedIOException("can't format the metrics in memory", e);
        }
        return writer.toString();
    }
}
