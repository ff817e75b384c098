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

    /** How long before the caller's timeout an answer is sent, in milliseconds. */
    private static final long ANSWER_MARGIN_MILLIS = 200;

    /**
     * How long the connection of a rejected request stays open, in milliseconds: the client reads
     * the answer before the connection is reset.
     */
    private static final long LINGER_MILLIS = 2_000;

    /** The limit of bodies while there is no configuration, in bytes. */
    private static final int DEFAULT_MAX_BODY_BYTES = 262_144;

    /** The owner of the jobs of public queues, whose calls need no key. */
    private static final OrganisationId PUBLIC_ORGANISATION = OrganisationId.of("public");

    /** A request whose answer hasn't been sent yet. */
    private static final class CallInProgress {
        private final HttpServerRequest request;
        private final long startMillis;
        private BodyReceiver receiver;
        private boolean isRejectedEarly;
        private boolean isSettled;

        private CallInProgress(HttpServerRequest request, long startMillis) {
            this.request = request;
            this.startMillis = startMillis;
        }
    }

    private final Vertx vertx;
    private final CallersProtocol protocol;
    private final OperatorsView operators;
    private final Freshness freshness;
    private final JobService jobService;
    private final Clock clock;
    private final ServiceMetrics metrics;
    private final CallerBudget budget;
    private final EventLimiter events;
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
     * @param budget the limits of what clients may make the instance hold, not null
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
            CallerBudget budget,
            LongSupplier configurationAgeMillis) {
        this.vertx = vertx;
        this.protocol = protocol;
        this.operators = operators;
        this.clock = clock;
        this.metrics = metrics;
        this.budget = budget;
        this.events = new EventLimiter(clock);
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
                        clock,
                        budget.reporter());
    }

    /**
     * Starts to listen.
     *
     * @param endpoint the address to listen on, not null
     * @return the port, as soon as the server listens on it
     */
    public Uni<Integer> listen(Endpoint endpoint) {
        server = budget.createCallersServer(vertx).requestHandler(this::receive);
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
        CallInProgress call = new CallInProgress(request, clock.monotonicMillis());
        inFlight++;
        call.receiver =
                new BodyReceiver(
                        request,
                        maxBodyBytes(),
                        isAuthorised(request),
                        budget.bodies(),
                        (outcome, body) -> bodyEnded(call, outcome, body));
        request.exceptionHandler(failure -> settle(call));
        call.receiver.start();
    }

    private int maxBodyBytes() {
        return operators
                .configuration()
                .map(configuration -> configuration.limits().maxBodyBytes())
                .orElse(DEFAULT_MAX_BODY_BYTES);
    }

    private void bodyEnded(CallInProgress call, BodyReceiver.Outcome outcome, Buffer body) {
        switch (outcome) {
            case TOO_LONG -> {
                rejectEarly(
                        call,
                        Answer.TOO_LARGE,
                        "the body is longer than " + maxBodyBytes() + " bytes");
            }
            case OVER_BUDGET -> {
                budget.reporter().exceeded(CallerLimit.BODY_BYTES);
                rejectEarly(
                        call, Answer.UNAVAILABLE, "too many bodies are being received, try again");
            }
            default ->
                    Uni.createFrom()
                            .deferred(() -> handle(call, body))
                            .subscribe()
                            .with(
                                    answer -> respond(call, answer),
                                    failure -> respondToFailure(call, failure));
        }
    }

    /** Answers before the body's end, reads no more of it, and then closes the connection. */
    private void rejectEarly(CallInProgress call, int status, String reason) {
        ConnectionGuard.of(call.request.connection().getDelegate()).stopReading();
        call.isRejectedEarly = true;
        jobService
                .refusal(status, reason)
                .subscribe()
                .with(
                        answer -> {
                            respond(call, answer);
                            vertx.setTimer(LINGER_MILLIS, id -> close(call.request));
                        });
    }

    private static void close(HttpServerRequest request) {
        request.connection()
                .close()
                .subscribe()
                .with(done -> {}, failure -> logUnclosed(request, failure));
    }

    private static void logUnclosed(HttpServerRequest request, Throwable failure) {
        EventLog.of(NodeEvent.UNEXPECTED_ERROR)
                .with("path", request.path())
                .with("failure", failure)
                .write();
    }

    private Uni<Answer> handle(CallInProgress call, Buffer body) {
        HttpServerRequest request = call.request;
        // Checked again: the configuration may have changed while the body was received.
        Authorisation authorisation = authorise(request);
        if (!authorisation.isAccepted()) {
            return jobService.refusal(authorisation.status(), authorisation.reason());
        }
        Route route = authorisation.route();
        return dispatch(
                request.method(),
                new Call(
                        route,
                        authorisation.organisation(),
                        path(request).substring(route.prefix().length()),
                        body,
                        deadlineMillis(request, route, call.startMillis)));
    }

    private boolean isAuthorised(HttpServerRequest request) {
        try {
            return authorise(request).isAccepted();
        } catch (RuntimeException e) {
            // It occurs again once the body has been discarded, and is answered and logged then.
            return false;
        }
    }

    /** Decides from its head alone whether a call may be made. */
    private Authorisation authorise(HttpServerRequest request) {
        Optional<Configuration> configuration = operators.configuration();
        if (configuration.isEmpty() || !freshness.isConfigurationUsable()) {
            return Authorisation.refused(
                    Answer.UNAVAILABLE, "the configuration isn't current here");
        }
        RouteTable routeTable = RouteTable.of(configuration.get());
        String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
        Optional<Route> route = routeTable.findRoute(host, path(request));
        if (route.isEmpty()) {
            return Authorisation.refused(Answer.NOT_FOUND, "there is no such queue");
        }
        Optional<OrganisationId> organisation =
                route.get().isPublic()
                        ? Optional.of(PUBLIC_ORGANISATION)
                        : protocol.key(request).flatMap(routeTable::findOrganisation);
        return organisation.isEmpty()
                ? Authorisation.refused(Answer.UNAUTHORIZED, "the key is missing or unknown")
                : Authorisation.accepted(route.get(), organisation.get());
    }

    private static String path(HttpServerRequest request) {
        return request.path() == null ? "" : request.path();
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

    /** Counts the call as answered, once; the result is false if it was before. */
    private boolean settle(CallInProgress call) {
        call.receiver.release();
        if (call.isSettled) {
            return false;
        }
        call.isSettled = true;
        inFlight--;
        return true;
    }

    private void respond(CallInProgress call, Answer answer) {
        if (!settle(call)) {
            return;
        }
        HttpServerRequest request = call.request;
        metrics.count(Name.CALLS, answer.status());
        long tookMillis = clock.monotonicMillis() - call.startMillis;
        metrics.recordDuration(Name.CALL_MILLIS, tookMillis, methodLabel(request.method()));
        if (answer.isError()) {
            logRefusal(request, answer, tookMillis);
        }
        HttpServerResponse response = request.response();
        if (response.closed() || response.ended()) {
            return;
        }
        response.setStatusCode(answer.status()).putHeader("Content-Type", "application/json");
        if (answer.retryAfterSeconds() > 0) {
            response.putHeader("Retry-After", String.valueOf(answer.retryAfterSeconds()));
        }
        if (draining || call.isRejectedEarly) {
            response.putHeader("Connection", "close");
        }
        response.end(answer.body())
                .subscribe()
                .with(done -> {}, failure -> logUndelivered(request, answer, failure));
    }

    private void logRefusal(HttpServerRequest request, Answer answer, long tookMillis) {
        events.write(
                NodeEvent.CALL_REFUSED,
                line ->
                        line.with("method", request.method())
                                .with("path", request.path())
                                .with("status", answer.status())
                                .with("reason", answer.body())
                                .with("configurationAgeMillis", freshness.configurationAgeMillis())
                                .with("jobsAgeMillis", freshness.jobsAgeMillis())
                                .with("tookMillis", tookMillis));
    }

    private void logUndelivered(HttpServerRequest request, Answer answer, Throwable failure) {
        events.write(
                NodeEvent.ANSWER_UNDELIVERED,
                line ->
                        line.with("method", request.method())
                                .with("path", request.path())
                                .with("status", answer.status())
                                .with("cause", failure.getMessage()));
    }

    /** Maps unknown methods to one label, since each label adds a metric series. */
    private static String methodLabel(HttpMethod method) {
        boolean isKnown =
                method.equals(HttpMethod.POST)
                        || method.equals(HttpMethod.GET)
                        || method.equals(HttpMethod.DELETE);
        return isKnown ? method.name() : "other";
    }

    private void respondToFailure(CallInProgress call, Throwable failure) {
        events.write(
                NodeEvent.CALL_REFUSED,
                line ->
                        line.with("method", call.request.method())
                                .with("path", call.request.path())
                                .with("failure", failure));
        respond(
                call,
                new Answer(
                        Answer.OUTCOME_UNKNOWN,
                        protocol.formatRefusal("the call failed inside"),
                        0));
    }
}
