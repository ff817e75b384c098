package io.cardamomshelf.standin.platform;

import io.cardamomshelf.standin.platform.Topic.Entry;
import io.cardamomshelf.standin.platform.Topic.SequenceCheck;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpConnection;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Stands in for the platform's store: topics in memory, served over HTTP, with faults that a test
 * can switch on.
 *
 * <p>Use: {@code PUT /switch/FAULT} with {@code none}, {@code refusing} (answers 503), {@code
 * silent} (does nothing and never answers), {@code losing} (appends without an answer), {@code
 * late} (appends after two seconds, without an answer), {@code slow} (each call waits first),
 * {@code reset} (closes all connections, and each new one at its first call) or {@code expire}
 * (drops the history once). {@code PUT /switch/FAULT?caller=N} affects the calls at the N-th port
 * only. {@code PUT /operator/KEY} writes as an operator; an empty body drops the key. {@code PUT
 * /servers/ID} writes a worker's entry, which is dropped after three missed heartbeats.
 *
 * <p>Not thread-safe: call it on its event loop only.
 */
public final class StoreStandin {

    private static final String LOOPBACK = "127.0.0.1";
    private static final String OPERATORS = "keyed.op";
    private static final String WORKERS = "keyed.servers";
    private static final int OK = 200;
    private static final int FORBIDDEN = 403;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int LENGTH_BYTES = 4;
    private static final long POLL_INTERVAL_MILLIS = 5;
    private static final long LATE_APPEND_MILLIS = 2_000;
    private static final long SLOW_CALL_MILLIS = 400;
    private static final long EXPIRY_INTERVAL_MILLIS = 250;
    private static final long SILENCE_LIMIT_MILLIS =
            3 * TaskWorkerStandin.HEARTBEAT_INTERVAL_MILLIS;

    private final Vertx vertx;
    private final Map<String, Topic> topics = new HashMap<>();
    private final Map<Integer, String> faults = new HashMap<>();
    private final Map<Integer, Integer> callersByPort = new HashMap<>();
    private final Map<String, Long> heartbeats = new HashMap<>();
    private final Set<HttpConnection> connections = new HashSet<>();

    /**
     * Creates a store.
     *
     * @param vertx the event loop's owner, not null
     */
    public StoreStandin(Vertx vertx) {
        this.vertx = vertx;
    }

    /**
     * Starts listening.
     *
     * @return the port, once it listens
     */
    public Uni<Integer> start() {
        return listen(0, 0);
    }

    /**
     * Starts listening on one port for each caller and limits the history.
     *
     * @param ports the ports in the order of the callers, not null
     * @param keepMillis the age of the oldest readable record, in milliseconds
     * @return completes once all listen
     */
    public Uni<Void> start(List<Integer> ports, long keepMillis) {
        vertx.setPeriodic(EXPIRY_INTERVAL_MILLIS, timer -> dropSilentWorkers());
        vertx.setPeriodic(
                EXPIRY_INTERVAL_MILLIS,
                timer -> {
                    long oldest = System.currentTimeMillis() - keepMillis;
                    topics.values().forEach(topic -> topic.expireBefore(oldest));
                });
        List<Uni<Integer>> started = new ArrayList<>();
        for (int i = 0; i < ports.size(); i++) {
            started.add(listen(ports.get(i), i));
        }
        return Uni.join().all(started).andFailFast().replaceWithVoid();
    }

    private Uni<Integer> listen(int port, int caller) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.put("/switch/:trouble").handler(this::switchFault);
        router.put("/operator/*").handler(this::appendAsOperator);
        router.put("/servers/:id").handler(this::takeHeartbeat);
        router.post("/log-append").handler(context -> applyFault(context, this::append));
        router.get("/log-read").handler(context -> applyFault(context, this::read));
        router.get("/log-newest").handler(context -> applyFault(context, this::newest));
        return vertx.createHttpServer()
                .connectionHandler(this::addConnection)
                .requestHandler(router)
                .listen(port, LOOPBACK)
                .map(HttpServer::actualPort)
                .invoke(actualPort -> callersByPort.put(actualPort, caller));
    }

    private void addConnection(HttpConnection connection) {
        connections.add(connection);
        connection.closeHandler(() -> connections.remove(connection));
    }

    private void takeHeartbeat(RoutingContext context) {
        String id = context.pathParam("id");
        heartbeats.put(id, System.currentTimeMillis());
        registerWorker(id, context.body().asJsonObject());
        context.response().endAndForget();
    }

    private void dropSilentWorkers() {
        long oldest = System.currentTimeMillis() - SILENCE_LIMIT_MILLIS;
        for (String id : List.copyOf(heartbeats.keySet())) {
            if (heartbeats.get(id) < oldest) {
                heartbeats.remove(id);
                topic(WORKERS).append(id, new byte[0]);
            }
        }
    }

    private int caller(RoutingContext context) {
        return callersByPort.get(context.request().localAddress().port());
    }

    private String fault(RoutingContext context) {
        return faults.getOrDefault(caller(context), "none");
    }

    /** Writes a worker's entry; faults don't affect it. */
    void registerWorker(String id, JsonObject entry) {
        topic(WORKERS).append(id, entry.encode().getBytes(StandardCharsets.UTF_8));
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, key -> new Topic());
    }

    private void switchFault(RoutingContext context) {
        String newFault = context.pathParam("trouble");
        if (newFault.equals("expire")) {
            topics.values().forEach(Topic::expire);
        } else {
            String caller = context.request().getParam("caller");
            Set<Integer> affected =
                    caller == null
                            ? Set.copyOf(callersByPort.values())
                            : Set.of(Integer.parseInt(caller));
            affected.forEach(index -> faults.put(index, newFault));
            if (newFault.equals("reset")) {
                closeConnections(affected);
            }
        }
        context.response().endAndForget();
    }

    private void appendAsOperator(RoutingContext context) {
        String key = context.request().path().substring("/operator/".length());
        Buffer body = context.body().buffer();
        topic(OPERATORS).append(key, body == null ? new byte[0] : body.getBytes());
        context.response().endAndForget();
    }

    private void closeConnections(Set<Integer> callers) {
        for (HttpConnection connection : List.copyOf(connections)) {
            if (callers.contains(callersByPort.get(connection.localAddress().port()))) {
                connection.closeAndForget();
            }
        }
    }

    private void applyFault(RoutingContext context, Consumer<RoutingContext> handler) {
        switch (fault(context)) {
            case "reset" -> context.request().connection().closeAndForget();
            case "slow" -> vertx.setTimer(SLOW_CALL_MILLIS, timer -> handler.accept(context));
            case "refusing" -> context.response().setStatusCode(SERVICE_UNAVAILABLE).endAndForget();
            case "silent" -> {
                // The call gets no answer.
            }
            default -> handler.accept(context);
        }
    }

    private void append(RoutingContext context) {
        if (fault(context).equals("late")) {
            vertx.setTimer(LATE_APPEND_MILLIS, timer -> appendNow(context, false));
        } else {
            appendNow(context, !fault(context).equals("losing"));
        }
    }

    private void appendNow(RoutingContext context, boolean isAnswered) {
        HttpServerRequest request = context.request();
        String name = request.getParam("topic");
        if (name.equals(OPERATORS) || name.equals(WORKERS)) {
            context.response().setStatusCode(FORBIDDEN).endAndForget();
            return;
        }
        Topic topic = topic(name);
        String producer = request.getParam("producer");
        long offset;
        if (producer == null) {
            offset = appendAll(topic, context.body().buffer());
        } else {
            long sequence = Long.parseLong(request.getParam("sequence"));
            SequenceCheck check =
                    topic.checkSequence(
                            producer, Long.parseLong(request.getParam("epoch")), sequence);
            if (check == SequenceCheck.FENCED || check == SequenceCheck.WRONG_SEQUENCE) {
                String reason = check == SequenceCheck.FENCED ? "fenced" : "seq";
                if (isAnswered) {
                    answer(context, CONFLICT, new JsonObject().put("reason", reason));
                }
                return;
            }
            if (check == SequenceCheck.REPEATED) {
                offset = topic.offsetOf(producer, sequence);
            } else {
                offset = appendAll(topic, context.body().buffer());
                topic.rememberOffset(producer, sequence, offset);
            }
        }
        if (isAnswered) {
            answer(
                    context,
                    OK,
                    new JsonObject().put("offset", offset).put("end", topic.endOffset()));
        }
    }

    /** Appends the records of a body and returns the offset of the first. */
    private static long appendAll(Topic topic, Buffer body) {
        long offset = topic.endOffset();
        int position = 0;
        while (body != null && position + LENGTH_BYTES <= body.length()) {
            int length = body.getInt(position);
            int keyLength = body.getUnsignedByte(position + LENGTH_BYTES);
            int keyStart = position + LENGTH_BYTES + 1;
            String key = body.getString(keyStart, keyStart + keyLength);
            position += LENGTH_BYTES + length;
            topic.append(key, body.getBytes(keyStart + keyLength, position));
        }
        return offset;
    }

    private void read(RoutingContext context) {
        HttpServerRequest request = context.request();
        Topic topic = topic(request.getParam("topic"));
        long from = Long.parseLong(request.getParam("from"));
        if (from < topic.firstOffset()) {
            answer(context, GONE, new JsonObject().put("first", topic.firstOffset()));
            return;
        }
        String waitMillis = request.getParam("wait_ms");
        answerWhenReadable(
                context, topic, from, waitMillis == null ? 0 : Long.parseLong(waitMillis));
    }

    private void answerWhenReadable(
            RoutingContext context, Topic topic, long from, long remainingMillis) {
        if (topic.endOffset() <= from && remainingMillis > 0) {
            vertx.setTimer(
                    POLL_INTERVAL_MILLIS,
                    id ->
                            answerWhenReadable(
                                    context, topic, from, remainingMillis - POLL_INTERVAL_MILLIS));
            return;
        }
        Buffer body = Buffer.buffer().appendLong(topic.endOffset()).appendLong(topic.firstOffset());
        for (Entry entry : topic.entriesFrom(from)) {
            byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
            body.appendInt(1 + key.length + entry.value().length);
            body.appendByte((byte) key.length).appendBytes(key).appendBytes(entry.value());
        }
        if (!fault(context).equals("silent") && !context.response().closed()) {
            context.response().endAndForget(body);
        }
    }

    private void newest(RoutingContext context) {
        Topic topic = topic(context.request().getParam("topic"));
        JsonArray items = new JsonArray();
        for (Entry entry : topic.newest()) {
            items.add(
                    new JsonObject()
                            .put("key", entry.key())
                            .put("value", Base64.getEncoder().encodeToString(entry.value()))
                            .put("offset", entry.offset()));
        }
        answer(
                context,
                OK,
                new JsonObject()
                        .put("items", items)
                        .put("has_more", false)
                        .put("end", topic.endOffset()));
    }

    static void answer(RoutingContext context, int status, JsonObject body) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .endAndForget(body.encode());
    }
}
