package io.cardamomshelf.node.ingress;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.OrganisationId;
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
 * The address where callers connect.
 *
 * <p>Use: {@code server.listen(endpoint)}, and {@code drain()} before a shutdown.
 *
 * <p>Not thread-safe: belongs to the instance's event loop.
 */
public final class CallersServer {

    /** Connections without traffic are closed after this, in seconds. */
    private static final int IDLE_SECONDS = 30;

    /** An answer is sent this long before the caller's time is up, in milliseconds. */
    private static final long ANSWER_MARGIN_MILLIS = 200;

    private static final OrganisationId PUBLIC = OrganisationId.of("public");

    private final Vertx vertx;
    private final CallersProtocol protocol;
    private final OperatorsView operators;
    private final Freshness freshness;
    private final JobService desk;
    private final Clock clock;
    private final ServiceMetrics metrics;
    private HttpServer server;
    private boolean draining;
    private int inFlight;

    /**
     * Creates a server.
     *
     * @param vertx the event loop's owner, not null
     * @param protocol names and formats, not null
     * @param store the store, not null
     * @param operators the configuration, not null
     * @param jobs the jobs, not null
     * @param workers the workers that are registered, not null
     * @param clock the time, not null
     * @param bounds the promised times, not null
     * @param metrics where to count, not null
     * @param configurationAgeMillis the age of the configuration's proof, not null
     * @param jobsAgeMillis the age of the jobs' proof, not null
     */
    public CallersServer(
            Vertx vertx,
            CallersProtocol protocol,
            KeyedStore store,
            OperatorsView operators,
            JobsView jobs,
            WorkersView workers,
            Clock clock,
            NodeSettings.Bounds bounds,
            ServiceMetrics metrics,
            LongSupplier configurationAgeMillis,
            LongSupplier jobsAgeMillis) {
        this.vertx = vertx;
        this.protocol = protocol;
        this.operators = operators;
        this.clock = clock;
        this.metrics = metrics;
        this.freshness = new Freshness(bounds, configurationAgeMillis, jobsAgeMillis);
        CallerAppend append =
                new CallerAppend(Timers.of(vertx), store, clock, freshness::isStoreReachable);
        this.desk = new JobService(protocol, jobs, workers, append, freshness, clock);
    }

    /**
     * Starts to listen.
     *
     * @param endpoint where, not null
     * @return the port, once it listens
     */
    public Uni<Integer> listen(Endpoint endpoint) {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setIdleTimeout(IDLE_SECONDS)
                        .setTcpNoDelay(true)
                        .setHttp2ClearTextEnabled(false);
        server = vertx.createHttpServer(options).requestHandler(this::read);
        return server.listen(endpoint.port(), endpoint.host()).map(HttpServer::actualPort);
    }

    /**
     * Asks whether callers should be sent here.
     *
     * @return true if answers can be given
     */
    public boolean isReady() {
        return !draining && operators.configuration().isPresent() && freshness.isReady();
    }

    /** Closes each connection after its next answer from now on. */
    public void drain() {
        draining = true;
    }

    /**
     * Counts the calls that aren't answered yet.
     *
     * @return the number, 0 or more
     */
    public int inFlight() {
        return inFlight;
    }

    private void read(HttpServerRequest request) {
        long startMillis = clock.monotonicMillis();
        inFlight++;
        Optional<Configuration> configuration = operators.configuration();
        int limit = configuration.map(c -> c.limits().maxBodyBytes()).orElse(Integer.MAX_VALUE);
        Buffer body = Buffer.buffer();
        request.handler(
                part -> {
                    if (body.length() <= limit) {
                        body.appendBuffer(part);
                    }
                });
        request.exceptionHandler(failure -> inFlight--);
        request.endHandler(
                () ->
                        handle(request, body, limit, startMillis)
                                .subscribe()
                                .with(
                                        answer -> answer(request, answer, startMillis),
                                        failure -> failed(request, failure, startMillis)));
    }

    private Uni<Answer> handle(
            HttpServerRequest request, Buffer body, int limit, long startMillis) {
        if (body.length() > limit) {
            return desk.refusal(Answer.TOO_LARGE, "the body is longer than " + limit + " bytes");
        }
        Optional<Configuration> configuration = operators.configuration();
        if (configuration.isEmpty() || !freshness.isConfigurationUsable()) {
            return desk.refusal(Answer.UNAVAILABLE, "the configuration isn't current here");
        }
        RouteTable table = RouteTable.of(configuration.get());
        String host = Optional.ofNullable(request.getHeader("Host")).orElse("");
        String path = request.path() == null ? "" : request.path();
        Optional<Route> route = table.route(host, path);
        if (route.isEmpty()) {
            return desk.refusal(Answer.NOT_FOUND, "there is no such queue");
        }
        Optional<OrganisationId> organisation =
                route.get().isPublic()
                        ? Optional.of(PUBLIC)
                        : protocol.key(request).flatMap(table::organisation);
        if (organisation.isEmpty()) {
            return desk.refusal(Answer.UNAUTHORIZED, "the key is missing or unknown");
        }
        String name = path.substring(route.get().prefix().length());
        long until = untilMillis(request, route.get(), startMillis);
        return dispatch(
                request.method(), new Call(route.get(), organisation.get(), name, body, until));
    }

    private Uni<Answer> dispatch(HttpMethod method, Call call) {
        if (call.name().isEmpty()) {
            return method.equals(HttpMethod.GET)
                    ? desk.pending(call)
                    : desk.refusal(Answer.METHOD_NOT_ALLOWED, "a queue can only be read");
        }
        if (!protocol.isJobId(call.name())) {
            return desk.refusal(Answer.BAD_REQUEST, "the path names no job");
        }
        if (method.equals(HttpMethod.POST)) {
            return desk.submit(call);
        } else if (method.equals(HttpMethod.GET)) {
            return desk.show(call);
        } else if (method.equals(HttpMethod.DELETE)) {
            return desk.cancel(call);
        }
        return desk.refusal(Answer.METHOD_NOT_ALLOWED, "allowed are POST, GET and DELETE");
    }

    private long untilMillis(HttpServerRequest request, Route route, long startMillis) {
        long allowed =
                Math.min(
                        route.timeoutMillis(),
                        protocol.deadlineMillis(request).orElse(Long.MAX_VALUE));
        return startMillis + Math.max(ANSWER_MARGIN_MILLIS, allowed - ANSWER_MARGIN_MILLIS);
    }

    private void answer(HttpServerRequest request, Answer answer, long startMillis) {
        inFlight--;
        metrics.count(Name.CALLS, answer.status());
        long took = clock.monotonicMillis() - startMillis;
        metrics.recordDuration(Name.CALL_MILLIS, took, method(request.method()));
        if (answer.isError()) {
            EventLog.of(NodeEvent.CALL_REFUSED)
                    .with("method", request.method())
                    .with("path", request.path())
                    .with("status", answer.status())
                    .with("reason", answer.body())
                    .with("configurationAgeMillis", freshness.configurationAgeMillis())
                    .with("jobsAgeMillis", freshness.jobsAgeMillis())
                    .with("tookMillis", took)
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
                .with(done -> {}, failure -> undelivered(request, answer, failure));
    }

    private static void undelivered(HttpServerRequest request, Answer answer, Throwable failure) {
        EventLog.of(NodeEvent.ANSWER_UNDELIVERED)
                .with("method", request.method())
                .with("path", request.path())
                .with("status", answer.status())
                .with("cause", failure.getMessage())
                .write();
    }

    /** Callers may send any word, and each would make a series of its own. */
    private static String method(HttpMethod method) {
        boolean known =
                method.equals(HttpMethod.POST)
                        || method.equals(HttpMethod.GET)
                        || method.equals(HttpMethod.DELETE);
        return known ? method.name() : "other";
    }

    private void failed(HttpServerRequest request, Throwable failure, long startMillis) {
        EventLog.of(NodeEvent.CALL_REFUSED)
                .with("method", request.method())
                .with("path", request.path())
                .with("failure", failure)
                .write();
        answer(
                request,
                new Answer(Answer.OUTCOME_UNKNOWN, protocol.formatRefusal("the call failed inside"), 0),
                startMillis);
    }
}
