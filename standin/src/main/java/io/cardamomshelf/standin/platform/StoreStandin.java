package io.cardamomshelf.standin.platform;

import io.cardamomshelf.standin.platform.Topic.Entry;
import io.cardamomshelf.standin.platform.Topic.SequenceCheck;
import io.smallrye.mutiny.Uni;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.core.http.HttpServerRequest;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Stands in for the platform's store: topics in memory, served over HTTP, with faults that a test
 * can switch on.
 *
 * <p>Use: {@code PUT /switch/FAULT} with {@code none}, {@code refusing} (answers 503), {@code
 * silent} (does nothing and never answers), {@code losing} (appends without an answer) or {@code
 * expire} (drops the history once). {@code PUT /operator/KEY} writes as an operator; an empty body
 * drops the key.
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

    private final Vertx vertx;
    private final Map<String, Topic> topics = new HashMap<>();
    private String fault = "none";

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
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.put("/switch/:trouble").handler(this::switchFault);
        router.put("/operator/*").handler(this::appendAsOperator);
        router.post("/log-append").handler(context -> applyFault(context, this::append));
        router.get("/log-read").handler(context -> applyFault(context, this::read));
        router.get("/log-newest").handler(context -> applyFault(context, this::newest));
        return vertx.createHttpServer()
                .requestHandler(router)
                .listen(0, LOOPBACK)
                .map(HttpServer::actualPort);
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
            fault = newFault;
        }
        context.response().endAndForget();
    }

    private void appendAsOperator(RoutingContext context) {
        String key = context.request().path().substring("/operator/".length());
        Buffer body = context.body().buffer();
        topic(OPERATORS).append(key, body == null ? new byte[0] : body.getBytes());
        context.response().endAndForget();
    }

    private void applyFault(RoutingContext context, Consumer<RoutingContext> handler) {
        switch (fault) {
            case "refusing" -> context.response().setStatusCode(SERVICE_UNAVAILABLE).endAndForget();
            case "silent" -> {
                // The call gets no answer.
            }
            default -> handler.accept(context);
        }
    }

    private void append(RoutingContext context) {
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
            SequenceCheck check =
                    topic.checkSequence(
                            producer,
                            Long.parseLong(request.getParam("epoch")),
                            Long.parseLong(request.getParam("sequence")));
            if (check == SequenceCheck.FENCED || check == SequenceCheck.WRONG_SEQUENCE) {
                String reason = check == SequenceCheck.FENCED ? "fenced" : "seq";
                answer(context, CONFLICT, new JsonObject().put("reason", reason));
                return;
            }
            offset =
                    check == SequenceCheck.REPEATED
                            ? topic.lastOffset(producer)
                            : appendAll(topic, context.body().buffer());
            topic.setLastOffset(producer, offset);
        }
        if (!fault.equals("losing")) {
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
        if (!context.response().closed()) {
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
