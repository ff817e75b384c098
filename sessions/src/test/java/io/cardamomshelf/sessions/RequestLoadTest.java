package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cardamomshelf.standin.WorkerStandin;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** More requests than the upstreams have places. */
class RequestLoadTest {

    private static final String KEY = "Idempotency-Key";
    private static final List<String> WORKERS = List.of("w1", "w2");

    private LocalDeployment local;

    /** Callers that each wait for an answer. */
    private static final class Senders implements AutoCloseable {
        private final ExecutorService threads;

        Senders(int count) {
            threads = Executors.newFixedThreadPool(count);
        }

        CompletableFuture<LocalDeployment.Reply> send(Callable<LocalDeployment.Reply> call) {
            CompletableFuture<LocalDeployment.Reply> reply = new CompletableFuture<>();
            threads.execute(
                    () -> {
                        try {
                            reply.complete(call.call());
                        } catch (Exception e) {
                            reply.completeExceptionally(e);
                        }
                    });
            return reply;
        }

        @Override
        public void close() {
            threads.shutdownNow();
        }
    }

    @BeforeEach
    void start() throws SessionException {
        local = new LocalDeployment();
        for (String worker : WORKERS) {
            local.addWorker(worker, "jhb-a");
        }
        local.addEntry("entry-1", "jhb-a");
        local.publish(16, List.of(), "jhb-a");
        local.awaitReady();
        local.awaitState(1, "jhb-a", 16);
    }

    @AfterEach
    void stop() {
        local.close();
    }

    private void allWorkers(WorkerStandin.Mode mode, long millis) {
        WORKERS.forEach(worker -> local.worker(worker).setMode(mode, millis));
    }

    /** Sends a request that gives up while the places are still taken. */
    private LocalDeployment.Reply impatient() throws SessionException {
        String body =
                "{\"organisation\":\""
                        + LocalDeployment.ORGANISATION
                        + "\",\"idempotent\":false,\"deadlineMillis\":500,\"payload\":\"late\"}";
        String url = local.callers("entry-1") + "/v1/requests";
        return local.send("POST", url, body, KEY, "late");
    }

    private long runs(String payload) {
        return WORKERS.stream()
                .flatMap(worker -> local.worker(worker).requestPayloads().stream())
                .filter(payload::equals)
                .count();
    }

    @Test
    void moreRequestsThanPlacesWaitTheirTurnAndRun() throws Exception {
        allWorkers(WorkerStandin.Mode.LATE, 100);
        List<CompletableFuture<LocalDeployment.Reply>> replies = new ArrayList<>();
        try (Senders senders = new Senders(48)) {
            for (int index = 0; index < 48; index++) {
                String payload = "burst " + index;
                replies.add(senders.send(() -> local.request("entry-1", true, payload)));
            }
            for (CompletableFuture<LocalDeployment.Reply> reply : replies) {
                assertEquals("RAN", reply.get().text("verdict"), reply.get().toString());
            }
        }
    }

    @Test
    void aRequestThatFindsNoPlaceInTimeDidNotRun() throws Exception {
        allWorkers(WorkerStandin.Mode.FREEZE, 0);
        List<CompletableFuture<LocalDeployment.Reply>> held = new ArrayList<>();
        try (Senders senders = new Senders(16)) {
            for (int index = 0; index < 16; index++) {
                held.add(senders.send(() -> local.request("entry-1", true, "held")));
            }
            Wait.until("all places are taken", () -> inFlight() == 16);
            LocalDeployment.Reply late = impatient();
            assertEquals("NOT_RUN", late.text("verdict"), late.toString());
            for (CompletableFuture<LocalDeployment.Reply> reply : held) {
                assertEquals("MAY_HAVE_RUN", reply.get().text("verdict"));
            }
        }
        assertEquals(0, runs("late"));
    }

    private int inFlight() throws SessionException {
        String metrics = local.metrics("entry-1");
        return metrics.lines()
                .filter(line -> line.startsWith("cardamomshelf_requests_in_flight "))
                .mapToInt(line -> (int) Double.parseDouble(line.substring(line.indexOf(' '))))
                .sum();
    }
}
