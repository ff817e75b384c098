package io.cardamomshelf.standin.platform;

import io.cardamomshelf.standin.platform.WorkerListener.Start;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpConnection;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;

/**
 * Stands in for a worker of the platform: simulates runs under a lease, lists current runs and
 * ends, and refuses calls with an old fencing token.
 *
 * <p>Use: the spec {@code ms=N} is a task's run time in milliseconds; with {@code ms=N fail} the
 * run ends as failed. With {@code gang} the run time begins once {@code assemble} is called; until
 * then the run waits, and it ends as alone if that takes too long. The worker renews its registry
 * entry by itself. It can be restarted under its identifier, paused, and made unhealthy.
 *
 * <p>Not thread-safe: call it on its event loop only.
 */
final class TaskWorkerStandin {

    /** The keys of a call's data: its caller's address, and a mark that it gets no answer. */
    private static final String CALLER = "caller";

    private static final String ANSWER_LOST = "answerLost";

    private static final String LOOPBACK = "127.0.0.1";
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final int SERVICE_UNAVAILABLE = 503;
    static final long HEARTBEAT_INTERVAL_MILLIS = 500;

    /** How long a restarted worker takes calls before it registers, in milliseconds. */
    private static final long REGISTRATION_DELAY_MILLIS = 300;

    private static final long CHECK_INTERVAL_MILLIS = 20;
    private static final long MAX_LEASE_MILLIS = 10_000;
    private static final long GANG_TIMEOUT_MILLIS = 3_000;
    private static final int CPU_MILLIS = 128_000;
    private static final int MEMORY_MB = 512_000;
    private static final int ACCELERATORS = 8;

    /**
     * What a worker says of itself, and how it behaves.
     *
     * @param port the port to listen on, 0 for a free one
     * @param advertisedHost the host in its registry entry
     * @param advertisedPort the port in its registry entry, 0 for the one it listens on
     * @param stopMillis how long a stop takes, in milliseconds
     */
    record Profile(
            String id,
            String dataCentre,
            String rack,
            int port,
            String advertisedHost,
            int advertisedPort,
            long stopMillis) {

        /** Creates the profile of a worker on a free port, whose stops take no time. */
        static Profile of(String id, String dataCentre, String rack) {
            return new Profile(id, dataCentre, rack, 0, LOOPBACK, 0, 0);
        }
    }

    private static final class Run {
        private long number;
        private long endsMillis;
        private long workMillis;
        private String finalOutcome;
        private String outcome;
    }

    private final Vertx vertx;
    private final BiConsumer<String, JsonObject> registry;
    private final WorkerListener listener;
    private final Profile profile;
    private final String id;
    private long startedMillis = System.currentTimeMillis();
    private long bornMillis = startedMillis;
    private final Map<String, Run> running = new HashMap<>();
    private final Map<String, Long> highestRuns = new HashMap<>();
    private final List<JsonArray> unacknowledgedEnds = new ArrayList<>();
    private final Set<HttpConnection> connections = new HashSet<>();
    private long lastEndNumber;
    private long highestToken;
    private long leaseEndMillis;
    private long sequence;
    private int port;
    private long registrationDelayMillis;
    private long lastCallToken = -1;
    private String lastCaller = "";
    private boolean unhealthy;
    private boolean paused;
    private final List<Runnable> deferredCalls = new ArrayList<>();
    private long callDelayMillis;
    private volatile int delayedCalls;

    TaskWorkerStandin(
            Vertx vertx,
            BiConsumer<String, JsonObject> registry,
            WorkerListener listener,
            Profile profile) {
        this.vertx = vertx;
        this.registry = registry;
        this.listener = listener;
        this.profile = profile;
        this.id = profile.id();
    }

    Uni<Integer> start() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/run-start").handler(context -> receive(context, this::start));
        router.post("/run-stop").handler(context -> receive(context, this::stop));
        router.post("/hold").handler(context -> receive(context, this::renewLease));
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS, timer -> endFinishedAndLapsedRuns());
        return vertx.createHttpServer()
                .connectionHandler(this::addConnection)
                .requestHandler(router)
                .listen(profile.port(), LOOPBACK)
                .map(HttpServer::actualPort)
                .invoke(
                        actualPort -> {
                            port =
                                    profile.advertisedPort() == 0
                                            ? actualPort
                                            : profile.advertisedPort();
                            listener.up(id, bornMillis);
                            register();
                            vertx.setPeriodic(HEARTBEAT_INTERVAL_MILLIS, timer -> register());
                        });
    }

    private void addConnection(HttpConnection connection) {
        connections.add(connection);
        connection.closeHandler(() -> connections.remove(connection));
    }

    /**
     * Restarts the worker. It runs and knows nothing of before, its clock starts again, and its
     * connections are lost.
     */
    void restart() {
        restart(0);
    }

    /** Restarts the worker with a time of day that is off by {@code clockOffsetMillis}. */
    void restart(long clockOffsetMillis) {
        List<HttpConnection> lost = List.copyOf(connections);
        connections.clear();
        lost.forEach(HttpConnection::closeAndForget);
        running.forEach((task, run) -> listener.ended(id, task, run.number, "lost", 0));
        running.clear();
        deferredCalls.clear();
        paused = false;
        highestRuns.clear();
        unacknowledgedEnds.clear();
        lastEndNumber = 0;
        highestToken = 0;
        leaseEndMillis = 0;
        sequence = 0;
        registrationDelayMillis = REGISTRATION_DELAY_MILLIS;
        startedMillis = System.currentTimeMillis();
        setClockOffset(clockOffsetMillis);
        listener.up(id, bornMillis);
    }

    /** Sets whether the worker holds back all calls, ends and heartbeats; its lease runs on. */
    void setPaused(boolean value) {
        paused = value;
        if (!value) {
            endFinishedAndLapsedRuns();
            List<Runnable> calls = List.copyOf(deferredCalls);
            deferredCalls.clear();
            calls.forEach(Runnable::run);
        }
    }

    /**
     * Sets how long calls that arrive from now on are in transit, in milliseconds; 0 for no time.
     * They reach the incarnation that is up then, and their answers are lost.
     */
    void setCallDelay(long millis) {
        callDelayMillis = millis;
    }

    /** The calls that arrived while there was a delay; may be read by any thread. */
    int delayedCalls() {
        return delayedCalls;
    }

    /** Sets how far the time of day is off by which the worker says when it started. */
    void setClockOffset(long millis) {
        bornMillis = startedMillis + millis;
    }

    /** Sets whether the worker refuses all calls and does nothing. */
    void setUnhealthy(boolean value) {
        unhealthy = value;
    }

    private void register() {
        if (paused || sequence == 0 && clock() < registrationDelayMillis) {
            return;
        }
        registry.accept(
                id,
                new JsonObject()
                        .put("service", "rota")
                        .put("address", profile.advertisedHost() + ":" + port)
                        .put("zone", profile.dataCentre())
                        .put("version", "v1")
                        .put("slots", ACCELERATORS)
                        .put("state", "ready")
                        .put("cold_remaining_ms", 0)
                        .put("born", bornMillis)
                        .put("clock_ms", clock())
                        .put(
                                "capacity",
                                new JsonObject()
                                        .put("cpu", CPU_MILLIS)
                                        .put("mem_mb", MEMORY_MB)
                                        .put("gpus", ACCELERATORS))
                        .put("labels", new JsonArray().add("a").add(profile.rack()))
                        .put("sequence", sequence++));
    }

    /** Returns the worker's clock in milliseconds, which starts at 1 with its incarnation. */
    private long clock() {
        return System.currentTimeMillis() - startedMillis + 1;
    }

    private void receive(RoutingContext context, BiConsumer<RoutingContext, JsonObject> handler) {
        context.put(CALLER, context.request().remoteAddress().host());
        if (callDelayMillis > 0) {
            context.put(ANSWER_LOST, true);
            delayedCalls++;
            vertx.setTimer(callDelayMillis, timer -> withFencing(context, handler));
        } else {
            withFencing(context, handler);
        }
    }

    /**
     * Refuses a call whose fencing token is lower than the highest so far; otherwise extends the
     * lease, if the call asks for it, and passes the body to {@code handler}.
     */
    private void withFencing(
            RoutingContext context, BiConsumer<RoutingContext, JsonObject> handler) {
        if (paused) {
            deferredCalls.add(() -> withFencing(context, handler));
            return;
        }
        endFinishedAndLapsedRuns();
        if (unhealthy) {
            answer(context, SERVICE_UNAVAILABLE, new JsonObject().put("clock_ms", clock()));
            return;
        }
        JsonObject body = context.body().asJsonObject();
        long presented = body.getLong("fencing_token", 0L);
        if (presented < highestToken) {
            refuse(context, "fence");
            return;
        }
        highestToken = presented;
        String caller = callerOf(context);
        if (presented != lastCallToken || !caller.equals(lastCaller)) {
            lastCallToken = presented;
            lastCaller = caller;
            listener.called(id, caller, presented);
        }
        long requested = Math.min(body.getLong("deadline_ms", 0L), clock() + MAX_LEASE_MILLIS);
        if (requested > leaseEndMillis) {
            leaseEndMillis = requested;
            listener.leased(id, requested + startedMillis - 1);
        }
        handler.accept(context, body);
    }

    private static String callerOf(RoutingContext context) {
        return context.get(CALLER);
    }

    private void start(RoutingContext context, JsonObject body) {
        String task = body.getString("task");
        long runNumber = body.getLong("run");
        Run current = running.get(task);
        if (current != null && current.number == runNumber) {
            accept(context);
        } else if (runNumber <= highestRuns.getOrDefault(task, 0L)) {
            refuse(context, "old");
        } else if (body.getLong("deadline_ms") <= clock()) {
            refuse(context, "late");
        } else {
            highestRuns.put(task, runNumber);
            String spec = body.getString("spec");
            long token = body.getLong("fencing_token", 0L);
            beginRun(new Start(task, runNumber, spec, token, callerOf(context)));
            accept(context);
        }
    }

    private void beginRun(Start start) {
        Run run = new Run();
        run.number = start.run();
        run.workMillis = Long.parseLong(start.spec().replaceAll("^ms=(\\d+).*$", "$1"));
        run.finalOutcome = start.spec().endsWith("fail") ? "failed" : "done";
        boolean isWaiting = start.spec().contains(" gang");
        run.outcome = isWaiting ? "alone" : run.finalOutcome;
        run.endsMillis = clock() + (isWaiting ? GANG_TIMEOUT_MILLIS : run.workMillis);
        running.put(start.task(), run);
        listener.began(id, start);
    }

    /** Begins the work of a gang's member, all members of which are present. */
    void assemble(String task, long runNumber) {
        Run run = running.get(task);
        if (run != null && run.number == runNumber && run.outcome.equals("alone")) {
            run.outcome = run.finalOutcome;
            run.endsMillis = clock() + run.workMillis;
        }
    }

    /** Ends a gang's member because another one has ended. */
    void breakUp(String task, long runNumber) {
        Run run = running.get(task);
        if (run != null && run.number == runNumber) {
            endRun(task, "broken");
        }
    }

    private void stop(RoutingContext context, JsonObject body) {
        String task = body.getString("task");
        highestRuns.merge(task, body.getLong("run"), Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= body.getLong("run")) {
            run.outcome = "stopped";
            run.endsMillis = Math.min(run.endsMillis, clock() + profile.stopMillis());
            endFinishedAndLapsedRuns();
        }
        accept(context);
    }

    private void renewLease(RoutingContext context, JsonObject body) {
        long lastAcknowledgedEnd = body.getLong("last_seen", 0L);
        if (unacknowledgedEnds.removeIf(row -> row.getLong(0) <= lastAcknowledgedEnd)) {
            listener.acknowledged(id, lastAcknowledgedEnd);
        }
        answerRenewal(context, body.getLong("wait_ms", 0L));
    }

    private void answerRenewal(RoutingContext context, long remainingMillis) {
        if (unacknowledgedEnds.isEmpty() && remainingMillis > 0) {
            vertx.setTimer(
                    CHECK_INTERVAL_MILLIS,
                    timer -> answerRenewal(context, remainingMillis - CHECK_INTERVAL_MILLIS));
            return;
        }
        JsonArray rows = new JsonArray();
        running.forEach(
                (task, run) -> rows.add(new JsonArray().add(task).add(run.number).add("").add(0)));
        answer(
                context,
                OK,
                new JsonObject()
                        .put("clock_ms", clock())
                        .put("born", bornMillis)
                        .put("running", rows)
                        .put("finished_runs", new JsonArray(List.copyOf(unacknowledgedEnds))));
    }

    private void endFinishedAndLapsedRuns() {
        if (paused) {
            return;
        }
        for (String task : List.copyOf(running.keySet())) {
            // After a pause, both may have passed; a lapsed lease ends all work first.
            if (leaseEndMillis <= clock()) {
                endRun(task, "lapsed");
            } else if (running.get(task).endsMillis <= clock()) {
                endRun(task, running.get(task).outcome);
            }
        }
    }

    private void endRun(String task, String outcome) {
        Run run = running.remove(task);
        listener.ended(id, task, run.number, outcome, ++lastEndNumber);
        unacknowledgedEnds.add(
                new JsonArray().add(lastEndNumber).add(task).add(run.number).add(outcome).add(""));
    }

    private static void answer(RoutingContext context, int status, JsonObject body) {
        if (context.get(ANSWER_LOST) == null && !context.response().closed()) {
            StoreStandin.answer(context, status, body);
        }
    }

    private void accept(RoutingContext context) {
        answer(context, OK, new JsonObject().put("clock_ms", clock()));
    }

    private void refuse(RoutingContext context, String reason) {
        answer(context, CONFLICT, new JsonObject().put("clock_ms", clock()).put("reason", reason));
    }
}
