package io.cardamomshelf.standin.platform;

import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * A worker of the platform: runs under leases, lists its runs and their ends, heeds fencing tokens.
 *
 * <p>Use: a task's spec {@code ms=N} is how long it works, in milliseconds; {@code ms=N fail} ends
 * it as failed. The worker renews its registry entry by itself.
 *
 * <p>Not thread-safe: belongs to its event loop.
 */
final class TaskWorkerStandin {

    private static final String LOOPBACK = "127.0.0.1";
    private static final int OK = 200;
    private static final int CONFLICT = 409;
    private static final long HEARTBEAT_MILLIS = 500;
    private static final long CHECK_MILLIS = 20;
    private static final int CPU = 128_000;
    private static final int MEMORY_MB = 512_000;
    private static final int ACCELERATORS = 8;

    private static final class Run {
        private long number;
        private long endsMillis;
        private String how;
    }

    private final Vertx vertx;
    private final StoreStandin store;
    private final Overlaps overlaps;
    private final String id;
    private final String zone;
    private final String rack;
    private final long bornMillis = System.currentTimeMillis();
    private final Map<String, Run> running = new HashMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<JsonArray> ended = new ArrayList<>();
    private long ends;
    private long token;
    private long leaseEndMillis;
    private long sequence;
    private int port;

    TaskWorkerStandin(
            Vertx vertx,
            StoreStandin store,
            Overlaps overlaps,
            String id,
            String zone,
            String rack) {
        this.vertx = vertx;
        this.store = store;
        this.overlaps = overlaps;
        this.id = id;
        this.zone = zone;
        this.rack = rack;
    }

    Uni<Integer> start() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.post("/run-start").handler(context -> fenced(context, this::start));
        router.post("/run-stop").handler(context -> fenced(context, this::stop));
        router.post("/hold").handler(context -> fenced(context, this::hold));
        vertx.setPeriodic(CHECK_MILLIS, timer -> check());
        return vertx.createHttpServer()
                .requestHandler(router)
                .listen(0, LOOPBACK)
                .map(HttpServer::actualPort)
                .invoke(
                        actual -> {
                            port = actual;
                            register();
                            vertx.setPeriodic(HEARTBEAT_MILLIS, timer -> register());
                        });
    }

    private void register() {
        store.registerWorker(
                id,
                new JsonObject()
                        .put("service", "rota")
                        .put("address", LOOPBACK + ":" + port)
                        .put("zone", zone)
                        .put("version", "v1")
                        .put("slots", ACCELERATORS)
                        .put("state", "ready")
                        .put("cold_remaining_ms", 0)
                        .put("born", bornMillis)
                        .put("clock_ms", clock())
                        .put(
                                "capacity",
                                new JsonObject()
                                        .put("cpu", CPU)
                                        .put("mem_mb", MEMORY_MB)
                                        .put("gpus", ACCELERATORS))
                        .put("labels", new JsonArray().add("a").add(rack))
                        .put("sequence", sequence++));
    }

    /** The worker's own clock starts with its incarnation. */
    private long clock() {
        return System.currentTimeMillis() - bornMillis + 1;
    }

    private void fenced(RoutingContext context, BiConsumer<RoutingContext, JsonObject> to) {
        JsonObject body = context.body().asJsonObject();
        long presented = body.getLong("fencing_token", 0L);
        if (presented < token) {
            refuse(context, "fence");
            return;
        }
        token = presented;
        leaseEndMillis = Math.max(leaseEndMillis, body.getLong("deadline_ms", 0L));
        to.accept(context, body);
    }

    private void start(RoutingContext context, JsonObject body) {
        String task = body.getString("task");
        long number = body.getLong("run");
        Run there = running.get(task);
        if (there != null && there.number == number) {
            done(context);
        } else if (number <= highest.getOrDefault(task, 0L)) {
            refuse(context, "old");
        } else if (body.getLong("deadline_ms") <= clock()) {
            refuse(context, "late");
        } else {
            highest.put(task, number);
            begin(task, number, body.getString("spec"));
            done(context);
        }
    }

    private void begin(String task, long number, String spec) {
        Run run = new Run();
        run.number = number;
        run.how = spec.endsWith("fail") ? "failed" : "done";
        String millis = spec.replaceAll("^ms=(\\d+).*$", "$1");
        run.endsMillis = clock() + Long.parseLong(millis);
        running.put(task, run);
        overlaps.begin(task);
    }

    private void stop(RoutingContext context, JsonObject body) {
        String task = body.getString("task");
        highest.merge(task, body.getLong("run"), Math::max);
        Run run = running.get(task);
        if (run != null && run.number <= body.getLong("run")) {
            end(task, "stopped");
        }
        done(context);
    }

    private void hold(RoutingContext context, JsonObject body) {
        long lastSeen = body.getLong("last_seen", 0L);
        ended.removeIf(row -> row.getLong(0) <= lastSeen);
        answerHold(context, body.getLong("wait_ms", 0L));
    }

    private void answerHold(RoutingContext context, long leftMillis) {
        if (ended.isEmpty() && leftMillis > 0) {
            vertx.setTimer(CHECK_MILLIS, timer -> answerHold(context, leftMillis - CHECK_MILLIS));
            return;
        }
        JsonArray rows = new JsonArray();
        running.forEach(
                (task, run) -> rows.add(new JsonArray().add(task).add(run.number).add("").add(0)));
        if (!context.response().closed()) {
            StoreStandin.answer(
                    context,
                    OK,
                    new JsonObject()
                            .put("clock_ms", clock())
                            .put("born", bornMillis)
                            .put("running", rows)
                            .put("finished_runs", new JsonArray(List.copyOf(ended))));
        }
    }

    private void check() {
        for (String task : List.copyOf(running.keySet())) {
            Run run = running.get(task);
            if (run.endsMillis <= clock()) {
                end(task, run.how);
            } else if (leaseEndMillis <= clock()) {
                end(task, "lapsed");
            }
        }
    }

    private void end(String task, String how) {
        Run run = running.remove(task);
        overlaps.end(task);
        ended.add(new JsonArray().add(++ends).add(task).add(run.number).add(how).add(""));
    }

    private void done(RoutingContext context) {
        StoreStandin.answer(context, OK, new JsonObject().put("clock_ms", clock()));
    }

    private void refuse(RoutingContext context, String reason) {
        StoreStandin.answer(
                context, CONFLICT, new JsonObject().put("clock_ms", clock()).put("reason", reason));
    }
}
