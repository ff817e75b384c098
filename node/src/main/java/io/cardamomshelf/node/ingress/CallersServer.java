package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.OrganisationId;
import io.cardamomshelf.core.schedule.Feasibility;
import io.cardamomshelf.node.Clock;
import io.cardamomshelf.node.Timers;
import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.CallersProtocol;
import io.cardamomshelf.node.port.Configuration;
import io.cardamomshelf.node.port.Configuration.Route;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.settings.NodeSettings;
import io.cardamomshelf.node.store.JobsView;
import io.cardamomshelf.node.store.OperatorsView;
import io.cardamomshelf.node.store.StreamFollower;
import io.cardamomshelf.node.store.WorkersView;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import io.vertx.mutiny.core.http.HttpServerResponse;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * The HTTP server for callers. It authenticates calls, routes them to {@link JobService} and sends
 * the answers.
 *
 * <p>Use: {@code server.listen(endpoint)}, and {@code server.drain()} before a shutdown.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class CallersServer {

    /** After this time without traffic a connection is closed, in seconds. */
    private static final int IDLE_TIMEOUT_SECONDS = 30;

    /** How long before the caller's timeout an answer is sent, in milliseconds. */
    private static final long ANSWER_MARGIN_MILLIS = 200;

    /** The owner of the jobs of public queues, whose calls need no key. */
    private static final OrganisationId PUBLIC_ORGANISATION = OrganisationId.of("public");

    private final Vertx vertx;
    private final CallersProtocol protocol;
    private final OperatorsView operators;
    private final Freshness freshness;
    private final JobService jobService;
    private final Clock clock;
    private final ServiceMetrics metrics;
    private HttpServer server;
    private boolean draining;
    private int inFlight;

    /**
     * Creates a server.
     *
     * @param vertx the Vert.x instance, not null
     * @param protocol the names and formats that callers use, not null
     * @param store the store, not null
     * @param operators the view of the operators' configuration, not null
     * @param jobs the view of the jobs, not null
     * @param jobsFollower reads the stored jobs into that view, not null
     * @param workers the view of the registered workers, not null
     * @param clock the clock, not null
     * @param bounds the time bounds of the service, not null
     * @param metrics the metrics to update, not null
     * @param configurationAgeMillis supplies the time since the configuration was last known to be
     *     current, in milliseconds, not null
     */
    public CallersServer(
            Vertx vertx,
            CallersProtocol protocol,
            KeyedStore store,
            OperatorsView operators,
            JobsView jobs,
            StreamFollower jobsFollower,
            WorkersView workers,
            Clock clock,
            NodeSettings.Bounds bounds,
            ServiceMetrics metrics,
            LongSupplier configurationAgeMillis) {
        this.vertx = vertx;
        this.protocol = protocol;
        this.operators = operators;
        this.clock = clock;
        this.metrics = metrics;
        this.freshness =
                new Freshness(bounds, configurationAgeMillis, jobsFollower::proofAgeMillis);
        CallerAppender appender =
                new CallerAppender(Timers.of(vertx), store, clock, freshness::isStoreReachable);
        this.jobService =
                new JobService(
                        protocol,
                        jobs,
                        jobsFollower::catchUp,
                        workers,
                        (organisation, request) ->
                                Feasibility.capObstacle(
                                        request,
                                        operators.limits(organisation),
                                        bounds.quotaOverage()),
                        appender,
                        freshness,
                        clock);
    }

    /**
     * Starts to listen.
     *
     * @param endpoint the address to listen on, not null
     * @return the port, as soon as the server listens on it
     */
    public Uni<Integer> listen(Endpoint endpoint) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
                        .setTcpNoDelay(true)
                        .setHttp2ClearTextEnabled(false);
        server = vertx.createHttpServer(options).requestHandler(this::receive);
        return server.listen(endpoint.port(), endpoint.host()).map(HttpServer::actualPort);
    }

    /**
     * Returns whether the platform should send callers to this instance.
     *
     * @return true if calls can be answered, false during a shutdown
     */
    public boolean isReady() {
        return !draining && operators.configuration().isPresent() && freshness.isReady();
    }

    /**
     * Reports the server as not ready from now on, and closes each connection after its next
     * answer.
     */
    public void drain() {
        draining = true;
    }

    /**
     * Returns the number of calls that aren't answered yet.
     *
     * @return the number, 0 or more
     */
    public int inFlight() {
        return inFlight;
    }

    private void receive(HttpServerRequest request) {
        long startMillis = clock.monotonicMillis();
        inFlight++;
        Optional<Configuration> configuration = operators.configuration();
        int maxBodyBytes =
                configuration.map(c -> c.limits().maxBodyBytes()).orElse(Integer.MAX_VALUE);
        Buffer body = Buffer.buffer();
        request.handler(
                chunk -> {
                    if (body.length() <= maxBodyBytes) {
                        body.appendBuffer(chunk);
                    }
                });
        request.exceptionHandler(failure -> inFlight--);
        request.endHandler(
                () ->
                        Uni.createFrom()
                                .deferred(() -> handle(request, body, maxBodyBytes, startMillis))
                                .subscribe()
                                .with(
                                        answer -> respond(request, answer, startMillis),
                                        failure ->
                                                respondToFailure(request, failure, startMillis)));
    }

    private Uni<Answer> handle(
            HttpServerRequest request, Buffer body, int maxBodyBytes, long startMillis) {
        if (body.length() > maxBodyBytes) {
            return jobService.refusal(
                    Answer.TOO_LARGE, "the body is longer than " + maxBodyBytes + " bytes");
        }
        Optional<Configuration> configuration = operators.configuration();
        if (configuration.isEmpty() || !freshness.isConfigurationUsable()) {
            return jobService.refusal(Answer.UNAVAILABLE, "the configuration isn't current here");
        }
        RouteTable routeTable = RouteTable.of(configuration.get());
        String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
        String path = request.path() == null ? "" : request.path();
        Optional<Route> route = routeTable.findRoute(host, path);
        if (route.isEmpty()) {
            return jobService.refusal(Answer.NOT_FOUND, "there is no such queue");
        }
        Optional<OrganisationId> organisation =
                route.get().isPublic()
                        ? Optional.of(PUBLIC_ORGANISATION)
                        : protocol.key(request).flatMap(routeTable::findOrganisation);
        if (organisation.isEmpty()) {
            return jobService.refusal(Answer.UNAUTHORIZED, "the key is missing or unknown");
        }
        String pathSuffix = path.substring(route.get().prefix().length());
        long deadlineMillis = deadlineMillis(request, route.get(), startMillis);
        return dispatch(
                request.method(),
                new Call(route.get(), organisation.get(), pathSuffix, body, deadlineMillis));
    }

    private Uni<Answer> dispatch(HttpMethod method, Call call) {
        if (call.pathSuffix().isEmpty()) {
            return method.equals(HttpMethod.GET)
                    ? jobService.queryPending(call)
                    : jobService.refusal(Answer.METHOD_NOT_ALLOWED, "a queue can only be read");
        }
        if (!protocol.isJobId(call.pathSuffix())) {
            return jobService.refusal(Answer.BAD_REQUEST, "the path names no job");
        }
        if (method.equals(HttpMethod.POST)) {
            return jobService.submit(call);
        } else if (method.equals(HttpMethod.GET)) {
            return jobService.queryState(call);
        } else if (method.equals(HttpMethod.DELETE)) {
            return jobService.cancel(call);
        }
        return jobService.refusal(Answer.METHOD_NOT_ALLOWED, "allowed are POST, GET and DELETE");
    }

    private long deadlineMillis(HttpServerRequest request, Route route, long startMillis) {
        long allowedMillis =
                Math.min(
                        route.timeoutMillis(),
                        protocol.deadlineMillis(request).orElse(Long.MAX_VALUE));
        return startMillis + Math.max(ANSWER_MARGIN_MILLIS, allowedMillis - ANSWER_MARGIN_MILLIS);
    }

    private void respond(HttpServerRequest request, Answer answer, long startMillis) {
        inFlight--;
        metrics.count(Name.CALLS, answer.status());
        long tookMillis = clock.monotonicMillis() - startMillis;
        metrics.recordDuration(Name.CALL_MILLIS, tookMillis, methodLabel(request.method()));
        if (answer.isError()) {
            EventLog.of(NodeEvent.CALL_REFUSED)
                    .with("method", request.method())
                    .with("path", request.path())
                    .with("status", answer.status())
                    .with("reason", answer.body())
                    .with("configurationAgeMillis", freshness.configurationAgeMillis())
                    .with("jobsAgeMillis", freshness.jobsAgeMillis())
                    .with("tookMillis", tookMillis)
                    .write();
        }
        HttpServerResponse response = request.response();
        if (response.closed() || response.ended()) {
            return;
        }
        response.setStatusCode(answer.status()).putHeader("Content-Type", "application/json");
        if (answer.retryAfterSeconds() > 0) {
            response.putHeader("Retry-After", String.valueOf(answer.retryAfterSeconds()));
        }
        if (draining) {
            response.putHeader("Connection", "close");
        }
        response.end(answer.body())
                .subscribe()
                .with(done -> {}, failure -> logUndelivered(request, answer, failure));
    }

    private static void logUndelivered(
            HttpServerRequest request, Answer answer, Throwable failure) {
        EventLog.of(NodeEvent.ANSWER_UNDELIVERED)
                .with("method", request.method())
                .with("path", request.path())
                .with("status", answer.status())
                .with("cause", failure.getMessage())
                .write();
    }

    /** Maps unknown methods to one label, since each label adds a metric series. */
    private static String methodLabel(HttpMethod method) {
        boolean isKnown =
                method.equals(HttpMethod.POST)
                        || method.equals(HttpMethod.GET)
                        || method.equals(HttpMethod.DELETE);
        return isKnown ? method.name() : "other";
    }

    private void respondToFailure(HttpServerRequest request, Throwable failure, long startMillis) {
        EventLog.of(NodeEvent.CALL_REFUSED)
                .with("method", request.method())
                .with("path", request.path())
                .with("failure", failure)
                .write();
        respond(
                request,
                new Answer(
                        Answer.OUTCOME_UNKNOWN,
                        protocol.formatRefusal("the call failed inside"),
                        0),
                startMillis);
    }
}
