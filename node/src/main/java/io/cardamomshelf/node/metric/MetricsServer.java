package io.cardamomshelf.node.metric;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
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

    private final Vertx vertx;
    private final CollectorRegistry collectors = new CollectorRegistry();

    /**
     * Creates a server.
     *
     * @param vertx the Vert.x instance, not null
     * @param metrics the metrics to export, not null
     */
    public MetricsServer(Vertx vertx, ServiceMetrics metrics) {
        this.vertx = vertx;
        collectors.register(new DropwizardExports(metrics.registry()));
    }

    /**
     * Starts to listen.
     *
     * @param endpoint the address to listen on, not null
     * @return the port, as soon as the server listens on it
     */
    public Uni<Integer> listen(Endpoint endpoint) {
        return vertx.createHttpServer()
                .requestHandler(this::serve)
                .listen(endpoint.port(), endpoint.host())
                .map(HttpServer::actualPort);
    }

    private void serve(HttpServerRequest request) {
        request.response()
                .putHeader("Content-Type", TextFormat.CONTENT_TYPE_004)
                .end(metricsAsText())
                .subscribe()
                .with(done -> {}, MetricsServer::logUndelivered);
    }

    /** Only logs the failure: the next request returns the same counters. */
    private static void logUndelivered(Throwable failure) {
        EventLog.of(NodeEvent.ANSWER_UNDELIVERED)
                .with("path", "metrics")
                .with("cause", failure.getMessage())
                .write();
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
