package io.cardamomshelf.entry;

import com.codahale.metrics.MetricRegistry;
import io.cardamomshelf.client.Json;
import io.cardamomshelf.client.OperatorViews;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.event.Event;
import io.cardamomshelf.core.fleet.Worker;
import io.cardamomshelf.core.job.CapacityState;
import io.cardamomshelf.core.request.Upstream;
import io.cardamomshelf.core.request.UpstreamChooser;
import io.prometheus.client.CollectorRegistry;
import io.prometheus.client.dropwizard.DropwizardExports;
import io.prometheus.client.exporter.common.TextFormat;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * The operators' HTTP interface on its own port: time line, status, open jobs and metrics.
 *
 * <p>Every path requires the operators' token, which is compared in constant time and never logged.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
final class OperatorsApi {

    private static final int UNAUTHORIZED = 401;
    private static final String BEARER = "Bearer ";

    private final Vertx vertx;
    private final InstanceIdentity identity;
    private final String token;
    private final Events events;
    private final ConfigFollower config;
    private final CapacityState capacity;
    private final UpstreamChooser chooser;
    private final Supplier<List<WorkerId>> quarantined;
    private final JobService jobs;
    private final CollectorRegistry metrics = new CollectorRegistry();

    OperatorsApi(
            Vertx vertx,
            InstanceIdentity identity,
            String token,
            Events events,
            ConfigFollower config,
            CapacityState capacity,
            UpstreamChooser chooser,
            Supplier<List<WorkerId>> quarantined,
            JobService jobs,
            MetricRegistry registry) {
        this.vertx = vertx;
        this.identity = identity;
        this.token = token;
        this.events = events;
        this.config = config;
        this.capacity = capacity;
        this.chooser = chooser;
        this.quarantined = quarantined;
        this.jobs = jobs;
        new DropwizardExports(registry).register(metrics);
    }

    Router router() {
        Router router = Router.router(vertx);
        router.route().handler(this::authorize);
        router.get("/v1/timeline").handler(this::timeline);
        router.get("/v1/status").handler(context -> send(context, status()));
        router.get("/v1/jobs").handler(context -> send(context, jobs.openJobs()));
        router.get("/metrics").handler(this::metrics);
        return router;
    }

    private void authorize(RoutingContext context) {
        String header = String.valueOf(context.request().getHeader("Authorization"));
        boolean tokenMatches =
                MessageDigest.isEqual(
                        header.getBytes(StandardCharsets.UTF_8),
                        (BEARER + token).getBytes(StandardCharsets.UTF_8));
        if (tokenMatches) {
            context.next();
        } else {
            context.response().setStatusCode(UNAUTHORIZED);
            context.endAndForget("the operators' token is missing or wrong");
        }
    }

    private void timeline(RoutingContext context) {
        String subject = context.request().getParam("subject");
        List<Event> found = events.select(event -> subject == null || event.isAbout(subject));
        List<OperatorViews.EventView> views =
                found.stream().map(OperatorViews.EventView::of).toList();
        send(context, new OperatorViews.Timeline(identity.runId(), events.dropped(), views));
    }

    private OperatorViews.Status status() {
        List<OperatorViews.DataCentreView> dataCentres = new ArrayList<>();
        for (DataCentreId dataCentre : capacity.fleet().dataCentres()) {
            dataCentres.add(
                    new OperatorViews.DataCentreView(
                            dataCentre,
                            config.state().isOpen(dataCentre),
                            capacity.fleet().freeCells(dataCentre).freeAccelerators(),
                            capacity.fleet().reclaimableCells(dataCentre).freeAccelerators(),
                            capacity.fleet().workersIn(dataCentre).stream()
                                    .mapToLong(Worker::accelerators)
                                    .sum(),
                            capacity.guaranteesFit(dataCentre)));
        }
        Set<WorkerId> quarantinedOrEjected = new TreeSet<>(quarantined.get());
        chooser.upstreams().stream()
                .filter(upstream -> upstream.breaker().isEjected())
                .map(Upstream::worker)
                .forEach(quarantinedOrEjected::add);
        return new OperatorViews.Status(
                identity.runId(),
                identity.dataCentre(),
                config.state().offset(),
                config.isReachable(),
                dataCentres,
                quarantinedOrEjected.stream().map(WorkerId::value).toList());
    }

    private void metrics(RoutingContext context) {
        StringWriter text = new StringWriter();
        try {
            TextFormat.write004(text, metrics.metricFamilySamples());
        } catch (IOException e) {
            throw new IllegalStateException("writing to a string failed", e);
        }
        context.response().putHeader("Content-Type", TextFormat.CONTENT_TYPE_004);
        context.endAndForget(text.toString());
    }

    private static void send(RoutingContext context, Object body) {
        context.response().putHeader("Content-Type", "application/json");
        context.endAndForget(Json.write(body));
    }
}
