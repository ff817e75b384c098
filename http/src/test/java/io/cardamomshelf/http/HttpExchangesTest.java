package io.cardamomshelf.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cardamomshelf.http.HttpExchanges.Limits;
import io.cardamomshelf.http.HttpExchanges.Response;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.net.NetServer;
import io.vertx.mutiny.core.net.NetSocket;
import java.net.ConnectException;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;
import java.util.function.BiConsumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests exchanges with servers whose responses stop or are slow. */
class HttpExchangesTest {

    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final int PART_INTERVAL_MILLIS = 100;
    private static final int PARTS = 12;

    private final Vertx vertx = Vertx.vertx();
    private final HttpExchanges exchanges =
            new HttpExchanges(vertx, new HttpClientOptions().setMaxPoolSize(1));

    private int connections;

    @AfterEach
    void close() {
        vertx.closeAndAwait();
    }

    /**
     * Starts a server that passes each request to {@code respond}, with its connection's number.
     */
    private int listen(BiConsumer<NetSocket, Integer> respond) {
        NetServer server =
                vertx.createNetServer()
                        .connectHandler(
                                socket -> {
                                    int number = ++connections;
                                    socket.handler(request -> respond.accept(socket, number));
                                })
                        .listenAndAwait(0, LOOPBACK);
        return server.actualPort();
    }

    private Response send(int port, Limits limits) {
        return exchanges.send(options(port), connection -> null, limits).await().atMost(PATIENCE);
    }

    private static RequestOptions options(int port) {
        return new RequestOptions().setHost(LOOPBACK).setPort(port).setURI("/");
    }

    private static void respondWhole(NetSocket socket) {
        socket.writeAndForget("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    }

    /** Writes the parts of a body at intervals. */
    private void respondInParts(NetSocket socket, int parts) {
        socket.writeAndForget("HTTP/1.1 200 OK\r\nContent-Length: " + PARTS + "\r\n\r\n");
        int[] sent = {0};
        vertx.setPeriodic(
                PART_INTERVAL_MILLIS,
                id -> {
                    if (sent[0]++ < parts) {
                        socket.writeAndForget("x");
                    } else {
                        vertx.cancelTimer(id);
                    }
                });
    }

    private static Throwable causeOf(CompletionException failure) {
        return failure.getCause();
    }

    /** Guards against a response that stops after its head and occupies the only connection. */
    @Test
    void endsAResponseThatStopsAndClosesItsConnection() {
        int port =
                listen(
                        (socket, number) -> {
                            if (number == 1) {
                                respondInParts(socket, 0);
                            } else {
                                respondWhole(socket);
                            }
                        });
        CompletionException failure =
                assertThrows(CompletionException.class, () -> send(port, Limits.of(300)));
        assertInstanceOf(TimeoutException.class, causeOf(failure));
        assertEquals("ok", send(port, Limits.of(60_000)).body().toString());
        assertEquals(2, connections);
    }

    /** Guards against a request that counts as sent though it only waited for a connection. */
    @Test
    void reportsARequestWithoutAConnectionAsNotConnected() {
        int port = listen((socket, number) -> {});
        exchanges
                .send(options(port), connection -> null, Limits.of(60_000))
                .subscribe()
                .with(response -> {}, failure -> {});
        CompletionException failure =
                assertThrows(CompletionException.class, () -> send(port, Limits.of(300)));
        assertInstanceOf(ConnectException.class, causeOf(failure));
    }

    /** Guards against a limit that each part of an endless response extends. */
    @Test
    void endsAResponseThatIsStillArrivingAtTheTotalLimit() {
        int port = listen((socket, number) -> respondInParts(socket, PARTS));
        CompletionException failure =
                assertThrows(
                        CompletionException.class,
                        () -> send(port, new Limits(60_000, PARTS * PART_INTERVAL_MILLIS / 2)));
        assertInstanceOf(TimeoutException.class, causeOf(failure));
    }

    /** Guards against a long response on a slow link that is broken off though it arrives. */
    @Test
    void receivesAResponseThatTakesLongerThanTheLongestSilence() {
        int port = listen((socket, number) -> respondInParts(socket, PARTS));
        Response response = send(port, new Limits(PARTS * PART_INTERVAL_MILLIS * 3 / 4, 60_000));
        assertEquals(PARTS, response.body().length());
    }
}
