package io.cardamomshelf.entry;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.cardamomshelf.client.InstanceListClient;
import io.cardamomshelf.client.LogClient;
import io.cardamomshelf.client.UpstreamClient;
import io.cardamomshelf.client.WorkerClient;
import io.cardamomshelf.core.base.DataCentreId;
import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.base.WorkerId;
import io.cardamomshelf.core.config.ConfigState;
import io.cardamomshelf.core.event.EventType;
import io.cardamomshelf.core.job.CapacityState;
import io.cardamomshelf.core.job.JobTable;
import io.cardamomshelf.core.membership.ConfigurationFreshness;
import io.cardamomshelf.core.membership.Instance;
import io.cardamomshelf.core.request.RetryBudget;
import io.cardamomshelf.core.request.UpstreamChooser;
import io.cardamomshelf.entry.settings.Settings;
import io.smallrye.mutiny.Uni;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import java.util.HashSet;
import java.util.Random;
import java.util.Set;

/**
 * One entry instance: all its parts wired together on one event loop.
 *
 * <p>Use: {@code new EntryInstance(vertx, settings).start()} with a Vert.x instance that no other
 * entry instance uses; {@code stop()} shuts down gracefully.
 *
 * <p>Limits: the Vert.x instance must have one event loop. All callbacks then run one after another
 * and no part needs a lock.
 *
 * <p>Not thread-safe except for {@code start} and {@code stop}, which may be called from any
 * thread.
 */
public final class EntryInstance {

    /** How old the last confirmation of the configuration may be when a task starts. */
    private static final long MAX_CONFIG_AGE_MILLIS = 2_000;

    private static final long TICK_MILLIS = 100;
    private static final long PEER_TICK_MILLIS = 500;
    private static final long LIST_TICK_MILLIS = 1_000;
    private static final long POLL_TICK_MILLIS = 250;
    private static final long DRAIN_CHECK_MILLIS = 20;
    private static final int MAX_SAVED_RETRIES = 10;

    /**
     * The ports that an instance listens on.
     *
     * @param callers the callers' port
     * @param operators the operators' port
     * @param peers the port for other entries
     */
    public record Ports(int callers, int operators, int peers) {}

    private final Vertx vertx;
    private final Settings settings;
    private final Timers timers;
    private final InstanceIdentity identity;
    private final Events events;
    private final InstanceDirectory directory;
    private final ConfigFollower config;
    private final JobTable table = new JobTable();
    private final CapacityState capacity = new CapacityState();
    private final PauseDetector pauseDetector = new PauseDetector();
    private final JobLog jobLog;
    private final ClaimLog claims;
    private final JobRunner runner;
    private final Takeover takeover;
    private final WorkerPoller workerPoller;
    private final UpstreamChooser chooser;
    private final AttemptLoop attemptLoop;
    private final RequestRouter requests;
    private final PeerNetwork peers;
    private final GuaranteeMonitor guaranteeMonitor;
    private final ConfigurationFreshness freshness =
            new ConfigurationFreshness(MAX_CONFIG_AGE_MILLIS);
    private final MetricRegistry metricRegistry = new MetricRegistry();
    private HttpServer callersServer;
    private HttpServer operatorsServer;
    private boolean listRead;
    private boolean shuttingDown;
    private boolean refusingRequests;

    /**
     * Creates an instance that is not yet listening.
     *
     * @param vertx a Vert.x with one event loop that no other instance uses, not null
     * @param settings its settings, not null
     */
    public EntryInstance(Vertx vertx, Settings settings) {
        this.vertx = vertx;
        this.settings = settings;
        timers = new Timers(vertx);
        identity = InstanceIdentity.of(settings);
        events = new Events(identity, settings.limits().eventsKept());
        LogClient log = new LogClient(vertx, Endpoint.parse(settings.platform().log()));
        directory =
                new InstanceDirectory(
                        identity,
                        new InstanceListClient(vertx, Endpoint.parse(settings.platform().list())));
        config = new ConfigFollower(vertx, log, events, this::reconfigure);
        jobLog = new JobLog(vertx, log, table, events);
        claims = new ClaimLog(vertx, log, events);
        WorkerClient workerClient = new WorkerClient(vertx);
        runner =
                new JobRunner(
                        identity,
                        table,
                        capacity,
                        new GangClient(directory, workerClient),
                        jobLog,
                        events,
                        this::isStartable);
        guaranteeMonitor = new GuaranteeMonitor(capacity, events);
        takeover = new Takeover(identity, table, directory, jobLog, events, pauseDetector);
        workerPoller =
                new WorkerPoller(
                        directory,
                        workerClient,
                        capacity,
                        events,
                        pauseDetector,
                        runner::isChanging,
                        runner::renewals,
                        runner::releaseUnreported);
        runner.setPoller(workerPoller);
        int connections = settings.limits().upstreamConnections();
        chooser = new UpstreamChooser(identity.dataCentre(), identity.region(), connections);
        attemptLoop = createAttemptLoop(connections);
        requests = new RequestRouter(identity, timers, config::state, attemptLoop, claims, events);
        peers =
                new PeerNetwork(
                        vertx,
                        identity,
                        events,
                        directory,
                        config,
                        () -> shuttingDown,
                        requests::answerPeer);
        requests.setPeers(peers);
        registerMetrics();
    }

    private AttemptLoop createAttemptLoop(int connections) {
        return new AttemptLoop(
                chooser,
                new UpstreamClient(vertx, connections),
                directory::endpoint,
                config::state,
                new RetryBudget(settings.limits().retryPercent(), MAX_SAVED_RETRIES),
                events,
                new Random(),
                timers);
    }

    /**
     * Starts listening, following the log and polling the workers.
     *
     * @return the ports, once all are listening
     */
    public Uni<Ports> start() {
        return Uni.createFrom()
                .<Ports>emitter(
                        emitter ->
                                vertx.runOnContext(
                                        () ->
                                                listen().invoke(this::startFollowing)
                                                        .subscribe()
                                                        .with(emitter::complete, emitter::fail)));
    }

    /**
     * Shuts down gracefully: announces the shutdown, serves for the announcement time, then refuses
     * new requests, waits up to the drain time for those in flight, and closes.
     *
     * @return nothing, once it is closed
     */
    public Uni<Void> stop() {
        return Uni.createFrom()
                .<Void>emitter(
                        emitter ->
                                vertx.runOnContext(
                                        () ->
                                                shutDown()
                                                        .subscribe()
                                                        .with(emitter::complete, emitter::fail)));
    }

    private Uni<Ports> listen() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setIdleTimeout(settings.limits().idleSeconds())
                        .setMaxHeaderSize(settings.limits().maxHeaderBytes())
                        .setHttp2ClearTextEnabled(false);
        ReceiveTimeouts receiveTimeouts =
                new ReceiveTimeouts(
                        vertx, settings.limits().receiveSeconds(), settings.limits().idleSeconds());
        JobService jobs = new JobService(identity, table, capacity, jobLog, runner, events);
        Router callers =
                new CallersApi(
                                vertx,
                                settings.limits(),
                                receiveTimeouts,
                                requests,
                                jobs,
                                this::isReady,
                                () -> refusingRequests)
                        .router();
        Router operators =
                new OperatorsApi(
                                vertx,
                                identity,
                                settings.operators().token(),
                                events,
                                config,
                                capacity,
                                chooser,
                                workerPoller::quarantined,
                                jobs,
                                metricRegistry)
                        .router();
        callersServer = vertx.createHttpServer(options).requestHandler(callers);
        operatorsServer = vertx.createHttpServer(options).requestHandler(operators);
        receiveTimeouts.attach(callersServer);
        return Uni.combine()
                .all()
                .unis(
                        listen(callersServer, settings.callers()),
                        listen(operatorsServer, settings.operators().listen()),
                        peers.listen(Endpoint.parse(settings.peers())))
                .with(Ports::new);
    }

    private static Uni<Integer> listen(HttpServer server, String address) {
        Endpoint endpoint = Endpoint.parse(address);
        return server.listen(endpoint.port(), endpoint.host()).map(HttpServer::actualPort);
    }

    private void startFollowing() {
        config.start();
        jobLog.start();
        claims.start();
        vertx.setPeriodic(0, LIST_TICK_MILLIS, id -> directory.refresh(this::listRefreshed));
        vertx.setPeriodic(0, POLL_TICK_MILLIS, id -> workerPoller.tick());
        vertx.setPeriodic(PEER_TICK_MILLIS, id -> peers.tick());
        vertx.setPeriodic(TICK_MILLIS, id -> tick());
        events.publish(EventType.PROCESS_STARTED, identity.name(), "");
    }

    private void tick() {
        pauseDetector.tick();
        config.publishReachability();
        if (workerPoller.hasPolledAll()) {
            guaranteeMonitor.tick();
        }
        if (!shuttingDown) {
            takeover.tick();
        }
        runner.tick();
        attemptLoop.resumeParked();
    }

    private void listRefreshed() {
        listRead = true;
        directory.removeOldHeartbeats(Clock.monotonicMillis());
        Set<WorkerId> listed = new HashSet<>();
        for (Instance worker : directory.workers()) {
            WorkerId id = WorkerId.of(worker.id());
            listed.add(id);
            chooser.put(id, worker.dataCentre(), worker.region(), worker.leaving());
        }
        chooser.retain(listed);
    }

    private void reconfigure(ConfigState state) {
        capacity.reconfigure(state);
    }

    private boolean isReady() {
        return !shuttingDown && listRead && config.isKnown() && workerPoller.hasPolledAll();
    }

    private boolean isStartable(DataCentreId dataCentre) {
        return config.isKnown()
                && config.state().isOpen(dataCentre)
                && freshness.isFresh(
                        Clock.monotonicMillis(),
                        config.tailReadMillis(),
                        config.state().offset(),
                        directory.peerReports(),
                        directory.otherDataCentres());
    }

    private Uni<Void> shutDown() {
        shuttingDown = true;
        runner.beginShutdown();
        peers.tick();
        events.publish(EventType.PROCESS_LEAVING, identity.name(), "");
        return timers.delay(settings.shutdown().announceMillis())
                .invoke(() -> refusingRequests = true)
                .chain(
                        () ->
                                awaitDrained(
                                        Clock.monotonicMillis()
                                                + settings.shutdown().drainMillis()))
                .invoke(() -> events.publish(EventType.PROCESS_STOPPED, identity.name(), ""))
                .invoke(this::stopFollowing)
                .chain(peers::close)
                .chain(callersServer::close)
                .chain(operatorsServer::close);
    }

    private void stopFollowing() {
        config.stop();
        jobLog.stop();
        claims.stop();
    }

    private Uni<Void> awaitDrained(long deadlineMillis) {
        boolean idle = requests.inFlight() == 0 && runner.hasNoPendingChanges();
        if (idle || Clock.monotonicMillis() >= deadlineMillis) {
            return timers.delay(DRAIN_CHECK_MILLIS);
        }
        return timers.delay(DRAIN_CHECK_MILLIS).chain(() -> awaitDrained(deadlineMillis));
    }

    private void registerMetrics() {
        metricRegistry.register(
                "cardamomshelf_requests_in_flight", (Gauge<Integer>) requests::inFlight);
        metricRegistry.register(
                "cardamomshelf_jobs_open", (Gauge<Integer>) () -> table.open().size());
        metricRegistry.register(
                "cardamomshelf_config_offset", (Gauge<Long>) () -> config.state().offset());
        metricRegistry.register(
                "cardamomshelf_log_reachable", (Gauge<Integer>) () -> config.isReachable() ? 1 : 0);
    }
}
