package io.cardamomshelf.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.cardamomshelf.core.base.Endpoint;
import io.cardamomshelf.core.request.Verdict;
import io.vertx.core.http.HttpMethod;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.net.NetServer;
import io.vertx.mutiny.core.net.NetSocket;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the clients' calls to a server that stops in the midst of its first response. */
class StoppedResponsesTest {

    private static final Duration PATIENCE = Duration.ofSeconds(60);
    private static final long TIMEOUT_MILLIS = 300;
    private static final long LONG_TIMEOUT_MILLIS = 60_000;

    private final Vertx vertx = Vertx.vertx();
    private int connections;

    @AfterEach
    void close() {
        vertx.closeAndAwait();
    }

    private void accept(NetSocket socket) {
        boolean isFirst = ++connections == 1;
        String head = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n";
        socket.handler(request -> socket.writeAndForget(head + (isFirst ? "no" : "done")));
    }

    private String call(HttpCalls calls, Endpoint server, long timeoutMillis) {
        return calls.send(HttpCalls.request(HttpMethod.POST, server, "/"), "{}", timeoutMillis)
                .map(response -> response.body().toString())
                .await()
                .atMost(PATIENCE);
    }

    /** Guards against a call that never ends and occupies the only connection to its server. */
    @Test
    void endWithTheirLimitAndMayHaveRun() {
        NetServer server =
                vertx.createNetServer().connectHandler(this::accept).listenAndAwait(0, "127.0.0.1");
        Endpoint endpoint = Endpoint.parse("127.0.0.1:" + server.actualPort());
        HttpCalls calls = new HttpCalls(vertx, 1);
        CompletionException failure =
                assertThrows(
                        CompletionException.class, () -> call(calls, endpoint, TIMEOUT_MILLIS));
        PlatformException cause = (PlatformException) failure.getCause();
        assertEquals(Verdict.MAY_HAVE_RUN, cause.verdict());
        assertEquals("done", call(calls, endpoint, LONG_TIMEOUT_MILLIS));
    }
}
