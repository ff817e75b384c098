package io.cardamomshelf.node;

import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.ingress.CallersServer;
import io.cardamomshelf.node.ingress.StatusServer;
import io.cardamomshelf.node.metric.MeteredOrders;
import io.cardamomshelf.node.metric.MeteredStore;
import io.cardamomshelf.node.metric.MetricsServer;
import io.cardamomshelf.node.metric.ServiceMetrics;
import io.cardamomshelf.node.metric.ServiceMetrics.Name;
import io.cardamomshelf.node.port.CallersProtocol;
import io.cardamomshelf.node.port.KeyedStore;
import io.cardamomshelf.node.port.KeyedStore.Stream;
import io.cardamomshelf.node.port.PlacementAdvice;
import io.cardamomshelf.node.port.RecordDecoder;
import io.cardamomshelf.node.port.WorkerOrders;
import io.cardamomshelf.node.schedule.SchedulerCandidate;
import io.cardamomshelf.node.settings.NodeSettings;
import io.cardamomshelf.node.store.OperatorsView;
import io.cardamomshelf.node.store.StreamFollower;
import io.cardamomshelf.node.store.StreamFollower.Pace;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;

/**
 * The service on one machine: callers' ingress, followers of the store, and scheduler in waiting.
 *
 * <p>Use: {@code new Node(vertx, adapter, settings, Clock.system()).start()}; {@code stop()} hands
 * leadership on and lets calls finish.
 *
 * <p>Not thread-safe: {@code start} and {@code stop} are called once each.
 */
public final class Node {

    /**
     * The platform that the node runs on.
     *
     * @param store its store, not null
     * @param decoder reads its own records, not null
     * @param orders calls to workers, not null
     * @param advice calls to its placement advice, not null
     * @param callers the callers' names and formats, not null
     */
    public record Adapter(
            KeyedStore store,
            RecordDecoder decoder,
            WorkerOrders orders,
            PlacementAdvice advice,
            CallersProtocol callers) {}

    /** Changes of operators are rare, and their proof must be young. */
    private static final Pace OPERATORS_PACE = new Pace(1_000, 0);

    /** Every worker renews its entry, so a pause collects many records into a call. */
    private static final Pace WORKERS_PACE = new Pace(1_000, 500);

    /** Records of jobs are frequent; a short pause halves the calls and callers don't notice. */
    private static final Pace JOBS_PACE = new Pace(1_000, 80);

    /** The scheduler hears of a new job at once. */
    private static final Pace JOBS_PACE_LEADING = new Pace(1_000, 0);

    private static final long PACE_CHECK_MILLIS = 200;

    /** How long balancers may go on to send new connections, in milliseconds. */
    private static final long LEAVE_MILLIS = 2_500;

    /** How long before the grace ends the process ends by itself, in milliseconds. */
    private static final long END_MARGIN_MILLIS = 700;

    private static final long DRAIN_CHECK_MILLIS = 50;

    private final Vertx vertx;
    private final Timers timers;
    private final NodeSettings settings;
    private final Clock clock;
    private final OperatorsView operators;
    private final StreamFollower operatorsFollower;
    private final StreamFollower workersFollower;
    private final StreamFollower jobsFollower;
    private final SchedulerCandidate scheduling;
    private final CallersServer callers;
    private final StatusServer status;
    private final ServiceMetrics metrics = new ServiceMetrics();
    private final MetricsServer metricsServer;

    /**
     * Creates a node.
     *
     * @param vertx the event loop's owner, not null
     * @param platform the platform, not null
     * @param settings the machine's settings, not null
     * @param clock the time, not null
     */
    public Node(Vertx vertx, Adapter platform, NodeSettings settings, Clock clock) {
        this.vertx = vertx;
        Adapter adapter = metered(platform, clock);
        this.timers = Timers.of(vertx);
        this.settings = settings;
        this.clock = clock;
        this.operators = new OperatorsView(adapter.decoder(), this::configured);
        this.scheduling =
                new SchedulerCandidate(
                        timers,
                        adapter.store(),
                        adapter.orders(),
                        adapter.advice(),
                        adapter.decoder(),
                        operators,
                        clock,
                        settings,
                        metrics,
                        this::jobsPosition);
        this.operatorsFollower = follower(adapter, Stream.OPERATORS, operators, OPERATORS_PACE);
        this.workersFollower =
                follower(adapter, Stream.WORKERS, scheduling.workers(), WORKERS_PACE);
        this.jobsFollower = follower(adapter, Stream.JOBS, scheduling.jobs(), JOBS_PACE);
        this.callers =
                new CallersServer(
                        vertx,
                        adapter.callers(),
                        adapter.store(),
                        operators,
                        scheduling.jobs(),
                        scheduling.workers(),
                        clock,
                        settings.bounds(),
                        metrics,
                        operatorsFollower::proofAgeMillis,
                        jobsFollower::proofAgeMillis);
        this.status = new StatusServer(vertx, callers::isReady);
        this.metricsServer = new MetricsServer(vertx, metrics);
        metrics.gauge(Name.CONFIGURATION_AGE_MILLIS, operatorsFollower::proofAgeMillis);
        metrics.gauge(Name.JOBS_AGE_MILLIS, jobsFollower::proofAgeMillis);
        metrics.gauge(Name.LEADING, () -> scheduling.isLeading() ? 1 : 0);
        metrics.gauge(Name.FREE_ACCELERATORS, () -> scheduling.load().free());
        metrics.gauge(Name.HELD_ACCELERATORS, () -> scheduling.load().held());
        metrics.gauge(Name.IN_FLIGHT, callers::inFlight);
    }

    /**
     * Starts to follow the store and to listen.
     *
     * @return completes once it listens
     */
    public Uni<Void> start() {
        return callers.listen(settings.callers())
                .chain(port -> status.listen(settings.readiness()))
                .chain(port -> metricsServer.listen(settings.metrics()))
                .invoke(port -> vertx.runOnContext(this::follow))
                .replaceWithVoid();
    }

    /**
     * Stops gracefully: no new connections, leadership handed on, calls finished.
     *
     * @return completes when the process may end
     */
    public Uni<Void> stop() {
        long startMillis = clock.monotonicMillis();
        EventLog.of(NodeEvent.SERVICE_STOPPING).with("inFlight", callers.inFlight()).write();
        return Uni.createFrom()
                .<Void>emitter(
                        emitter ->
                                vertx.runOnContext(
                                        () -> {
                                            callers.drain();
                                            scheduling.resign().subscribe().with(done -> {});
                                            drained(startMillis, () -> emitter.complete(null));
                                        }))
                .invoke(
                        () ->
                                EventLog.of(NodeEvent.SERVICE_STOPPED)
                                        .with("inFlight", callers.inFlight())
                                        .write());
    }

    private void follow() {
        EventLog.of(NodeEvent.SERVICE_STARTED)
                .with("machine", settings.name())
                .with("dataCentre", settings.dataCentre())
                .with("callers", settings.callers())
                .write();
        operatorsFollower.start();
        workersFollower.start();
        jobsFollower.start();
        scheduling.start();
        timers.every(
                PACE_CHECK_MILLIS,
                () -> jobsFollower.setPace(scheduling.isLeading() ? JOBS_PACE_LEADING : JOBS_PACE));
    }

    private void drained(long startMillis, Runnable done) {
        long passed = clock.monotonicMillis() - startMillis;
        boolean idle = passed >= LEAVE_MILLIS && callers.inFlight() == 0;
        if (idle || passed >= settings.bounds().graceMillis() - END_MARGIN_MILLIS) {
            done.run();
        } else {
            timers.after(DRAIN_CHECK_MILLIS, () -> drained(startMillis, done));
        }
    }

    private void configured() {
        scheduling.operatorsChanged();
    }

    private long jobsPosition() {
        return jobsFollower.position();
    }

    private Adapter metered(Adapter platform, Clock time) {
        return new Adapter(
                new MeteredStore(platform.store(), metrics, time),
                platform.decoder(),
                new MeteredOrders(platform.orders(), metrics),
                platform.advice(),
                platform.callers());
    }

    private StreamFollower follower(
            Adapter adapter, Stream stream, StreamFollower.Fold fold, Pace pace) {
        return new StreamFollower(timers, adapter.store(), stream, fold, clock, pace);
    }
}
