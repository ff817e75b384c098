package io.cardamomshelf.sessions;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests entries that are killed, frozen with SIGSTOP or stopped with SIGTERM while they own jobs or
 * serve requests.
 */
class ProcessFailureTest {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final List<String> ENTRIES = List.of("entry-1", "entry-2", "entry-3");
    private static final int SENDERS = 4;
    private static final long LONGER_THAN_LEASE_MILLIS = 14_000;
    private static final List<String> WORKERS = List.of("w1", "w2");

    @TempDir private Path folder;
    private Deployment deployment;

    @BeforeEach
    void start() throws SessionException {
        deployment = Deployment.start(folder);
        for (String worker : WORKERS) {
            deployment.startWorker(worker, "jhb-a", "gauteng");
        }
        for (String entry : ENTRIES) {
            deployment.startEntry(entry, "jhb-a", "gauteng");
        }
        deployment.awaitReady();
        Path plans =
                deployment.write(
                        "plans.yaml",
                        List.of("plans:", "  savings: {quota: 16, weight: 1, guarantees: []}"));
        Path grants =
                deployment.write(
                        "grants.yaml",
                        List.of("grants:", "  savings: {dataCentres: [jhb-a], maxRequests: 60}"));
        Deployment.CommandResult published =
                deployment.runCommand(
                        "entry-1",
                        "publish",
                        "--plans",
                        plans.toString(),
                        "--grants",
                        grants.toString());
        assertEquals(0, published.exitCode(), published.output());
        for (String entry : ENTRIES) {
            Wait.until(
                    entry + " serves the organisation",
                    () ->
                            request(entry, "warm up", true, "")
                                    .path("verdict")
                                    .asText()
                                    .equals("RAN"));
        }
    }

    @AfterEach
    void stop() throws SessionException {
        deployment.close();
    }

    private JsonNode request(String entry, String payload, boolean idempotent, String key)
            throws SessionException {
        String body =
                "{\"organisation\":\"savings\",\"idempotent\":"
                        + idempotent
                        + ",\"deadlineMillis\":10000,\"payload\":\""
                        + payload
                        + "\"}";
        String url = deployment.endpoint(entry, "callers") + "/v1/requests";
        return key.isEmpty()
                ? parseJson(deployment.send("POST", url, body))
                : parseJson(deployment.send("POST", url, body, "Idempotency-Key", key));
    }

    private String submit(String entry, long runMillis) throws SessionException {
        String body =
                "{\"organisation\":\"savings\",\"accelerators\":16,\"estimateMillis\":1000,"
                        + "\"payload\":\"{\\\"runMillis\\\":"
                        + runMillis
                        + "}\"}";
        String url = deployment.endpoint(entry, "callers") + "/v1/jobs";
        return parseJson(deployment.send("POST", url, body)).path("job").asText();
    }

    private String stateAndResult(String entry, String job) throws SessionException {
        String url = deployment.endpoint(entry, "callers") + "/v1/jobs/" + job;
        JsonNode view = parseJson(deployment.send("GET", url, null));
        return view.path("state").asText() + view.path("result").asText();
    }

    private int countOnWorkers(String list, String text) throws SessionException {
        int count = 0;
        for (String worker : WORKERS) {
            String url = deployment.endpoint(worker, "port") + "/admin/runs";
            for (JsonNode run : parseJson(deployment.send("GET", url, null)).path(list)) {
                count += run.asText().equals(text) ? 1 : 0;
            }
        }
        return count;
    }

    private String timeline(String about) throws SessionException {
        return deployment.runCommand("entry-2", "timeline", "--about", about).output();
    }

    private String timelineOrError(String about) {
        try {
            return timeline(about);
        } catch (SessionException e) {
            return "no timeline: " + e.getMessage();
        }
    }

    private static JsonNode parseJson(Deployment.Reply reply) throws SessionException {
        try {
            return MAPPER.readTree(reply.body());
        } catch (IOException e) {
            throw new SessionException("reply is not valid JSON: " + reply.body());
        }
    }

    @Nested
    class KilledOwner {

        @Test
        void runningGangContinuesAndQueuedJobRunsOnce() throws SessionException {
            String running = submit("entry-1", 5_000);
            Wait.until("the gang runs", () -> stateAndResult("entry-2", running).equals("RUNNING"));
            String queued = submit("entry-1", 300);
            deployment.child("entry-1").kill();
            Wait.until(
                    "the gang ends",
                    () -> stateAndResult("entry-2", running).equals("ENDEDSUCCEEDED"));
            Wait.until(
                    "the queued job ends",
                    () -> stateAndResult("entry-3", queued).equals("ENDEDSUCCEEDED"));
            assertEquals(2, countOnWorkers("tasks", running));
            assertEquals(2, countOnWorkers("tasks", queued));
        }
    }

    @Nested
    class FrozenOwner {

        @Test
        void startsNothingWhenResumedAfterTakeover() throws SessionException {
            freezeOwner(12_000, 0);
        }

        @Test
        void startsNothingWhenResumedAfterItsLeasesExpired() throws SessionException {
            freezeOwner(30_000, LONGER_THAN_LEASE_MILLIS);
        }

        private void freezeOwner(long runMillis, long minFreezeMillis) throws SessionException {
            String job = submit("entry-1", runMillis);
            Wait.until("the gang runs", () -> stateAndResult("entry-2", job).equals("RUNNING"));
            deployment.child("entry-1").signal("STOP");
            long earliestResume = System.nanoTime() + minFreezeMillis * 1_000_000;
            Wait.until(
                    "another instance owns the job",
                    () ->
                            timeline(job).contains("JOB_TAKEN_OVER")
                                    && System.nanoTime() >= earliestResume);
            deployment.child("entry-1").signal("CONT");
            Wait.until(
                    "the gang ends", () -> stateAndResult("entry-2", job).equals("ENDEDSUCCEEDED"));
            assertEquals(2, countOnWorkers("tasks", job), () -> timelineOrError(job));
        }
    }

    @Nested
    class GracefulStop {

        @Test
        void ofTwoInstancesInTurnCutsNoRequestAndLosesNoJob() throws Exception {
            String job = submit("entry-1", 8_000);
            Wait.until("the gang runs", () -> stateAndResult("entry-2", job).equals("RUNNING"));
            for (String worker : WORKERS) {
                // Longer than the 300 ms for which an entry still accepts requests after SIGTERM,
                // so that it must wait for the requests in flight.
                deployment.setMode(worker, "LATE", 800);
            }
            AtomicBoolean done = new AtomicBoolean();
            AtomicInteger sent = new AtomicInteger();
            List<CompletableFuture<List<String>>> load = new ArrayList<>();
            for (int sender = 0; sender < SENDERS; sender++) {
                String name = "sender " + sender;
                load.add(CompletableFuture.supplyAsync(() -> sendUntil(done, name, sent)));
            }
            Wait.until("requests are in flight", () -> sent.get() > 2 * SENDERS);
            assertEquals(0, deployment.child("entry-1").terminate());
            assertEquals(0, deployment.child("entry-2").terminate());
            done.set(true);
            for (CompletableFuture<List<String>> sender : load) {
                assertEquals(List.of(), sender.get(), "cut, lost or run twice");
            }
            Wait.until(
                    "the gang ends", () -> stateAndResult("entry-3", job).equals("ENDEDSUCCEEDED"));
            assertEquals(2, countOnWorkers("tasks", job));
        }

        /**
         * Sends requests as a load balancer does, to the first instance that reports that it is
         * ready.
         *
         * @return the requests that failed or did not run exactly once
         */
        private List<String> sendUntil(AtomicBoolean done, String name, AtomicInteger sent) {
            List<String> failures = new ArrayList<>();
            for (int number = 0; !done.get(); number++) {
                String payload = name + " " + number;
                sent.incrementAndGet();
                try {
                    JsonNode reply = request(readyEntry(), payload, false, payload);
                    boolean ran = reply.path("verdict").asText().equals("RAN");
                    if (!ran || countOnWorkers("requests", payload) != 1) {
                        failures.add(payload + " " + reply);
                    }
                } catch (SessionException e) {
                    failures.add(payload + " " + e.getMessage());
                }
            }
            return failures;
        }

        private String readyEntry() throws SessionException {
            for (String entry : ENTRIES) {
                if (deployment.child(entry).isAlive() && isReady(entry)) {
                    return entry;
                }
            }
            throw new SessionException("no instance is ready");
        }

        private boolean isReady(String entry) {
            try {
                String url = deployment.endpoint(entry, "callers") + "/ready";
                return deployment.send("GET", url, null).status() == 200;
            } catch (SessionException e) {
                return false;
            }
        }
    }
}
