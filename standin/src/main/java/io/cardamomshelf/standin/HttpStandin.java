package io.cardamomshelf.standin;

import io.cardamomshelf.client.FormatException;
import io.cardamomshelf.client.Json;
import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.http.HttpServer;
import io.vertx.mutiny.ext.web.Router;
import io.vertx.mutiny.ext.web.RoutingContext;
import io.vertx.mutiny.ext.web.handler.BodyHandler;
import java.util.function.Consumer;

/**
 * Base of the stand-ins: an HTTP server with JSON bodies.
 *
 * <p>Starting and stopping is thread-safe; routes run on the stand-in's event loop.
 */
abstract class HttpStandin implements Standin {

    static final int OK = 200;
    static final int NO_CONTENT = 204;
    static final int BAD_REQUEST = 400;
    static final int CONFLICT = 409;
    static final int TOO_MANY_REQUESTS = 429;
    static final int SERVER_ERROR = 500;
    static final int SERVICE_UNAVAILABLE = 503;

    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_BODY_BYTES = 1 << 20;

    private final Vertx vertx;
    private HttpServer server;

    HttpStandin(Vertx vertx) {
        this.vertx = vertx;
    }

    abstract void addRoutes(Router router);

    @Override
    public Uni<Integer> start(int port) {
        Router router = Router.router(vertx);
        router.route().handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES));
        addRoutes(router);
        server = vertx.createHttpServer().requestHandler(router);
        return server.listen(port, LOOPBACK).map(HttpServer::actualPort);
    }

    @Override
    public Uni<Void> stop() {
        return server.close();
    }

    Vertx vertx() {
        return vertx;
    }

    /** Adds a PUT route that passes its body to {@code change} and answers with the same body. */
    static <T> void addPutRoute(Router router, String path, Class<T> type, Consumer<T> change) {
        router.put(path)
                .handler(
                        context ->
                                withBody(
                                        context,
                                        type,
                                        body -> {
                                            change.accept(body);
                                            reply(context, OK, body);
                                        }));
    }

    static void reply(RoutingContext context, int status, Object body) {
        context.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .endAndForget(Json.write(body));
    }

    static void fail(RoutingContext context, int status, String text) {
        context.response().setStatusCode(status).endAndForget(text);
    }

    /** Passes the decoded body to {@code handler}, or answers 400 with the reason. */
    static <T> void withBody(RoutingContext context, Class<T> type, Consumer<T> handler) {
        try {
            String text = context.body().asString();
            handler.accept(Json.read(text == null ? "" : text, type));
        } catch (FormatException e) {
            fail(context, BAD_REQUEST, e.field() + ": " + e.getMessage());
        }
    }
}
