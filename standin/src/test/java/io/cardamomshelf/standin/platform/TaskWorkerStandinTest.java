package io.cardamomshelf.standin.platform;

import static org.awaitility.Awaitility.await;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.vertx.core.json.JsonObject;
import io.vertx.mutiny.core.Vertx;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Tests calls to a worker's stand-in that are in transit while it restarts. */
class TaskWorkerStandinTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    /** Long enough for a restart before the call is carried out, also on a busy machine. */
    private static final long DELAY_MILLIS = 3_000;

    private static final Duration ANSWER_TIMEOUT = Duration.ofMillis(2 * DELAY_MILLIS);

    /** A lease end on the clock of an incarnation that has been up for long. */
    private static final long FAR_LEASE_END_MILLIS = 1_000_000;

    private final Vertx vertx = Vertx.vertx();
    private final List<String> events = new CopyOnWriteArrayList<>();
    private final TaskWorkerStandin worker =
            new TaskWorkerStandin(
                    vertx,
                    (id, entry) -> {},
                    new WorkerListener() {
                        @Override
                        public void up(String id, long bornMillis) {
                            events.add("up");
                        }

                        @Override
                        public void began(String id, Start start) {
                            events.add("began " + start.task() + " by " + start.caller());
                        }

                        @Override
                        public void ended(
                                String id, String task, long run, String outcome, long number) {
                            events.add("ended " + task + " " + outcome);
                        }
                    },
                    TaskWorkerStandin.Profile.of("w1", "dc-1", "r1"));

    @AfterEach
    void close() {
        vertx.closeAndAwait();
    }

    private static HttpRequest startRequest(int port, Duration timeout) {
        JsonObject body =
                new JsonObject()
                        .put("task", "a")
                        .put("run", 1)
                        .put("spec", "ms=60000")
                        .put("deadline_ms", FAR_LEASE_END_MILLIS)
                        .put("fencing_token", 1);
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/run-start"))
                .timeout(timeout)
                .POST(HttpRequest.BodyPublishers.ofString(body.encode()))
                .build();
    }

    private void onEventLoop(Runnable task) {
        vertx.runOnContext(task);
    }

    @Nested
    class ADelayedCall {

        @Test
        void isCarriedOutByTheNextIncarnationAndNotAnswered() throws Exception {
            int port = worker.start().await().atMost(TIMEOUT);
            onEventLoop(() -> worker.setCallDelay(DELAY_MILLIS));
            CompletableFuture<HttpResponse<Void>> answer =
                    HttpClient.newHttpClient()
                            .sendAsync(
                                    startRequest(port, ANSWER_TIMEOUT),
                                    HttpResponse.BodyHandlers.discarding());
            await().atMost(TIMEOUT).until(() -> worker.delayedCalls() == 1);
            onEventLoop(
                    () -> {
                        worker.setCallDelay(0);
                        worker.restart();
                    });
            await().atMost(TIMEOUT).until(() -> events.size() >= 3);
            assertEquals(List.of("up", "up", "began a by 127.0.0.1"), events);
            ExecutionException failure = assertThrows(ExecutionException.class, answer::get);
            assertInstanceOf(IOException.class, failure.getCause());
        }

        @Test
        void isTheExceptionAndOthersAreAnswered() throws Exception {
            int port = worker.start().await().atMost(TIMEOUT);
            HttpResponse<Void> answer =
                    HttpClient.newHttpClient()
                            .send(
                                    startRequest(port, TIMEOUT),
                                    HttpResponse.BodyHandlers.discarding());
            assertEquals(200, answer.statusCode());
            assertEquals(List.of("up", "began a by 127.0.0.1"), events);
        }
    }
}
