package io.cardamomshelf.standin.platform;

import io.cardamomshelf.standin.platform.Topic.Entry;
import io.cardamomshelf.standin.platform.Topic.Mark;
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
 * The platform's store over HTTP, in memory, with switches for its troubles.
 *
 * <p>Use: {@code PUT /switch/TROUBLE} with {@code none}, {@code refusing} (503), {@code silent},
 * {@code losing} (does it and doesn't answer) or {@code expire} (drops the history once); {@code
 * PUT /operator/KEY} writes as an operator, with an empty body to drop the key.
 *
 * <p>Not thread-safe: belongs to its event loop.
 */
public final class StoreStandin {

    private static final String LOOPBACK = "127.0.0.1";
    private static final String OPERATORS = "keyed.op";
    private static final String WORKERS = "keyed.servers";
    private static final int OK = 200;
    private static final int FORBIDDEN = 403;
    private static final int CONFLICT = 409;
    private static final int GONE = 410;
    private static final int UNAVAILABLE = 503;
    private static final int LENGTH_BYTES = 4;
    private static final long POLL_MILLIS = 5;

    private final Vertx vertx;
    private final Map<String, Topic> topics = new HashMap<>();
    private String trouble = "none";

    /**
     * Creates a store.
     *
     * @param vertx the event loop's owner, not null
     */
    public StoreStandin(Vertx vertx) {
        this.vertx = vertx;
    }

    /**
     * Starts to listen.
     *
     * @return the port, once it listens
     */
    public Uni<Integer> start() {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false));
        router.put("/switch/:trouble").handler(this::change);
        router.put("/operator/*").handler(this::operate);
        router.post("/log-append").handler(context -> guarded(context, this::append));
        router.get("/log-read").handler(context -> guarded(context, this::read));
        router.get("/log-newest").handler(context -> guarded(context, this::newest));
        return vertx.createHttpServer()
                .requestHandler(router)
                .listen(0, LOOPBACK)
                .map(HttpServer::actualPort);
    }

    /** Writes a worker's entry; workers write beside the troubles of the other callers. */
    void registerWorker(String id, JsonObject entry) {
        topic(WORKERS).append(id, entry.encode().getBytes(StandardCharsets.UTF_8));
    }

    private Topic topic(String name) {
        return topics.computeIfAbsent(name, any -> new Topic());
    }

    private void change(RoutingContext context) {
        String next = context.pathParam("trouble");
        if (next.equals("expire")) {
            topics.values().forEach(Topic::expire);
        } else {
            trouble = next;
        }
        context.response().endAndForget();
    }

    private void operate(RoutingContext context) {
        String key = context.request().path().substring("/operator/".length());
        Buffer body = context.body().buffer();
        topic(OPERATORS).append(key, body == null ? new byte[0] : body.getBytes());
        context.response().endAndForget();
    }

    private void guarded(RoutingContext context, Consumer<RoutingContext> handler) {
        switch (trouble) {
            case "refusing" -> context.response().setStatusCode(UNAVAILABLE).endAndForget();
            case "silent" -> {
                // The call is left without an answer.
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
            offset = store(topic, context.body().buffer());
        } else {
            Mark mark =
                    topic.mark(
                            producer,
                            Long.parseLong(request.getParam("epoch")),
                            Long.parseLong(request.getParam("sequence")));
            if (mark == Mark.FENCED || mark == Mark.WRONG_SEQUENCE) {
                String reason = mark == Mark.FENCED ? "fenced" : "seq";
                answer(context, CONFLICT, new JsonObject().put("reason", reason));
                return;
            }
            offset =
                    mark == Mark.REPEAT
                            ? topic.lastOffset(producer)
                            : store(topic, context.body().buffer());
            topic.noteOffset(producer, offset);
        }
        if (!trouble.equals("losing")) {
            answer(context, OK, new JsonObject().put("offset", offset).put("end", topic.end()));
        }
    }

    private static long store(Topic topic, Buffer body) {
        long offset = topic.end();
        int at = 0;
        while (body != null && at + LENGTH_BYTES <= body.length()) {
            int length = body.getInt(at);
            int keyLength = body.getUnsignedByte(at + LENGTH_BYTES);
            int keyStart = at + LENGTH_BYTES + 1;
            String key = body.getString(keyStart, keyStart + keyLength);
            at += LENGTH_BYTES + length;
            topic.append(key, body.getBytes(keyStart + keyLength, at));
        }
        return offset;
    }

    private void read(RoutingContext context) {
        HttpServerRequest request = context.request();
        Topic topic = topic(request.getParam("topic"));
        long from = Long.parseLong(request.getParam("from"));
        if (from < topic.first()) {
            answer(context, GONE, new JsonObject().put("first", topic.first()));
            return;
        }
        String wait = request.getParam("wait_ms");
        poll(context, topic, from, wait == null ? 0 : Long.parseLong(wait));
    }

    private void poll(RoutingContext context, Topic topic, long from, long leftMillis) {
        if (topic.end() <= from && leftMillis > 0) {
            vertx.setTimer(POLL_MILLIS, id -> poll(context, topic, from, leftMillis - POLL_MILLIS));
            return;
        }
        Buffer body = Buffer.buffer().appendLong(topic.end()).appendLong(topic.first());
        for (Entry entry : topic.from(from)) {
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
                        .put("end", topic.end()));
    }

    static void answer(RoutingContext context, int status, JsonObject body) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .endAndForget(body.encode());
    }
}
