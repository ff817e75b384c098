package io.cardamomshelf.node;

import io.cardamomshelf.node.event.EventLog;
import io.cardamomshelf.node.event.NodeEvent;
import io.cardamomshelf.node.ingress.CallerBudget;
import io.cardamomshelf.node.ingress.CallersServer;
import io.cardamomshelf.node.ingress.MetricsServer;
import io.cardamomshelf.node.ingress.ReadinessServer;
import io.cardamomshelf.node.metric.MeteredOrders;
import io.cardamomshelf.node.metric.MeteredStore;
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
import java.security.SecureRandom;

/**
 * One instance of the service: the server for callers, the followers of the store's streams, and a
 * candidate for scheduler.
 *
 * <p>Use: {@code new Node(vertx, adapter, settings, Clock.system()).start()}; {@code stop()}
 * transfers leadership and waits for calls in flight.
 *
 * <p>Not thread-safe: {@code start} and {@code stop} are called once each.
 */
public final class Node {

    /**
     * The adapter of the platform that the node runs on.
     *
     * @param store the platform's store, not null
     * @param decoder the decoder of the platform's records, not null
     * @param orders the calls to workers, not null
     * @param advice the calls to the platform's placement advice, not null
     * @param callers the names and formats that callers use, not null
     */
    public record Adapter(
            KeyedStore store,
            RecordDecoder decoder,
            WorkerOrders orders,
            PlacementAdvice advice,
            CallersProtocol callers) {}

    /** No pause: operators' records are rare, and their view must always be recent. */
    private static final Pace OPERATORS_PACE = new Pace(1_000, 0);

    /** Every worker renews its entry often; the pause batches many records into one read. */
    private static final Pace WORKERS_PACE = new Pace(1_000, 500);

    /**
     * Records of jobs are frequent. A short pause halves the number of reads, and callers don't
     * notice it. Two reads that wait in vain have to fit into the age at which the store counts as
     * unreachable, as the proof dates from when the last one was sent.
     */
    static final Pace JOBS_PACE = new Pace(600, 80);

    /** No pause: the scheduler must receive a new job at once. */
    static final Pace JOBS_PACE_LEADING = new Pace(600, 0);

    private static final long PACE_CHECK_INTERVAL_MILLIS = 200;

    /** How long load balancers may still send new connections, in milliseconds. */
    private static final long MIN_DRAIN_MILLIS = 2_500;

    /** How long before the end of the grace period the process exits, in milliseconds. */
    private static final long EXIT_MARGIN_MILLIS = 700;

    private static final long DRAIN_CHECK_INTERVAL_MILLIS = 50;

    /** How often the clocks are compared, in milliseconds. */
    private static final long CLOCK_CHECK_INTERVAL_MILLIS = 100;

    private final Vertx vertx;
    private final Timers timers;
    private final NodeSettings settings;
    private final Clock clock;
    private final OperatorsView operators;
    private final StreamFollower operatorsFollower;
    private final StreamFollower workersFollower;
    private final StreamFollower jobsFollower;
    private final SchedulerCandidate candidate;
    private final CallersServer callers;
    private final ReadinessServer readinessServer;
    private final ServiceMetrics metrics = new ServiceMetrics();
    private final MetricsServer metricsServer;
    private final ClockJumpDetector clockJumps;

    /**
     * Creates a node.
     *
     * @param vertx the Vert.x instance, not null
     * @param platform the platform's adapter, not null
     * @param settings the instance's settings, not null
     * @param clock the clock, not null
     */
    public Node(Vertx vertx, Adapter platform, NodeSettings settings, Clock clock) {
        this.vertx = vertx;
        Adapter adapter = metered(platform, clock);
        this.timers = Timers.of(vertx);
        this.settings = settings;
        this.clock = clock;
        this.clockJumps = new ClockJumpDetector(clock.now());
        this.operators = new OperatorsView(adapter.decoder(), this::operatorsViewChanged);
        this.candidate =
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
                        this::jobsPosition,
                        new SecureRandom());
        this.operatorsFollower =
                createFollower(adapter, Stream.OPERATORS, operators, OPERATORS_PACE);
        this.workersFollower =
                createFollower(adapter, Stream.WORKERS, candidate.workers(), WORKERS_PACE);
        this.jobsFollower = createFollower(adapter, Stream.JOBS, candidate.jobs(), JOBS_PACE);
        CallerBudget budget = new CallerBudget(settings.callerLimits(), clock, timers, metrics);
        this.callers =
                new CallersServer(
                        vertx,
                        adapter.callers(),
                        adapter.store(),
                        operators,
                        candidate.jobs(),
                        jobsFollower,
                        candidate.workers(),
                        clock,
                        settings.bounds(),
                        metrics,
                        budget,
                        operatorsFollower::proofAgeMillis);
        this.readinessServer = new ReadinessServer(vertx, callers::isReady, budget);
        this.metricsServer = new MetricsServer(vertx, metrics, budget);
        metrics.gauge(Name.CONFIGURATION_AGE_MILLIS, operatorsFollower::proofAgeMillis);
        metrics.gauge(Name.JOBS_AGE_MILLIS, jobsFollower::proofAgeMillis);
        metrics.gauge(Name.WORKERS_AGE_MILLIS, workersFollower::proofAgeMillis);
        metrics.gauge(Name.LEADING, () -> candidate.isLeading() ? 1 : 0);
        metrics.gauge(Name.IN_FLIGHT, callers::inFlight);
        SchedulerGauges.register(metrics, candidate, clock);
    }

    /**
     * Starts to follow the store and to listen.
     *
     * @return completes as soon as all servers listen
     */
    public Uni<Void> start() {
        return callers.listen(settings.callers())
                .chain(port -> readinessServer.listen(settings.readiness()))
                .chain(port -> metricsServer.listen(settings.metrics()))
                .invoke(port -> vertx.runOnContext(this::startFollowers))
                .replaceWithVoid();
    }

    /**
     * Shuts down gracefully: reports the instance as not ready, closes each connection after its
     * next answer, transfers leadership and waits for the calls in flight, at most until shortly
     * before the end of the grace period.
     *
     * @return completes when the process may exit
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
                                            candidate.resign().subscribe().with(done -> {});
                                            completeWhenDrained(
                                                    startMillis, () -> emitter.complete(null));
                                        }))
                .invoke(
                        () ->
                                EventLog.of(NodeEvent.SERVICE_STOPPED)
                                        .with("inFlight", callers.inFlight())
                                        .write());
    }

    private void startFollowers() {
        EventLog.of(NodeEvent.SERVICE_STARTED)
                .with("machine", settings.name())
                .with("dataCentre", settings.dataCentre())
                .with("callers", settings.callers())
                .write();
        operatorsFollower.start();
        workersFollower.start();
        jobsFollower.start();
        candidate.start();
        timers.every(CLOCK_CHECK_INTERVAL_MILLIS, this::checkClocks);
        timers.every(
                PACE_CHECK_INTERVAL_MILLIS,
                () -> jobsFollower.setPace(candidate.isLeading() ? JOBS_PACE_LEADING : JOBS_PACE));
    }

    /** Renews the followers' proofs after a suspension, as they are outdated by the wall clock. */
    private void checkClocks() {
        long jumpMillis = clockJumps.jumpMillis(clock.now());
        if (jumpMillis > 0) {
            EventLog.of(NodeEvent.CLOCKS_JUMPED).with("jumpMillis", jumpMillis).write();
            operatorsFollower.renewProof();
            jobsFollower.renewProof();
        }
    }

    private void completeWhenDrained(long startMillis, Runnable done) {
        long elapsedMillis = clock.monotonicMillis() - startMillis;
        boolean isDrained = elapsedMillis >= MIN_DRAIN_MILLIS && callers.inFlight() == 0;
        if (isDrained || elapsedMillis >= settings.bounds().graceMillis() - EXIT_MARGIN_MILLIS) {
            done.run();
        } else {
            timers.after(DRAIN_CHECK_INTERVAL_MILLIS, () -> completeWhenDrained(startMillis, done));
        }
    }

    private void operatorsViewChanged() {
        candidate.operatorsChanged();
        operators
                .configuration()
                .ifPresent(
                        configuration ->
                                SchedulerGauges.registerCaps(
                                        metrics, candidate, clock, configuration));
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

    private StreamFollower createFollower(
            Adapter adapter, Stream stream, StreamFollower.Fold fold, Pace pace) {
        return new StreamFollower(timers, adapter.store(), stream, fold, clock, pace);
    }
}
