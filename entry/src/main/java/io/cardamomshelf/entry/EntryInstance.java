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
 * <p>Use: {@code new EntryInstance(vertx, settings).start()} on an event loop that runs nothing
 * else of another instance; {@code stop()} is the graceful shutdown.
 *
 * <p>Limits: give it a Vert.x of one event loop; then no two of its steps run at once, and none of
 * its parts needs a lock.
 *
 * <p>Not thread-safe but for {@code start} and {@code stop}, which may be called from any thread.
 */
public final class EntryInstance {

    /** How old the evidence for the configuration may be when a task starts. */
    private static final long FRESH_MILLIS = 2_000;

    private static final long TICK_MILLIS = 100;
    private static final long PEER_TICK_MILLIS = 500;
    private static final long LIST_TICK_MILLIS = 1_000;
    private static final long POLL_TICK_MILLIS = 250;
    private static final long DRAIN_CHECK_MILLIS = 20;
    private static final int RETRY_RESERVE = 10;

    /**
     * The ports that an instance listens on.
     *
     * @param callers the callers' port
     * @param operators the operators' port
     * @param peers the port of other entries
     */
    public record Ports(int callers, int operators, int peers) {}

    private final Vertx vertx;
    private final Settings settings;
    private final Timers timers;
    private final InstanceIdentity self;
    private final Events events;
    private final Members members;
    private final ConfigFollower config;
    private final JobTable table = new JobTable();
    private final CapacityState books = new CapacityState();
    private final PauseWatch pauses = new PauseWatch();
    private final JobLog jobLog;
    private final ClaimLog claims;
    private final JobRunner runner;
    private final Takeover takeover;
    private final FleetFollower fleet;
    private final UpstreamChooser chooser;
    private final AttemptLoop attempts;
    private final RequestRouter requests;
    private final PeerNetwork peers;
    private final GuaranteeWatch guarantees;
    private final ConfigurationFreshness freshness = new ConfigurationFreshness(FRESH_MILLIS);
    private final MetricRegistry metrics = new MetricRegistry();
    private HttpServer callersServer;
    private HttpServer operatorsServer;
    private boolean listRead;
    private boolean leaving;
    private boolean closed;

    /**
     * Wires an instance.
     *
     * @param vertx an event loop of its own, not null
     * @param settings its settings, not null
     */
    public EntryInstance(Vertx vertx, Settings settings) {
        this.vertx = vertx;
        this.settings = settings;
        timers = new Timers(vertx);
        self = InstanceIdentity.of(settings);
        events = new Events(self, settings.limits().eventsKept());
        LogClient log = new LogClient(vertx, Endpoint.parse(settings.platform().log()));
        members =
                new Members(
                        self, new InstanceListClient(vertx, Endpoint.parse(settings.platform().list())));
        config = new ConfigFollower(vertx, log, events, this::reconfigure);
        jobLog = new JobLog(vertx, log, table, events);
        claims = new ClaimLog(vertx, log, events);
        WorkerClient workers = new WorkerClient(vertx);
        runner =
                new JobRunner(
                        self,
                        table,
                        books,
                        new GangClient(members, workers),
                        jobLog,
                        events,
                        this::isStartable);
        guarantees = new GuaranteeWatch(books, events);
        takeover = new Takeover(self, table, members, jobLog, events, pauses);
        fleet =
                new FleetFollower(
                        members,
                        workers,
                        books,
                        events,
                        pauses,
                        runner::isChanging,
                        runner::renewals,
                        runner::gone);
        runner.follow(fleet);
        int connections = settings.limits().upstreamConnections();
        chooser = new UpstreamChooser(self.dataCentre(), self.region(), connections);
        attempts = loop(connections);
        requests = new RequestRouter(self, timers, config::state, attempts, claims, events);
        peers =
                new PeerNetwork(
                        vertx, self, events, members, config, () -> leaving, requests::answerPeer);
        requests.connect(peers);
        registerMetrics();
    }

    private AttemptLoop loop(int connections) {
        return new AttemptLoop(
                chooser,
                new UpstreamClient(vertx, connections),
                members::endpoint,
                config::state,
                new RetryBudget(settings.limits().retryPercent(), RETRY_RESERVE),
                events,
                new Random(),
                timers);
    }

    /**
     * Starts listening and following.
     *
     * @return the ports, once it listens
     */
    public Uni<Ports> start() {
        return Uni.createFrom()
                .<Ports>emitter(
                        emitter ->
                                vertx.runOnContext(
                                        () ->
                                                listen().invoke(this::follow)
                                                        .subscribe()
                                                        .with(emitter::complete, emitter::fail)));
    }

    /**
     * Shuts down gracefully: says that it leaves, still serves for a while, then takes nothing new,
     * finishes what it has inside the bound of its settings, and closes.
     *
     * @return nothing, once it has closed
     */
    public Uni<Void> stop() {
        return Uni.createFrom()
                .<Void>emitter(
                        emitter ->
                                vertx.runOnContext(
                                        () ->
                                                leave().subscribe()
                                                        .with(emitter::complete, emitter::fail)));
    }

    private Uni<Ports> listen() {
        HttpServerOptions options =
                new HttpServerOptions()
                        .setIdleTimeout(settings.limits().idleSeconds())
                        .setMaxHeaderSize(settings.limits().maxHeaderBytes())
                        .setHttp2ClearTextEnabled(false);
        SlowSenders senders =
                new SlowSenders(
                        vertx, settings.limits().receiveSeconds(), settings.limits().idleSeconds());
        JobSubmissions desk = new JobSubmissions(self, table, books, jobLog, runner, events);
        Router callers =
                new CallersApi(
                                vertx,
                                settings.limits(),
                                senders,
                                requests,
                                desk,
                                this::isReady,
                                () -> closed)
                        .router();
        Router operators =
                new OperatorsApi(
                                vertx,
                                self,
                                settings.operators().token(),
                                events,
                                config,
                                books,
                                chooser,
                                fleet::quarantined,
                                desk,
                                metrics)
                        .router();
        callersServer = vertx.createHttpServer(options).requestHandler(callers);
        operatorsServer = vertx.createHttpServer(options).requestHandler(operators);
        senders.watch(callersServer);
        return Uni.combine()
                .all()
                .unis(
                        listen(callersServer, settings.callers()),
                        listen(operatorsServer, settings.operators().listen()),
                        peers.listen(Endpoint.parse(settings.peers())))
                .with(Ports::new);
    }

    private static Uni<Integer> listen(HttpServer server, String at) {
        Endpoint endpoint = Endpoint.parse(at);
        return server.listen(endpoint.port(), endpoint.host()).map(HttpServer::actualPort);
    }

    private void follow() {
        config.start();
        jobLog.start();
        claims.start();
        vertx.setPeriodic(0, LIST_TICK_MILLIS, id -> members.refresh(this::relist));
        vertx.setPeriodic(0, POLL_TICK_MILLIS, id -> fleet.tick());
        vertx.setPeriodic(PEER_TICK_MILLIS, id -> peers.tick());
        vertx.setPeriodic(TICK_MILLIS, id -> tick());
        events.publish(EventType.PROCESS_STARTED, self.name(), "");
    }

    private void tick() {
        pauses.tick();
        config.watch();
        if (fleet.hasAskedAll()) {
            guarantees.tick();
        }
        if (!leaving) {
            takeover.tick();
        }
        runner.tick();
        attempts.pump();
    }

    private void relist() {
        listRead = true;
        members.forget(Clock.millis());
        Set<WorkerId> listed = new HashSet<>();
        for (Instance worker : members.workers()) {
            WorkerId id = WorkerId.of(worker.id());
            listed.add(id);
            chooser.put(id, worker.dataCentre(), worker.region(), worker.leaving());
        }
        chooser.retain(listed);
    }

    private void reconfigure(ConfigState state) {
        books.reconfigure(state);
    }

    private boolean isReady() {
        return !leaving && listRead && config.isKnown() && fleet.hasAskedAll();
    }

    private boolean isStartable(DataCentreId site) {
        return config.isKnown()
                && config.state().isOpen(site)
                && freshness.isFresh(
                        Clock.millis(),
                        config.tailReadMillis(),
                        config.state().offset(),
                        members.sights(),
                        members.otherDataCentres());
    }

    private Uni<Void> leave() {
        leaving = true;
        runner.leave();
        peers.tick();
        events.publish(EventType.PROCESS_LEAVING, self.name(), "");
        return timers.pause(settings.shutdown().announceMillis())
                .invoke(() -> closed = true)
                .chain(() -> drained(Clock.millis() + settings.shutdown().drainMillis()))
                .invoke(() -> events.publish(EventType.PROCESS_STOPPED, self.name(), ""))
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

    private Uni<Void> drained(long deadlineMillis) {
        boolean idle = requests.inFlight() == 0 && runner.isIdle();
        if (idle || Clock.millis() >= deadlineMillis) {
            return timers.pause(DRAIN_CHECK_MILLIS);
        }
        return timers.pause(DRAIN_CHECK_MILLIS).chain(() -> drained(deadlineMillis));
    }

    private void registerMetrics() {
        metrics.register("cardamomshelf_requests_in_flight", (Gauge<Integer>) requests::inFlight);
        metrics.register("cardamomshelf_jobs_open", (Gauge<Integer>) () -> table.open().size());
        metrics.register(
                "cardamomshelf_config_offset", (Gauge<Long>) () -> config.state().offset());
        metrics.register(
                "cardamomshelf_log_reachable", (Gauge<Integer>) () -> config.isReachable() ? 1 : 0);
    }
}
